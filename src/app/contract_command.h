#pragma once

#include <string>
#include <vector>

namespace guavabay {

/// Runs guavabay contract check, apply, get, list, end or proof. Gives the exit status.
int run_contract(const std::vector<std::string>& arguments);

} // namespace guavabay
