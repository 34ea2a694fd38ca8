#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace rattanroad::shards {

/** Returns the weight of a candidate for a key in rendezvous hashing: every host computes the same value, and the
    candidate with the highest weight is chosen.
*/
inline std::uint64_t rendezvousWeight(const std::string& key, const std::string& candidate)
{
    std::uint64_t hash = 1469598103934665603ULL;
    const auto add
        = [&hash](char character) { hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL; };
    std::for_each(key.begin(), key.end(), add);
    add('/');
    std::for_each(candidate.begin(), candidate.end(), add);
    return hash ^ (hash >> 29U);
}

}
