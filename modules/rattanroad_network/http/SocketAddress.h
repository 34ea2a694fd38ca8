#pragma once

#include <netinet/in.h>
#include <optional>
#include <string>

namespace rattanroad {

/** Parses "<IPv4 number>:<port>"; returns nothing when @p text is malformed. */
std::optional<sockaddr_in> parseSocketAddress(const std::string& text);

}
