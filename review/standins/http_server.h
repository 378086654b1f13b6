#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "asio.h"

namespace review {

/// A request as a stand-in handles it.
struct http_request {
    std::string m_method;
    std::string m_path;
    std::map<std::string, std::string> m_query;
    std::string m_body;
    std::string m_expected_instance;
};

/// The answer to a request.
struct http_reply {
    unsigned m_status = 200;
    std::string m_body = "{}";
};

/// Finds a free loopback port outside the range of outgoing connections.
unsigned short find_free_port();

/// Serves HTTP/1.1 on a loopback address.
class http_server {
public:
    /// Handles a request. An empty result sends no answer and leaves the connection open.
    using handler = std::function<asio::awaitable<std::optional<http_reply>>(http_request)>;

    http_server(asio::io_context& context, handler handler);

    /// Starts to listen, on the former port if there was one.
    void open();

    /// Stops listening and resets all connections.
    void close();

    /// Resets all connections.
    void reset_connections();

    [[nodiscard]] std::string address() const;

private:
    asio::awaitable<void> accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor);
    asio::awaitable<void> serve(std::shared_ptr<beast::tcp_stream> stream);

    asio::io_context& m_context;
    handler m_handler;
    std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
    unsigned short m_port = 0;
    std::set<std::shared_ptr<beast::tcp_stream>> m_connections;
};

} // namespace review
