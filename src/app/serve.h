#pragma once

#include <string>
#include <vector>

namespace guavabay {

/// Runs an entry host's process until it is told to stop. Gives the exit status.
int run_serve(const std::vector<std::string>& arguments);

} // namespace guavabay
