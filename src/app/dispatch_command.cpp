#include "app/dispatch_command.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include "app/exit_status.h"
#include "app/setting.h"
#include "core/result.h"
#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "net/spawn.h"

namespace guavabay {

namespace {

constexpr const char* description =
    "Runs an entry host: takes submissions and runs their tasks on the platform's workers.";

/// Reads the settings file, if there is one, the environment and the flags.
std::optional<host_settings> read_settings(const std::vector<std::string>& arguments)
{
    const char* path = std::getenv("GUAVABAY_SETTINGS");
    if (path != nullptr && *path != '\0' && !apply_settings_file(path)) {
        return std::nullopt;
    }
    const std::optional<parsed_command> parsed =
        parse_command("dispatch", description, declare_host_settings(), "", arguments);
    return parsed ? make_host_settings(parsed->m_values) : std::nullopt;
}

asio::awaitable<void> follow_signals(asio::io_context& context, dispatcher& host,
                                     std::vector<std::string> arguments)
{
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    while (true) {
        error_code error;
        const int signal = co_await signals.async_wait(to_coroutine(error));
        if (error) {
            co_return;
        }
        if (signal != SIGHUP) {
            host.stop();
            continue;
        }
        const std::optional<host_settings> settings = read_settings(arguments);
        if (settings) {
            host.reload(*settings);
        }
        else {
            log_error("dispatch: the settings cannot be used, keeping the former ones: " +
                      last_reason());
        }
    }
}

/// Runs a context until it is stopped. An exception that leaves a handler ends only that handler.
void run_context(asio::io_context& context)
{
    while (true) {
        try {
            context.run();
            return;
        }
        catch (const std::exception& error) {
            log_error("dispatch: unexpected error, going on: " + std::string(error.what()));
        }
    }
}

} // namespace

int run_dispatch(const std::vector<std::string>& arguments)
{
    const std::optional<host_settings> settings = read_settings(arguments);
    if (!settings) {
        std::cerr << "guavabay: " << last_reason() << "\n";
        return exit_usage;
    }
    start_log();
    std::signal(SIGPIPE, SIG_IGN);
    try {
        asio::io_context context(1);
        dispatcher host(context, *settings);
        host.start();
        spawn(context, "the handling of signals", follow_signals(context, host, arguments));
        run_context(context);
    }
    catch (const std::exception& error) {
        std::cerr << "guavabay: " << error.what() << "\n";
        return exit_failure;
    }
    return exit_success;
}

} // namespace guavabay
