#pragma once

#include <string>
#include <vector>

namespace guavabay {

/// Runs `guavabay task`: submits, cancels, lists and explains tasks. Gives the exit status.
int run_task(const std::vector<std::string>& arguments);

} // namespace guavabay
