#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "dispatch/operator_config.h"
#include "dispatch/queue_holders.h"
#include "dispatch/retry_backoff.h"
#include "dispatch/store_client.h"
#include "dispatch/worker_client.h"
#include "dispatch/worker_directory.h"
#include "net/call_limiter.h"
#include "peer/host_message.h"
#include "schedule/advice.h"
#include "schedule/departures.h"
#include "schedule/shard.h"
#include "store/store_item.h"

namespace guavabay {

/// Retry-After, in seconds, of refusals while the store is unreachable.
inline constexpr std::uint32_t retry_after_store_s = 2;

/// What a shard owner uses of its host. The pointers have to outlive the owner.
struct shard_owner_dependencies {
    asio::io_context* m_context = nullptr;
    http_client* m_http = nullptr; ///< For the advice service.
    worker_client* m_workers = nullptr;
    call_limiter* m_orders = nullptr; ///< Bounds the orders to workers; null for no bound.
    store_client* m_store = nullptr;
    const holder_table* m_holders = nullptr; ///< Which shards may hold ids of which queues.
    host_id m_host;
    std::optional<ip_address> m_advice_address;
    schedule_bounds m_bounds;
    boost::intrusive_ptr<submission_budget> m_budget; ///< Of all owners of this host.
    /// Boot-clock time until which no other host can have taken over the shard.
    std::function<time_point()> m_lease_valid_until;
    /// Asks the owner of another shard.
    queue_holders::inquiry_sender m_ask;
    /// True if the store answers no host, so that no other host can take over the shard.
    std::function<bool()> m_store_unreachable_for_all;
};

/// Serves one shard under one fencing token: stores the shard's log, renews the leases of its
/// workers
/// ("holds" them), and sends the orders that the scheduler decides. Exists until the shard is lost
/// or released.
class shard_owner : public std::enable_shared_from_this<shard_owner> {
public:
    /// Creates the owner of a service's shard under a fencing token. Sends nothing before start().
    shard_owner(shard_owner_dependencies dependencies, service_id service, revision token);

    /// Starts to read the log; calls are served once it is loaded.
    void start(const std::vector<queue_contract>& queues,
               const organisation_directory& organisations, std::uint32_t shard_count);

    /// Stops all activity at once. Callers that wait get the answer that the outcome is unknown.
    void stop();

    /// Releases the shard in an orderly way: takes no more calls and reports, waits for open writes
    /// and orders, stores a closing log entry and removes the owner record. If writes or orders
    /// stay open, it only removes the owner record. A removal that the store refuses is repeated
    /// after the release has ended.
    asio::awaitable<void> release();

    /// Sets the queues that the operator configured.
    void set_queues(const std::vector<queue_contract>& queues);

    /// Sets the organisations that the operator configured, and the number of shards that share
    /// their caps.
    void set_organisations(const organisation_directory& organisations, std::uint32_t shard_count);

    /// The request for quota to send now; empty if none is due.
    std::optional<quota_request> next_quota_request();

    /// Applies an answer to the last request for quota.
    void apply_quota_reply(const quota_reply& reply);

    /// Sets the workers from a whole reading of the platform's list; ignored until the log is
    /// loaded.
    void set_workers(const std::vector<worker_listing>& listings);

    /// True once the workers were set. Changes of the list are taken from then on.
    [[nodiscard]] bool has_workers() const { return m_has_workers; }

    /// Applies changes of the platform's list; ignored until the workers were set.
    void apply_worker_changes(const worker_list_changes& changes);

    /// Forgets workers that left the list some time ago and cannot run anything any more.
    void remove_departed_workers();

    /// Accepts a submission and waits until it is durable, unless another shard of its queue has it
    /// already. Answers not_owner, refused or store_away if it was not accepted, unknown if its
    /// write has not ended in time, and forbidden if the id belongs to another organisation.
    asio::awaitable<owner_reply> submit(queue_id queue, submission_id id, submission what,
                                        organisation_id organisation);

    /// Cancels a submission and waits until the cancellation is durable, here or in another shard
    /// of its queue. Answers forbidden if it belongs to another organisation, and not_owner if
    /// another shard that may have it cannot be asked.
    asio::awaitable<owner_reply> cancel(queue_id queue, submission_id id,
                                        organisation_id organisation);

    /// Returns the state of a submission, which another shard of its queue may have, or forbidden
    /// if it belongs to another organisation. Answers not_owner if such a shard cannot be asked.
    asio::awaitable<owner_reply> state(queue_id queue, submission_id id,
                                       organisation_id organisation);

    /// Returns the number of pending submissions of a queue, in all of its shards.
    asio::awaitable<owner_reply> count(queue_id queue);

    /// Answers the owner of another shard that may hold ids of the same queue.
    asio::awaitable<owner_reply> answer_inquiry(holder_inquiry inquiry);

    /// Drains the machines of the request and no others, and reports the drained ones and the
    /// pool's load.
    cordon_reply cordon(const cordon_request& request);

    /// True until the shard is lost or released.
    [[nodiscard]] bool is_alive() const { return !m_stopped; }

    /// Number of questions to the owners of other shards, for metrics.
    [[nodiscard]] std::uint64_t inquiry_count() const { return m_holders.inquiry_count(); }

    /// Returns the shard's state, for metrics and status answers.
    [[nodiscard]] const shard& state() const { return m_shard; }

    /// Returns what is left of organisations that the configuration no longer has.
    [[nodiscard]] const departures& departed() const { return m_departures; }

private:
    /// Log entries of a submission that calls wait for.
    enum class awaited_entry : std::uint8_t { accepted, cancelled };

    /// A call that waits until its log entry is durable.
    struct waiter {
        awaited_entry m_entry = awaited_entry::accepted;
        asio::steady_timer* m_timer = nullptr;
        bool m_stored = false;
        bool m_withdrawn = false;
    };

    /// Outcome of such a wait.
    enum class wait_result : std::uint8_t { stored, withdrawn, unknown };

    /// True while this owner may accept, cancel and answer for its shard alone.
    [[nodiscard]] bool may_decide() const;
    /// Answers none if this shard may accept an id that it does not know, because no other shard of
    /// the queue has it. Any other answer is the one to the caller.
    asio::awaitable<owner_reply> check_is_new(queue_id queue, submission_id id,
                                              organisation_id organisation);
    /// Accepts a submission that no other shard has.
    asio::awaitable<owner_reply> submit_here(queue_id queue, submission_id id, submission what,
                                             organisation_id organisation);
    /// Cancels a submission in this shard only, also one that it does not know yet.
    asio::awaitable<owner_reply> cancel_here(submission_id id, organisation_id organisation);
    /// The state of a submission in this shard only.
    [[nodiscard]] owner_reply state_here(const submission_id& id,
                                         const organisation_id& organisation) const;
    /// The number of pending submissions of a queue in this shard only.
    [[nodiscard]] owner_reply count_here(const queue_id& queue) const;
    /// Answers an inquiry about whether this shard has a submission.
    owner_reply answer_acceptance(const holder_inquiry& inquiry);
    /// At intervals, removes the records of queues of which this shard has no ids any more, and
    /// reads those of other shards again.
    asio::awaitable<void> review_holders();
    /// True if the shard has submissions of a queue, may get some by the configuration, or
    /// remembers cancellations of unknown ids, whose queues are not known.
    [[nodiscard]] bool may_hold_ids(const queue_id& queue) const;
    /// True while no other host can have taken over the shard.
    [[nodiscard]] bool is_lease_valid() const;
    /// Sets whether the scheduler may start tasks and renew leases at present.
    void update_permissions();
    /// Requests a planning round soon; further requests until then are merged.
    void schedule_plan();
    /// Runs a planning round and sends its orders.
    void run_plan();
    /// Starts a hold loop for each worker that has none.
    void start_worker_loops();
    /// Writes the log lines that the scheduler has collected.
    void flush_log_lines();
    /// Called with the number of a record of the log and its entries, which are none if it cannot
    /// be decoded.
    using record_handler = std::function<void(std::uint64_t, const std::vector<log_entry>&)>;

    /// Decodes a record of the log and its number; empty, with a line in the log, if it is
    /// malformed.
    std::optional<std::vector<log_entry>> decode_record(const store_item& item,
                                                        std::uint64_t& number) const;
    /// Hands on the records of the log behind a key, page by page, and moves the key on. False if
    /// the store did not answer, so that a further call goes on, or if this owner was stopped.
    asio::awaitable<bool> read_log(std::string& after, record_handler handle);
    /// Reads and replays the log; false if the store did not answer.
    asio::awaitable<bool> load_log();
    /// Reads submissions that wait for memory from the log as soon as there is room for them.
    asio::awaitable<void> load_deferred();
    /// Loads the log, with retries, then serves until stopped.
    asio::awaitable<void> run();
    /// Runs a planning round at least once per interval.
    asio::awaitable<void> run_plan_loop();
    /// Writes the log until stopped; gives the shard up after an unexpected error.
    asio::awaitable<void> write_log();
    /// Writes pending log entries in batches.
    asio::awaitable<void> write_log_loop();
    /// Stops, and removes the owner record unless another host owns the shard.
    void abandon(const std::string& reason);
    /// Store key of the next log record, and of one with a number.
    [[nodiscard]] std::string next_log_key() const;
    [[nodiscard]] std::string log_key(std::uint64_t number) const;
    /// Removes the owner record, so that another host can take the shard over; with a closing log
    /// entry, both or neither.
    asio::awaitable<commit_outcome> remove_owner_record(bool with_closing_entry);
    /// Removes the owner record, with retries until it is certainly gone. The lease of the host
    /// would keep it otherwise, and no other host would take the shard over.
    asio::awaitable<void> clear_owner_record();
    /// Writes a batch, with retries; false if the shard is lost or the owner was stopped.
    asio::awaitable<bool> write_batch(log_batch& batch);
    /// Withdraws the submissions accepted in entries that were surely not written.
    void withdraw_submissions(std::vector<log_entry>& entries);
    /// Renews the lease of a worker and takes its reports until the worker is gone.
    asio::awaitable<void> hold_worker_loop(worker_id worker);
    /// True if calls to workers may go through other hosts, which takes load off this one.
    [[nodiscard]] bool may_relay() const;
    /// Zone of a worker; empty if it is unknown.
    [[nodiscard]] zone_id zone_of(const worker_id& worker) const;
    /// Sends an order to a worker and applies its answer.
    asio::awaitable<void> send_order(worker_order order);
    /// Adds what a start needs beside the scheduler's decision. False if the start must not be sent
    /// any more.
    bool complete_start(worker_order& order) const;
    /// Sends the next request to the advice service, if there is one.
    void request_advice();
    /// Sends a request to the advice service and applies the reply.
    asio::awaitable<void> request_advice(advice_request request);
    /// Waits until a log entry of a submission is durable or withdrawn.
    asio::awaitable<wait_result> wait_until_stored(submission_id id, awaited_entry entry,
                                                   milliseconds timeout);
    /// Answers the calls that wait for a log entry of a submission, which is now durable.
    void wake_waiters(const submission_id& id, awaited_entry entry);

    shard_owner_dependencies m_dependencies;
    shard m_shard;
    queue_holders m_holders;
    std::set<queue_id> m_routed_queues; ///< Those that the configuration routes to the service.
    /// Ids that other shards are being asked about. The flag is set when another shard was told
    /// that this one does not accept the id.
    std::multimap<submission_id, bool*> m_ids_in_question;
    departures m_departures;
    std::string m_log_prefix;
    std::uint64_t m_next_log_number = 1; ///< Number of the next log record.
    std::string m_replayed_through;      ///< Key of the last record that was replayed.
    std::size_t m_replayed_records = 0;
    bool m_stopped = false;
    bool m_releasing = false;
    bool m_has_workers = false;  ///< The workers were set from the platform's list.
    bool m_plan_pending = false; ///< A planning round is requested.
    time_point m_last_plan_at{};
    duration m_last_plan_time{};        ///< How long the last round took.
    bool m_writing = false;             ///< A log write is under way.
    bool m_store_failing = false;       ///< New submissions are refused.
    time_point m_store_retry_at{};      ///< When a submission may probe the store.
    asio::steady_timer m_log_timer;     ///< Cancelled to wake the writer of the log.
    asio::steady_timer m_loop_timer;    ///< Paces retries of loading, then planning rounds.
    asio::steady_timer m_plan_timer;    ///< Delays requested planning rounds.
    std::set<worker_id> m_held_workers; ///< Workers that have a hold loop.
    std::map<worker_id, asio::steady_timer*> m_hold_timers; ///< Cancelled to hold at once.
    std::multimap<submission_id, waiter*> m_waiters;        ///< Calls that wait for a log entry.
    std::size_t m_orders_in_flight = 0;
};

} // namespace guavabay
