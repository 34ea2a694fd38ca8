#pragma once

#include "rattanroad_inventory/import/SourceText.h"

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rattanroad {

/** The positions of all values in a JSON text by their path, for example "targets[3].worker". The JSON library does not
    record positions.
*/
class JsonPositions {
public:
    /** @p text must be valid JSON. */
    explicit JsonPositions(std::string_view text);

    /** Returns the position of the value at @p path, or of the innermost existing value that contains it. */
    SourcePosition find(std::string path) const;

    /** Returns the paths of keys that occur more than once in an object, with the position of the later value. */
    const std::vector<std::pair<std::string, SourcePosition>>& duplicates() const { return m_duplicates; }

private:
    std::unordered_map<std::string, SourcePosition> m_positions;
    std::vector<std::pair<std::string, SourcePosition>> m_duplicates;
};

}
