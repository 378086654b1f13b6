#pragma once

#include <string>
#include <vector>

namespace guavabay {

/// Runs guavabay fleet status or move. Gives the exit status.
int run_fleet(const std::vector<std::string>& arguments);

/// Runs guavabay wave start, pause, resume or status. Gives the exit status.
int run_wave(const std::vector<std::string>& arguments);

} // namespace guavabay
