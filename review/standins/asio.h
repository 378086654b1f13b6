#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

/// Completion token that gives a coroutine the result and writes failures to an error code.
inline auto to_coroutine(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// Waits for a length of time.
inline asio::awaitable<void> pause_for(asio::io_context& context, milliseconds length)
{
    asio::steady_timer timer(context, length);
    error_code ignored;
    co_await timer.async_wait(to_coroutine(ignored));
}

} // namespace review
