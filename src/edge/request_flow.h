#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "edge/answers.h"
#include "edge/edge_types.h"
#include "edge/endpoint_pool.h"
#include "metrics/request_metrics.h"

namespace guavabay {

/// Retries that a customer may use: a share of its successes, with a small stock to begin with.
struct retry_budget {
    double m_stock = 10;
};

/// Serves one request after another: finds the contract, asks the control thread for a slot,
/// sends the request to the endpoint and gives the answer. Lives on the edge's thread.
class request_flow {
public:
    /// Sends an event to the control thread; false when its ring is full.
    using event_sender = std::function<bool(edge_event&&)>;

    /// Makes a flow whose request ids start with the given origin.
    request_flow(asio::io_context& context, const edge_limits& limits, std::uint64_t origin,
                 event_sender sender, request_metrics& metrics);

    /// Serves one request; gives the answer for the caller.
    asio::awaitable<string_response> serve(http::request<http::string_body> request);

    /// Takes an answer from the control thread.
    void take(const edge_answer& answer);

    /// Takes the configuration in force.
    void take(config_view_ptr view) { m_view = std::move(view); }

    /// Closes idle connections to endpoints. Called once a second.
    void tend(time_point now) { m_pool.close_stale(now); }

private:
    /// Wakes the request that waits for an answer of the control thread.
    struct waiter {
        asio::steady_timer m_timer;
        std::optional<edge_answer> m_answer;
    };

    /// What is known of one request while it is served.
    struct request_context {
        request_id m_id;
        customer_id m_customer;
        const service_grant* m_grant = nullptr;
        config_view_ptr m_view; ///< Keeps the grant alive.
        bool m_idempotent = true;
        time_point m_started{};
        time_point m_slot_deadline{};
        std::optional<key_record> m_key;
        time_point m_key_valid_until = time_point::max();
        epoch m_epoch;
        finished_request m_finished;
        std::vector<endpoint_id> m_excluded;
    };

    /// How one attempt at an endpoint went.
    struct attempt {
        std::optional<error_kind> m_failure; ///< Empty when there is an answer.
        bool m_may_retry = false;
        string_response m_response;
    };

    asio::awaitable<std::optional<edge_answer>> ask(edge_event event, request_id id,
                                                    time_point deadline);
    asio::awaitable<std::optional<error_kind>> claim(request_context& context);
    asio::awaitable<string_response> run(request_context& context,
                                         http::request<http::string_body>& request);
    asio::awaitable<attempt> attempt_once(request_context& context,
                                          const http::request<http::string_body>& request);
    std::optional<error_kind> admit(request_context& context,
                                    const http::request<http::string_body>& request);
    void finish_claim(request_context& context, key_state state, unsigned status);
    bool spend_retry(const customer_id& customer);
    [[nodiscard]] duration patience_for(const service_id& service) const;
    request_id take_id();

    asio::io_context& m_context;
    edge_limits m_limits;
    std::uint64_t m_origin;
    std::uint64_t m_sequence = 0;
    event_sender m_send;
    request_metrics& m_metrics;
    endpoint_pool m_pool;
    config_view_ptr m_view;
    std::unordered_map<request_id, waiter*> m_waiters;
    std::map<customer_id, retry_budget> m_budgets;
    std::map<service_id, double> m_mean_run_us;
};

} // namespace guavabay
