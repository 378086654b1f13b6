#pragma once

#include <optional>
#include <string>
#include <utility>

namespace guavabay {

/// The reason of the last failure on this thread; set by every function that returns an empty
/// optional, and meaningful only directly after one did.
std::string& last_reason();

/// Records why a function fails and gives the empty optional to return.
inline std::nullopt_t fail(std::string reason)
{
    last_reason() = std::move(reason);
    return std::nullopt;
}

} // namespace guavabay
