#include "rattanroad_network/http/HttpTypes.h"

namespace rattanroad {

const std::string* HttpRequest::header(std::string_view name) const
{
    for (const HttpHeader& header : headers) {
        if (header.name == name)
            return &header.value;
    }
    return nullptr;
}

}
