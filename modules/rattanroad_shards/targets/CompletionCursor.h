#pragma once

#include <cstdint>
#include <set>

namespace rattanroad::shards {

/** The completion numbers of one incarnation of a target: the last one that was received, and the one up to which all
    are acknowledged.
*/
class CompletionCursor {
public:
    /** Begins anew with another incarnation. */
    void reset() { *this = CompletionCursor(); }
    /** Returns false when the completion is known already. */
    bool receive(std::uint64_t number);
    void acknowledge(std::uint64_t number);
    std::uint64_t acknowledged() const { return m_acknowledged; }

private:
    std::uint64_t m_lastReceived { 0 };
    std::uint64_t m_acknowledged { 0 };
    /** Acknowledged completions above m_acknowledged, which wait for the lower numbers. */
    std::set<std::uint64_t> m_acknowledgedOutOfOrder;
};

}
