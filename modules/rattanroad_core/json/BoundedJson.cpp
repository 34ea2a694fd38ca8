#include "rattanroad_core/json/BoundedJson.h"

namespace rattanroad {

using nlohmann::json;

namespace {
    /** Returns the position of the quote that ends the string whose first character is at @p begin. */
    std::size_t endOfString(std::string_view text, std::size_t begin)
    {
        for (std::size_t end = text.find('"', begin); end != std::string_view::npos; end = text.find('"', end + 1)) {
            std::size_t backslashes = 0;
            while (end - backslashes > begin && text[end - backslashes - 1] == '\\')
                ++backslashes;
            if (backslashes % 2 == 0)
                return end;
        }
        return text.size();
    }
}

bool isWithinJsonBounds(std::string_view text, std::size_t maximumElements)
{
    int depth = 0;
    std::size_t elements = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        switch (text[i]) {
        case '"':
            i = endOfString(text, i + 1);
            break;
        case '[':
        case '{':
            ++elements;
            if (++depth > maximumJsonDepth)
                return false;
            break;
        case ']':
        case '}':
            --depth;
            break;
        case ',':
        case ':':
            ++elements;
            break;
        default:
            break;
        }
        if (elements > maximumElements)
            return false;
    }
    return true;
}

json parseBoundedJson(std::string_view text, std::size_t maximumElements)
{
    if (!isWithinJsonBounds(text, maximumElements))
        return json::value_t::discarded;
    return json::parse(text, nullptr, false);
}

}
