#pragma once

#include <string>
#include <vector>

namespace guavabay {

/// Runs guavabay status. Gives the exit status.
int run_status(const std::vector<std::string>& arguments);

} // namespace guavabay
