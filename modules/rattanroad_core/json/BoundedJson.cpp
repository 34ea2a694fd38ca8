#include "rattanroad_core/json/BoundedJson.h"

namespace rattanroad {

using nlohmann::json;

json parseBoundedJson(std::string_view text)
{
    bool isTooDeep = false;
    const auto checkDepth = [&isTooDeep](int depth, json::parse_event_t, const json&) {
        isTooDeep = isTooDeep || depth > maximumJsonDepth;
        return !isTooDeep;
    };
    json value = json::parse(text, checkDepth, false);
    if (isTooDeep)
        return json::value_t::discarded;
    return value;
}

}
