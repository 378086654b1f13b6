#pragma once

#include <string>
#include <vector>

namespace guavabay {

/// Runs guavabay contract check, apply, get, list, end or proof. Gives the exit status.
int run_contract(const std::vector<std::string>& arguments);

/// Runs guavabay status. Gives the exit status.
int run_status(const std::vector<std::string>& arguments);

} // namespace guavabay
