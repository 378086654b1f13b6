#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "net/address.h"

namespace guavabay {

/// How an exchange with an endpoint ended.
enum class exchange_end : std::uint8_t {
    answered,  ///< The whole answer arrived.
    not_sent,  ///< No complete request reached the endpoint.
    silent,    ///< The request was complete and the connection gave no sign in time.
    lost,      ///< The request was complete and the connection broke.
    timed_out, ///< The request was complete and no answer came within the run limit.
    truncated, ///< The answer ended early, or cannot be told from one that did.
    too_large, ///< The answer exceeds the limit.
};

/// A request as it goes to an endpoint.
struct endpoint_call {
    std::string m_address;
    http::request<http::string_body> m_request;
    bool m_idempotent = false;
    duration m_run_limit{};
    duration m_patience{}; ///< Longest wait for an answer on a connection that was used before.
    std::function<bool()> m_may_send; ///< Asked at the last moment before the request is complete.
};

/// What came back from an endpoint.
struct endpoint_answer {
    exchange_end m_end = exchange_end::not_sent;
    bool m_reused_connection = false;
    http::response<http::string_body> m_response;
};

/// Connections to endpoints, kept for reuse. A connection goes back into the pool only after a
/// whole answer.
class endpoint_pool {
public:
    /// Makes an empty pool that accepts answers up to a size in bytes.
    endpoint_pool(asio::io_context& context, std::uint64_t max_answer_bytes);

    /// Sends a request and waits for the whole answer. A request that is not idempotent is held
    /// back incomplete until the endpoint has shown on this connection that it is there.
    asio::awaitable<endpoint_answer> exchange(endpoint_call call);

    /// Closes connections that were idle for long. Called once a second or so.
    void close_stale(time_point now);

private:
    struct idle_connection {
        std::unique_ptr<beast::tcp_stream> m_stream;
        time_point m_since{};
    };

    /// The connections to one endpoint. As many are kept as were in use at one time of late.
    struct connection_set {
        std::vector<idle_connection> m_idle;
        std::size_t m_busy = 0;
        std::size_t m_peak = 0;        ///< Most in use at one time in this period.
        std::size_t m_former_peak = 0; ///< The same of the period before.
    };

    void give_back(const std::string& address, std::unique_ptr<beast::tcp_stream> stream);
    asio::awaitable<std::unique_ptr<beast::tcp_stream>> connect(const ip_address& address);
    asio::awaitable<endpoint_answer> exchange_on(beast::tcp_stream& stream, endpoint_call& call,
                                                 bool reused);

    asio::io_context& m_context;
    std::uint64_t m_max_answer_bytes;
    std::map<std::string, connection_set> m_connections;
    time_point m_period_began{};
};

} // namespace guavabay
