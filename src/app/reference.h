#pragma once

#include <string>
#include <vector>

#include "app/setting.h"

namespace guavabay {

/// A Markdown table of settings, for the documentation.
std::string describe_settings(const std::vector<setting>& settings);

/// A Markdown table of the error kinds and their answers, for the documentation.
std::string describe_errors();

} // namespace guavabay
