#pragma once

#include "rattanroad_core/random/RandomSource.h"

#include <string>

namespace rattanroad {

/** Returns a text in which up to three times a byte was replaced or repeated, or some were removed, at random. */
inline std::string mutatedText(std::string text, RandomSource& random)
{
    static const std::string alphabet = "0123456789[]{}\",:-+.eE\\ntru\xff";
    for (std::uint64_t change = 0; change <= random.below(3); ++change) {
        const auto at = random.below(text.size());
        const char character = alphabet[random.below(alphabet.size())];
        switch (random.below(3)) {
        case 0:
            text[at] = character;
            break;
        case 1:
            text.insert(at, random.below(40) + 1, character);
            break;
        default:
            text.erase(at, random.below(4) + 1);
        }
    }
    return text;
}

}
