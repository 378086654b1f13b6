#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "edge/request_flow.h"
#include "net/request_reader.h"

namespace guavabay {

/// Accepts callers' connections and serves their requests one after another on each. Lives on
/// the edge's thread.
class edge_server {
public:
    /// Opens the callers' address. Throws boost::system::system_error when it is taken.
    edge_server(asio::io_context& context, const ip_address& address, const edge_limits& limits,
                request_flow& flow, shared_state& shared, std::function<void()> on_idle);

    /// Starts a planned stop: requests on open connections are served for a while, each answer
    /// closes its connection, and the idle function is called once nothing is left.
    void stop();

    /// The port that callers connect to.
    [[nodiscard]] std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    /// Number of requests being served.
    [[nodiscard]] std::size_t active_requests() const { return m_active; }

private:
    asio::awaitable<void> accept();
    struct open_connection;

    asio::awaitable<void> serve_connection(std::unique_ptr<open_connection> connection);
    asio::awaitable<bool> serve_one(open_connection& connection, beast::flat_buffer& buffer);
    /// Reads a request whole, after an invitation to send its body where the caller waits for one.
    asio::awaitable<error_code> read_whole(open_connection& connection, beast::flat_buffer& buffer,
                                           request_parser& parser);
    asio::awaitable<string_response> answer_to(http::request<http::string_body> request);
    asio::awaitable<void> refuse_connection(asio::ip::tcp::socket socket);
    asio::awaitable<void> drain();
    asio::awaitable<void> tend();

    void close_idle();

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    edge_limits m_limits;
    request_flow& m_flow;
    shared_state& m_shared;
    std::function<void()> m_on_idle;
    std::shared_ptr<connection_budget> m_budget; ///< Outlives this: connections leave it later.
    std::size_t m_active = 0;
    bool m_stopping = false;
    bool m_closing = false; ///< Past the drain time: idle connections are closed.
};

} // namespace guavabay
