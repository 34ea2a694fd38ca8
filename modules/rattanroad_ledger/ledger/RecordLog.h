#pragma once

#include "rattanroad_protocol/rattanroad_protocol.h"

#include <deque>

namespace rattanroad {

/** The records of one segment that some backup has not acknowledged yet, numbered from 1 without gaps.

    The numbers run through all epochs; BackupStream derives the positions within an epoch from them.
*/
class RecordLog {
public:
    /** Adds a record and returns its number. */
    std::uint64_t append(protocol::JournalRecord&& record);
    /** Returns the number of the newest record; 0 when there was none. */
    std::uint64_t last() const { return m_dropped + m_records.size(); }
    const protocol::JournalRecord& at(std::uint64_t number) const;
    /** Forgets the records up to @p number. */
    void dropUpTo(std::uint64_t number);

private:
    std::deque<protocol::JournalRecord> m_records;
    std::uint64_t m_dropped { 0 };
};

}
