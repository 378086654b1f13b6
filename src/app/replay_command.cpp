#include "app/replay_command.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "app/exit_status.h"
#include "app/setting.h"
#include "core/result.h"
#include "replay/trace.h"

namespace guavabay {

namespace {

/// Replays one file; gives its exit status.
int replay_file(const std::string& path)
{
    std::ifstream stream(path);
    if (!stream) {
        std::cerr << path << ": cannot be read\n";
        return exit_failure;
    }
    const std::optional<trace> recorded = read_trace(stream);
    std::optional<measures> measured;
    if (recorded) {
        measured = replay(*recorded);
    }
    if (!measured) {
        std::cerr << path << ": " << last_reason() << "\n";
        return exit_failure;
    }
    std::cout << path << "\n";
    int status = exit_success;
    for (const outcome_result& result : judge(*recorded, *measured)) {
        std::cout << (result.m_holds ? "  holds  " : "  FAILS  ") << result.m_line << "\n";
        status = result.m_holds ? status : exit_failure;
    }
    for (const auto& [name, value] : *measured) {
        std::printf("  %-36s %.4g\n", name.c_str(), value);
    }
    std::fflush(stdout);
    return status;
}

} // namespace

int run_replay(const std::vector<std::string>& arguments)
{
    const std::optional<parsed_command> parsed = parse_command(
        "replay", "Replays recorded traces through the decisions.", {}, "TRACE...", arguments);
    if (!parsed || parsed->m_operands.empty()) {
        std::cerr << "guavabay replay: " << (parsed ? "give a trace" : last_reason()) << "\n";
        return exit_usage;
    }
    int worst = exit_success;
    for (const std::string& path : parsed->m_operands) {
        worst = std::max(worst, replay_file(path));
    }
    return worst;
}

} // namespace guavabay
