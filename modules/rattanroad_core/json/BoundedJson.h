#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace rattanroad {

/** Deepest nesting that parseBoundedJson() accepts; the documents of the interfaces have up to 8 levels. */
constexpr int maximumJsonDepth = 64;
/** Most names, values and containers of a document that is not from a caller. A parsed element takes up to 110 bytes;
    the largest documents are lists of stored items with about ten elements each. */
constexpr std::size_t maximumJsonElements = 1000000;

/** Returns whether parsing @p text cannot exceed the bounds on nesting and elements. Reads the text once and builds
    nothing; the text may be malformed. Counts a name and its value as one element each.
*/
bool isWithinJsonBounds(std::string_view text, std::size_t maximumElements);

/** Parses JSON that others have written. Returns a discarded value when @p text is malformed, is nested more deeply
   than maximumJsonDepth, or has more elements than @p maximumElements: copies, comparisons and dumps of a value
   recurse, so deep nesting would exhaust the stack, and many short elements take many times the memory of their text.
*/
nlohmann::json parseBoundedJson(std::string_view text, std::size_t maximumElements = maximumJsonElements);

}
