#pragma once

#include "rattanroad_core/identifiers/Identifiers.h"

#include <cstdint>

namespace rattanroad::shards {

/** Correlates a request to another host with its reply. Contains the attempt, so that a late reply to an earlier
    attempt is recognized. Ids count up from firstId().
*/
class RequestNumber {
public:
    RequestNumber(std::uint64_t id, std::uint64_t attempt)
        : m_id(id)
        , m_attempt(attempt % attemptsPerRequest)
    {
    }
    /** Returns the id of the first request of a process. It is far from those of other processes at the same address,
       so that a late reply to a request of an earlier process matches none of this one. */
    static std::uint64_t firstId(Incarnation incarnation);
    static RequestNumber fromWire(std::uint64_t number)
    {
        return { number / attemptsPerRequest, number % attemptsPerRequest };
    }

    std::uint64_t toWire() const { return m_id * attemptsPerRequest + m_attempt; }
    std::uint64_t id() const { return m_id; }
    bool isOfAttempt(std::uint64_t attempt) const { return m_attempt == attempt % attemptsPerRequest; }

    /** Returns whether this is an earlier attempt than @p attempt. */
    bool isBefore(std::uint64_t attempt) const
    {
        const std::uint64_t distance = (attempt - m_attempt) % attemptsPerRequest;
        return distance != 0 && distance < attemptsPerRequest / 2;
    }

private:
    /** Attempts are encoded modulo this value, which is unambiguous because a reply is at most a few attempts late. */
    static constexpr std::uint64_t attemptsPerRequest = 256;

    std::uint64_t m_id;
    std::uint64_t m_attempt;
};

}
