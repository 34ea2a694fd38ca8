#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rattanroad {

/** Returns the base64 form of @p bytes, with padding. */
std::string encodeBase64(std::string_view bytes);
/** Returns the bytes of a padded base64 text, or nothing when it is malformed. */
std::optional<std::string> decodeBase64(std::string_view text);

}
