#pragma once

#include <functional>
#include <set>
#include <string>

#include "core/time.h"
#include "dispatch/operator_config.h"
#include "net/address.h"
#include "net/http_call.h"

namespace guavabay {

/// A caller's request as far as the answer depends on it.
struct caller_request {
    std::string m_method;
    std::string m_host;
    std::string m_path;
    std::string m_body;
    milliseconds m_patience{0}; ///< How long the caller waits; zero when it does not tell.
};

/// The answer to a caller.
struct caller_answer {
    unsigned m_status = 503;
    std::string m_body;
    std::uint32_t m_retry_after_s = 0; ///< Zero advises no retry.
    std::string m_content_type = "application/json";
};

/// Serves HTTP/1.1 to callers. Used on the thread of its context.
class caller_server {
public:
    /// Answers a request.
    using request_handler = std::function<asio::awaitable<caller_answer>(caller_request)>;

    /// Listens on an address. Throws boost::system::system_error when it is taken.
    caller_server(asio::io_context& context, const ip_address& address, request_handler handler);

    /// Sets the limits for requests on connections that read their next request.
    void set_limits(const request_limits& limits) { m_limits = limits; }

    /// Lets connections end after their next answer; those without a request end at once.
    void drain();

    /// Requests that were read and not answered in full.
    [[nodiscard]] std::size_t in_flight() const { return m_in_flight; }

    /// Open connections.
    [[nodiscard]] std::size_t connections() const { return m_connections; }

    /// When the last request was read.
    [[nodiscard]] time_point last_request() const { return m_last_request; }

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    request_handler m_handler;
    request_limits m_limits;
    std::size_t m_in_flight = 0;
    std::size_t m_connections = 0;
    time_point m_last_request{};
    bool m_draining = false;
};

} // namespace guavabay
