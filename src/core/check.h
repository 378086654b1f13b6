#pragma once

#include <source_location>

namespace guavabay {

/// Reports a broken invariant on standard error and aborts the process.
[[noreturn]] void check_failed(const char* condition, const std::source_location& where);

/// Aborts the process when an invariant of this program does not hold. Never used for input.
inline void check(bool holds, const char* condition,
                  const std::source_location& where = std::source_location::current())
{
    if (!holds) {
        check_failed(condition, where);
    }
}

} // namespace guavabay
