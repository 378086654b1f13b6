#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "edge/answers.h"
#include "edge/edge_types.h"
#include "metrics/request_metrics.h"
#include "net/address.h"
#include "net/request_reader.h"
#include "node/node_events.h"

namespace guavabay {

/// Serves operators over HTTP: contracts, status, proofs, metrics and health. Lives on a thread
/// of its own.
class operator_server {
public:
    /// Sends a call to the control thread; false when its ring is full.
    using request_sender = std::function<bool(operator_request&&)>;

    /// Opens the operators' address for at most a number of connections at one time. Throws
    /// boost::system::system_error when it is taken.
    operator_server(asio::io_context& context, const ip_address& address,
                    std::size_t max_connections, std::string key, request_sender sender,
                    const request_metrics& metrics, shared_state& shared);

    /// Takes the control thread's answer to a call.
    void take(operator_answer&& answer);

private:
    struct waiter {
        asio::steady_timer m_timer;
        std::optional<operator_answer> m_answer;
    };

    asio::awaitable<void> accept();
    struct open_connection;

    asio::awaitable<void> serve_connection(std::unique_ptr<open_connection> connection);
    asio::awaitable<string_response> answer_to(const http::request<http::string_body>& request);
    asio::awaitable<string_response> call_control(operator_request call);
    std::optional<string_response> answer_here(const http::request<http::string_body>& request);

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_key;
    request_sender m_send;
    const request_metrics& m_metrics;
    shared_state& m_shared;
    std::uint64_t m_next_number = 1;
    std::map<std::uint64_t, waiter*> m_waiters;
    std::shared_ptr<connection_budget> m_budget; ///< Outlives this: connections leave it later.
};

} // namespace guavabay
