#pragma once

namespace guavabay {

/// The version of the program, as printed by --version.
inline constexpr const char* program_version = "0.2.0";

} // namespace guavabay
