#pragma once

#include "rattanroad_membership/membership/MemberRecords.h"

namespace rattanroad {

/** Chooses the receivers of outer heartbeats: the other failure domains in turn, in an order of this host's own, and a
    random live member of each. Taking turns bounds the time until a domain hears of this one; independent random
    choices would leave some domain out for longer than the timeout every few minutes.
*/
class OuterRotation {
public:
    explicit OuterRotation(RandomSource& random);

    /** Returns up to @p count live members outside, no two of the same domain unless there are fewer domains. */
    std::vector<Member> next(const MemberRecords& records, std::size_t count);

private:
    RandomSource& m_random;
    /** Makes the orders of different hosts differ. */
    std::uint64_t m_salt;
    std::uint64_t m_turn;
};

}
