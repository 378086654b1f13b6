#pragma once

namespace guavabay {

inline constexpr int exit_success = 0;
/// The command was understood and did not succeed.
inline constexpr int exit_failure = 1;
/// A setting is unknown, missing, malformed or out of range.
inline constexpr int exit_usage = 2;
/// The change was accepted, but is not in force everywhere yet.
inline constexpr int exit_not_in_force = 3;
/// Whether the change took effect is not known.
inline constexpr int exit_unknown = 4;

} // namespace guavabay
