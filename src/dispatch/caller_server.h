#pragma once

#include <functional>
#include <set>
#include <string>

#include "core/time.h"
#include "dispatch/operator_config.h"
#include "net/address.h"
#include "net/http_call.h"

namespace guavabay {

/// The parts of a caller's HTTP request that determine the response.
struct caller_request {
    std::string m_method;
    std::string m_host;          ///< Host header; may include a port.
    std::string m_path;          ///< Request target, with its query.
    std::string m_authorization; ///< Authorization header; empty if there is none.
    std::string m_body;
    milliseconds m_timeout{0}; ///< How long the caller waits; zero if it sent no valid value.
};

/// The response to a caller.
struct caller_answer {
    unsigned m_status = 503;
    std::string m_body;
    std::uint32_t m_retry_after_s = 0; ///< Zero sends no Retry-After header.
    std::string m_content_type = "application/json";
};

/// HTTP/1.1 server with persistent connections. Must be used on the thread that runs its
/// io_context.
class caller_server {
public:
    /// Produces the response to a request.
    using request_handler = std::function<asio::awaitable<caller_answer>(caller_request)>;

    /// Listens on an address and starts to accept connections. Throws boost::system::system_error
    /// if the address cannot be bound.
    caller_server(asio::io_context& context, const ip_address& address, request_handler handler);

    /// Sets the limits that apply from the next request of each connection.
    void set_limits(const request_limits& limits) { m_limits = limits; }

    /// Closes each connection after its next response. Idle connections stay open until their next
    /// request or the idle timeout.
    void drain();

    /// Number of requests that were read and whose responses are not yet fully sent.
    [[nodiscard]] std::size_t requests_in_flight() const { return m_requests_in_flight; }

    /// Number of open connections.
    [[nodiscard]] std::size_t open_connections() const { return m_open_connections; }

    /// Time at which the last request was read.
    [[nodiscard]] time_point last_request_at() const { return m_last_request_at; }

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket);

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    request_handler m_handler;
    request_limits m_limits;
    std::size_t m_requests_in_flight = 0;
    std::size_t m_open_connections = 0;
    time_point m_last_request_at{};
    bool m_draining = false;
};

} // namespace guavabay
