#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace rattanroad {

/** Deepest nesting that parseBoundedJson() accepts; the documents of the interfaces have up to 8 levels. */
constexpr int maximumJsonDepth = 64;

/** Parses JSON that others have written. Returns a discarded value when @p text is malformed or nested more deeply than
    maximumJsonDepth: copies, comparisons and dumps of a value recurse, so deep nesting would exhaust the stack.
*/
nlohmann::json parseBoundedJson(std::string_view text);

}
