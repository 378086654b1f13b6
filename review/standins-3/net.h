#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// A request that a stand-in has read.
struct request {
    std::string m_method;
    std::string m_path;     ///< Without the query.
    std::string m_query;    ///< Without the question mark.
    std::string m_instance; ///< Lifetime for which an order is meant.
    std::string m_holder;   ///< Holder of a duty, and its fencing token.
    std::int64_t m_token = 0;
    json::object m_body;
};

/// An answer of a stand-in, or of the system to a client.
struct reply {
    unsigned m_status = 0; ///< Zero: there was no answer.
    json::object m_body;
};

using handler = std::function<asio::awaitable<reply>(request)>;

/// Waits.
asio::awaitable<void> pause_for(milliseconds time);

/// Milliseconds of Unix time.
std::int64_t unix_ms();

/// Number in a JSON object; zero if it is missing.
std::int64_t number_of(const json::object& object, const char* name);

/// Text in a JSON object; empty if it is missing.
std::string text_of(const json::object& object, const char* name);

/// Value of a parameter of a query, with percent signs decoded.
std::string parameter_of(const std::string& query, const std::string& name);

/// Standard base64 text with padding, and back.
std::string to_base64(const std::string& bytes);
std::string from_base64(const std::string& text);

/// A port that is free now.
unsigned short find_free_port();

/// Serves HTTP on a loopback port until it is stopped.
class http_server {
public:
    http_server(asio::io_context& context, handler handle);

    /// Listens, on the port that was used before or on a free one.
    void start();

    /// Takes another free port, for the next start.
    void change_port() { m_port = find_free_port(); }

    /// Closes the port and resets all connections.
    void stop();

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    using socket_pointer = std::shared_ptr<asio::ip::tcp::socket>;

    asio::awaitable<void> accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor);
    asio::awaitable<void> serve(socket_pointer socket);

    asio::io_context& m_context;
    handler m_handle;
    unsigned short m_port = 0;
    std::shared_ptr<asio::ip::tcp::acceptor> m_acceptor;
    std::set<socket_pointer> m_sockets;
};

/// Calls the system as a client of it; gives up after a time.
asio::awaitable<reply> call(std::string address, std::string method, std::string host,
                            std::string target, std::string body, milliseconds timeout);

} // namespace review
