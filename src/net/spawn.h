#pragma once

#include <exception>
#include <string>
#include <utility>

#include "core/time.h"
#include "log/log.h"
#include "net/asio.h"

namespace guavabay {

/// Pause before a loop that ended with an unexpected error runs again.
inline constexpr milliseconds restart_pause{200};

/// Text of an unexpected error, for the log.
inline std::string describe(const std::exception_ptr& error)
{
    try {
        std::rethrow_exception(error);
    }
    catch (const std::exception& known) {
        return known.what();
    }
    catch (...) {
        return "unknown exception";
    }
}

/// Starts a coroutine on a context. An exception that leaves it is logged and ends only this
/// coroutine, not the process.
template <typename Coroutine>
void spawn(asio::io_context& context, const char* what, Coroutine&& coroutine)
{
    asio::co_spawn(
        context, std::forward<Coroutine>(coroutine), [what](const std::exception_ptr& error) {
            if (error) {
                log_error("unexpected error in " + std::string(what) + ": " + describe(error));
            }
        });
}

/// Runs a loop until it returns; runs it again after a pause if an exception leaves it. For loops
/// without which a host would go on in part only.
template <typename Loop>
asio::awaitable<void> keep_running(asio::io_context& context, const char* what, Loop loop)
{
    asio::steady_timer timer(context);
    while (true) {
        std::exception_ptr error;
        try {
            co_await loop();
            co_return;
        }
        catch (...) {
            error = std::current_exception();
        }
        log_error("unexpected error in " + std::string(what) +
                  ", running it again: " + describe(error));
        timer.expires_after(restart_pause);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

/// Starts a loop with keep_running().
template <typename Loop>
void spawn_loop(asio::io_context& context, const char* what, Loop loop)
{
    spawn(context, what, [&context, what, loop = std::move(loop)]() mutable {
        return keep_running(context, what, std::move(loop));
    });
}

} // namespace guavabay
