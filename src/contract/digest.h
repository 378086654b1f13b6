#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "contract/contract.h"

namespace guavabay {

/// SHA-256 of a bearer key.
key_digest digest_of(std::string_view key);

/// Reads 64 hexadecimal digits; empty with a reason when malformed.
std::optional<key_digest> parse_digest(std::string_view text);

/// Writes a digest as 64 hexadecimal digits.
std::string format_digest(const key_digest& digest);

/// Compares two digests in time that does not depend on where they differ.
bool equal_in_constant_time(const key_digest& left, const key_digest& right);

} // namespace guavabay
