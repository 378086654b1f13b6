#pragma once

#include <string>
#include <vector>

namespace guavabay {

/// Runs guavabay replay: prints a line for each stated outcome and the measures. Gives the exit
/// status, which is a failure when an outcome does not hold.
int run_replay(const std::vector<std::string>& arguments);

} // namespace guavabay
