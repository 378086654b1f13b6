#include "log/log.h"

#include <atomic>
#include <chrono>
#include <easylogging++.h>
#include <map>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace guavabay {

namespace {

constexpr std::chrono::seconds repeat_window{1};
constexpr std::size_t max_remembered = 256;

/// When a line was last written and how often it was held back since.
struct repeat_state {
    std::chrono::steady_clock::time_point m_written;
    unsigned m_held_back = 0;
};

std::atomic<log_threshold> threshold_in_force{log_threshold::info};

/// Says whether a line may be written now, with the number of equal lines held back before.
bool admit(std::string_view line, unsigned& held_back)
{
    static std::mutex mutex;
    static std::map<std::string, repeat_state, std::less<>> remembered;
    const std::lock_guard lock(mutex);
    const auto now = std::chrono::steady_clock::now();
    if (remembered.size() > max_remembered) {
        remembered.clear();
    }
    const auto [it, added] = remembered.try_emplace(std::string(line), repeat_state{now, 0});
    if (!added && now - it->second.m_written < repeat_window) {
        ++it->second.m_held_back;
        return false;
    }
    held_back = it->second.m_held_back;
    it->second = {now, 0};
    return true;
}

/// The text to write, with a note on what was held back; empty when nothing is to be written.
std::string prepare(std::string_view line, log_threshold level)
{
    unsigned held_back = 0;
    if (level < threshold_in_force.load() || !admit(line, held_back)) {
        return {};
    }
    std::string text(line);
    if (held_back > 0) {
        text += " repeated=" + std::to_string(held_back);
    }
    return text;
}

} // namespace

void start_log()
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    el::Loggers::reconfigureLogger("default", settings);
}

void set_log_threshold(log_threshold threshold)
{
    threshold_in_force.store(threshold);
}

void log_info(std::string_view line)
{
    const std::string text = prepare(line, log_threshold::info);
    if (!text.empty()) {
        LOG(INFO) << text;
    }
}

void log_warning(std::string_view line)
{
    const std::string text = prepare(line, log_threshold::warning);
    if (!text.empty()) {
        LOG(WARNING) << text;
    }
}

void log_error(std::string_view line)
{
    const std::string text = prepare(line, log_threshold::error);
    if (!text.empty()) {
        LOG(ERROR) << text;
    }
}

} // namespace guavabay
