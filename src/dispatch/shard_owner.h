#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "dispatch/installation.h"
#include "dispatch/retry_backoff.h"
#include "dispatch/store_link.h"
#include "peer/host_message.h"
#include "schedule/advice.h"
#include "schedule/shard.h"

namespace guavabay {

/// What a shard's owner needs from its host.
struct shard_owner_dependencies {
    asio::io_context* m_context = nullptr;
    http_client* m_workers = nullptr;
    store_link* m_store = nullptr;
    host_id m_host;
    std::optional<ip_address> m_advice_address;
    schedule_bounds m_bounds;
    /// Until when this host's records are surely its own.
    std::function<time_point()> m_lease_valid_until;
    /// True when the store serves nobody, so that nobody can take over.
    std::function<bool()> m_store_unreachable_for_all;
};

/// Owns one shard for one token: keeps its log in the store, holds its workers, and carries out
/// what the schedule decides. Lives until the shard is lost or given away.
class shard_owner : public std::enable_shared_from_this<shard_owner> {
public:
    /// Makes an owner of a shard under a token; nothing is sent before start.
    shard_owner(shard_owner_dependencies dependencies, service_id service, revision token);

    /// Begins to read the log and then to serve.
    void start(const std::vector<queue_contract>& queues);

    /// Ends everything at once; callers that wait learn that the outcome is unknown.
    void stop();

    /// Gives the shard away in order: what is known is stored, and the record is removed.
    asio::awaitable<void> release();

    /// Takes the operator's queues.
    void set_queues(const std::vector<queue_contract>& queues);

    /// Takes a reading of the workers' list.
    void set_workers(const std::vector<worker_listing>& listings);

    /// Hands in a submission.
    asio::awaitable<owner_reply> submit(queue_id queue, submission_id id, submission what);
    /// Cancels a submission.
    asio::awaitable<owner_reply> cancel(submission_id id);
    /// Tells a submission's state.
    [[nodiscard]] owner_reply state(const submission_id& id) const;
    /// Tells how many submissions of a queue wait.
    [[nodiscard]] owner_reply count(const queue_id& queue) const;
    /// Keeps machines free of work.
    cordon_reply cordon(const cordon_request& request);

    /// True until the shard is lost or given away.
    [[nodiscard]] bool is_alive() const { return !m_stopped; }

    /// The state, for the metrics and for status answers.
    [[nodiscard]] const shard& state() const { return m_shard; }

private:
    /// A caller that waits until a batch is durable.
    struct waiter {
        asio::steady_timer* m_timer = nullptr;
        bool m_stored = false;
        bool m_withdrawn = false;
    };

    /// How the wait of a caller ended.
    enum class wait_result : std::uint8_t { stored, withdrawn, unknown };

    [[nodiscard]] bool is_lease_valid() const;
    void update_permissions();
    void schedule_plan();
    void run_plan();
    void start_worker_loops();
    void log_notes();
    asio::awaitable<bool> load_log();
    asio::awaitable<void> run();
    asio::awaitable<void> run_plan_loop();
    asio::awaitable<void> write_log_loop();
    asio::awaitable<bool> write_batch(log_batch& batch);
    void withdraw_submissions(std::vector<log_entry>& entries);
    asio::awaitable<void> hold_worker_loop(worker_id worker);
    asio::awaitable<void> send_order(worker_order order);
    void request_advice();
    asio::awaitable<void> request_advice(advice_request request);
    asio::awaitable<wait_result> wait_until_stored(submission_id id, milliseconds timeout);

    shard_owner_dependencies m_dependencies;
    shard m_shard;
    std::string m_log_prefix;
    std::uint64_t m_next_log_number = 1;
    bool m_stopped = false;
    bool m_releasing = false;
    bool m_plan_pending = false;
    time_point m_last_plan_at{};
    bool m_writing = false;
    bool m_store_failing = false;
    time_point m_store_retry_at{};
    asio::steady_timer m_log_timer;
    asio::steady_timer m_loop_timer;
    asio::steady_timer m_plan_timer;
    std::set<worker_id> m_held_workers;
    std::map<worker_id, asio::steady_timer*> m_hold_timers;
    std::multimap<submission_id, waiter*> m_waiters;
    std::size_t m_orders_in_flight = 0;
};

} // namespace guavabay
