#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace rattanroad {

/** A position in a file. Lines and columns are counted from 1; a column is one byte. */
struct SourcePosition {
    std::size_t line { 1 };
    std::size_t column { 1 };

    /** Moves the position past @p character. */
    void advance(char character)
    {
        column = character == '\n' ? 1 : column + 1;
        line += character == '\n';
    }

    /** Returns the position of the byte @p offset in @p text. */
    static SourcePosition ofOffset(std::string_view text, std::size_t offset)
    {
        SourcePosition position;
        for (const char character : text.substr(0, offset))
            position.advance(character);
        return position;
    }
};

/** The name and contents of a file. */
struct SourceFile {
    std::string name;
    std::string text;

    /** Returns whether the file name ends in ".csv". */
    bool isCsv() const { return name.size() > 4 && name.compare(name.size() - 4, 4, ".csv") == 0; }
};

}
