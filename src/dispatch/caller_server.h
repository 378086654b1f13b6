#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/time.h"
#include "dispatch/operator_config.h"
#include "net/address.h"
#include "net/connection_budget.h"
#include "net/http_call.h"
#include "net/request_reader.h"

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

    /// Listens on an address and starts to accept connections, which count as those of a port of
    /// the budget. Throws boost::system::system_error if the address cannot be bound.
    caller_server(asio::io_context& context, const ip_address& address,
                  std::shared_ptr<connection_budget> budget, budget_port port,
                  request_handler handler);

    /// Sets the limits that apply from the next request of each connection.
    void set_limits(const request_limits& limits) { m_limits = limits; }

    /// Closes each connection after its next response. Idle connections stay open until their next
    /// request or the idle timeout.
    void drain();

    /// Number of requests that were read and whose responses are not yet fully sent.
    [[nodiscard]] std::size_t requests_in_flight() const { return m_requests_in_flight; }

    /// Number of open connections.
    [[nodiscard]] std::size_t open_connections() const;

    /// Time at which the last request was read.
    [[nodiscard]] time_point last_request_at() const { return m_last_request_at; }

private:
    struct open_connection;

    asio::awaitable<void> accept();
    /// Closes connections whose time is over, as long as any are open.
    asio::awaitable<void> close_expired_connections();
    /// Serves a new connection, or refuses it if the budget does.
    void add_connection(std::unique_ptr<open_connection> connection);
    /// Limits what the system receives for new connections while there are many.
    void adapt_receive_buffers();
    asio::awaitable<void> serve(std::unique_ptr<open_connection> connection);
    [[nodiscard]] state_timeouts timeouts() const;

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<connection_budget> m_budget; ///< Outlives this: connections leave it later.
    budget_port m_port;
    asio::steady_timer m_expiry_timer;
    request_handler m_handler;
    request_limits m_limits;
    std::size_t m_requests_in_flight = 0;
    time_point m_last_request_at{};
    bool m_draining = false;
    bool m_is_crowded = false; ///< New connections have small receive buffers.
};

} // namespace guavabay
