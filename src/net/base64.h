#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace guavabay {

/// Encodes bytes as base64 with padding.
std::string to_base64(std::string_view bytes);

/// Decodes base64 with padding; empty with a reason when malformed.
std::optional<std::string> from_base64(std::string_view text);

} // namespace guavabay
