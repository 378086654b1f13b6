#include <iostream>
#include <string>
#include <vector>

#include "app/contract_command.h"
#include "app/dispatch_command.h"
#include "app/exit_status.h"
#include "app/fleet_command.h"
#include "app/operator_client.h"
#include "app/reference.h"
#include "app/replay_command.h"
#include "app/serve.h"
#include "app/serve_settings.h"
#include "app/status_command.h"
#include "app/task_command.h"
#include "app/version.h"
#include "dispatch/host_settings.h"

namespace {

constexpr const char* usage = "usage: guavabay COMMAND [FLAGS]\n"
                              "  serve      runs an entry host's process\n"
                              "  dispatch   runs an entry host that takes submissions\n"
                              "  contract   check, apply, get, list, end, proof\n"
                              "  status     shows entry hosts and what is in force on them\n"
                              "  fleet      status, move\n"
                              "  wave       start, pause, resume, status\n"
                              "  task       submit, cancel, list, explain\n"
                              "  replay     replays recorded traces through the decisions\n"
                              "  reference  prints all settings and errors as Markdown\n"
                              "Each command explains itself with --help.\n";

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (words.empty()) {
        std::cerr << usage;
        return guavabay::exit_usage;
    }
    const std::string& command = words.front();
    const std::vector<std::string> rest(words.begin() + 1, words.end());
    if (command == "--help" || command == "help") {
        std::cout << usage;
        return guavabay::exit_success;
    }
    if (command == "--version") {
        std::cout << "guavabay " << guavabay::program_version << "\n";
        return guavabay::exit_success;
    }
    if (command == "reference") {
        std::cout << guavabay::describe_settings(guavabay::declare_serve_settings()) << "\n"
                  << guavabay::describe_settings(guavabay::declare_host_settings()) << "\n"
                  << guavabay::describe_settings(guavabay::declare_operator_settings()) << "\n"
                  << guavabay::describe_errors();
        return guavabay::exit_success;
    }
    if (command == "serve") {
        return guavabay::run_serve(rest);
    }
    if (command == "dispatch") {
        return guavabay::run_dispatch(rest);
    }
    if (command == "contract") {
        return guavabay::run_contract(rest);
    }
    if (command == "status") {
        return guavabay::run_status(rest);
    }
    if (command == "fleet") {
        return guavabay::run_fleet(rest);
    }
    if (command == "wave") {
        return guavabay::run_wave(rest);
    }
    if (command == "task") {
        return guavabay::run_task(rest);
    }
    if (command == "replay") {
        return guavabay::run_replay(rest);
    }
    std::cerr << "guavabay: unknown command " << command << "\n" << usage;
    return guavabay::exit_usage;
}
