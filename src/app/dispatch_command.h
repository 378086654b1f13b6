#pragma once

#include <string>
#include <vector>

namespace guavabay {

/// Runs an entry host on the platform until it is told to stop. Gives the exit status: 2 for
/// settings that are not allowed, 1 when an address is taken.
int run_dispatch(const std::vector<std::string>& arguments);

} // namespace guavabay
