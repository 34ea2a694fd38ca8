#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace rattanroad {

/** A position in a file, counted from 1. */
struct SourcePosition {
    std::size_t line { 1 };
    std::size_t column { 1 };

    /** Moves behind @p character. */
    void advance(char character)
    {
        column = character == '\n' ? 1 : column + 1;
        line += character == '\n';
    }

    /** Returns the position of @p offset in @p text. */
    static SourcePosition ofOffset(std::string_view text, std::size_t offset)
    {
        SourcePosition position;
        for (const char character : text.substr(0, offset))
            position.advance(character);
        return position;
    }
};

/** A file that was read by the caller. */
struct SourceFile {
    std::string name;
    std::string text;

    /** Returns whether the name says that the file holds comma-separated values. */
    bool isCsv() const { return name.size() > 4 && name.compare(name.size() - 4, 4, ".csv") == 0; }
};

}
