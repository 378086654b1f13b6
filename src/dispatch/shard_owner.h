#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "dispatch/operator_config.h"
#include "dispatch/retry_pause.h"
#include "dispatch/store_client.h"
#include "peer/host_message.h"
#include "schedule/advice.h"
#include "schedule/shard.h"

namespace guavabay {

/// What a shard's owner needs from its host.
struct owner_surroundings {
    asio::io_context* m_context = nullptr;
    http_client* m_workers = nullptr;
    store_client* m_store = nullptr;
    host_id m_host;
    std::optional<ip_address> m_advice_address;
    schedule_bounds m_bounds;
    /// Until when this host's records are surely its own.
    std::function<time_point()> m_proven_until;
    /// True when the store serves nobody, so that nobody can take over.
    std::function<bool()> m_store_away_for_all;
};

/// Owns one shard for one token: keeps its log in the store, holds its workers, and carries out
/// what the schedule decides. Lives until the shard is lost or given away.
class shard_owner : public std::enable_shared_from_this<shard_owner> {
public:
    /// Makes an owner of a shard under a token; nothing is sent before start.
    shard_owner(owner_surroundings surroundings, service_id service, revision token);

    /// Begins to read the log and then to serve.
    void start(const std::vector<queue_contract>& queues);

    /// Ends everything at once; callers that wait learn that the outcome is unknown.
    void lose();

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
    [[nodiscard]] bool is_alive() const { return !m_over; }

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

    [[nodiscard]] bool is_proven() const;
    void follow_proof();
    void wake();
    void run_plan();
    void start_worker_loops();
    void flush_notes();
    asio::awaitable<bool> load();
    asio::awaitable<void> run();
    asio::awaitable<void> tick();
    asio::awaitable<void> write_log();
    asio::awaitable<bool> write_batch(log_batch& batch);
    void withdraw_from(std::vector<log_entry>& entries);
    asio::awaitable<void> follow_worker(worker_id worker);
    asio::awaitable<void> carry_out(worker_order order);
    void ask_advice();
    asio::awaitable<void> ask_advice(advice_request request);
    asio::awaitable<wait_result> wait_until_stored(submission_id id, milliseconds timeout);

    owner_surroundings m_around;
    shard m_shard;
    std::string m_log_prefix;
    std::uint64_t m_next_log = 1;
    bool m_over = false;
    bool m_releasing = false;
    bool m_plan_pending = false;
    time_point m_planned_at{};
    bool m_writing = false;
    bool m_store_fails = false;
    time_point m_store_retry_at{};
    asio::steady_timer m_log_wake;
    asio::steady_timer m_tick;
    asio::steady_timer m_plan_wake;
    std::set<worker_id> m_followed;
    std::map<worker_id, asio::steady_timer*> m_hold_wakes;
    std::multimap<submission_id, waiter*> m_waiters;
    std::size_t m_orders_under_way = 0;
};

} // namespace guavabay
