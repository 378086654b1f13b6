#pragma once

#include <string>
#include <string_view>

namespace guavabay {

/// Severity of a log line, lowest first.
enum class log_threshold : unsigned char { info, warning, error };

/// Sends all log lines to standard output. Called once, before any thread starts.
void start_log();

/// Shows only lines of this severity and above. May be called from any thread.
void set_log_threshold(log_threshold threshold);

/// Writes a line; a line that repeats within a second is counted instead and reported later.
void log_info(std::string_view line);
/// Writes a line about something that an operator may have to look at.
void log_warning(std::string_view line);
/// Writes a line about something that went wrong.
void log_error(std::string_view line);

} // namespace guavabay
