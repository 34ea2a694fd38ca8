#include "rattanroad_core/json/BoundedJson.h"

namespace rattanroad {

using nlohmann::json;

bool isWithinJsonBounds(std::string_view text, std::size_t maximumElements)
{
    int depth = 0;
    std::size_t elements = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        switch (text[i]) {
        case '"':
            for (++i; i < text.size() && text[i] != '"'; ++i) {
                if (text[i] == '\\')
                    ++i;
            }
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
