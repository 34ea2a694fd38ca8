#include "rattanroad_ledger/ledger/RecordLog.h"

#include <cassert>

namespace rattanroad {

std::uint64_t RecordLog::append(protocol::JournalRecord&& record)
{
    m_records.push_back(std::move(record));
    return last();
}

const protocol::JournalRecord& RecordLog::at(std::uint64_t number) const
{
    assert(number > m_dropped && number <= last()); // dropped only when every backup holds it
    return m_records[number - m_dropped - 1];
}

void RecordLog::dropUpTo(std::uint64_t number)
{
    while (m_dropped < number && !m_records.empty()) {
        m_records.pop_front();
        ++m_dropped;
    }
}

}
