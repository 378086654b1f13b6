#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "schedule/advice.h"
#include "schedule/shard.h"

namespace guavabay {

/// A run on a virtual worker.
struct virtual_run {
    time_point m_started{};
    double m_done_ms = 0;  ///< Progress in milliseconds at full speed.
    double m_total_ms = 0; ///< Run time at full speed; negative for a long-running one.
    bool m_fails = false;
    time_point m_stop_at{}; ///< When a stop order takes effect; zero if there is none.
};

/// A worker that implements the platform's worker protocol in virtual time.
struct virtual_worker {
    worker_listing m_listing;
    std::map<std::pair<task_name, run_number>, virtual_run> m_runs;
    std::vector<reported_end> m_ends;
    std::int64_t m_next_end = 1;
    std::int64_t m_token = 0;
    time_point m_lease_until{};
    std::map<task_name, run_number> m_newest_finished; ///< Runs up to this are refused.
    std::int64_t m_incarnation_start_ms = 0; ///< As it reports; its listing may lag behind.
    time_point m_clock_zero{};               ///< When its clock showed zero.
    time_point m_registers_at{};             ///< When its listing names its incarnation.
    bool m_up = true;
    bool m_refuses_connections = false; ///< While it is not up: calls fail before they are sent.
    double m_lost_hold_share = 0;       ///< Share of holds without an answer.
    bool m_listed = true;
    double m_speed = 1;
    double m_clock_speed = 1;   ///< Speed of its clock; the platform allows 0.98 to 1.
    double m_failing_share = 0; ///< Share of its runs that fail.
    bool m_allowed = true;      ///< The advice service permits runs here.
    double m_delayed_share = 0; ///< Share of orders that get no answer and are executed late.
    std::set<std::size_t> m_partitioned_owners; ///< Owners (by index) that cannot reach it.
};

/// A run of a gang: its members make progress only together and end together.
struct virtual_gang {
    double m_total_ms = 0;   ///< Run time of each member at full speed.
    bool m_complete = false; ///< All members have started.
    bool m_broken = false;   ///< A member has ended without success.
};

/// An order in transit that the worker executes at a later moment.
struct delayed_order {
    time_point m_at{};
    std::size_t m_worker = 0;
    worker_order m_order;
    std::int64_t m_token = 0;
};

/// One process that owns or owned the shard.
struct virtual_owner {
    shard m_shard;
    bool m_alive = true;
    bool m_has_store = true;
    bool m_refused = false; ///< One of its writes was rejected because of a newer owner.
    milliseconds m_time_of_day_error{0}; ///< Its time of day minus the true one.
    time_point m_next_write{};
    time_point m_next_hold{};
    std::optional<advice_request> m_advice_request; ///< In flight.
    time_point m_advice_at{};                       ///< When the advice service answers.
};

/// Simulates a pool in virtual time: its workers, the stored submission log and the successive
/// owners of the shard. Checks each start against the platform's rules and records violations as
/// text.
class virtual_pool {
public:
    /// Creates a pool of equal workers, four per rack, and its first owner. The seed determines all
    /// random decisions.
    virtual_pool(std::size_t workers, resources each, std::uint64_t seed);

    /// Makes a new process the owner, which replays the log; returns its index. The former owner
    /// keeps running until it learns that it was superseded.
    std::size_t change_owner();

    /// Advances time in steps of one millisecond.
    void run_for(milliseconds length);

    /// The Unix time at the current virtual time.
    [[nodiscard]] wall_time wall() const;

    /// Submits to the current owner.
    admission_result submit(const std::string& id, submission what);

    /// Cancels a submission at the current owner.
    bool cancel(const std::string& id);

    /// The state that the current owner reports for a submission.
    std::optional<submission_state> state(const std::string& id);

    /// Ends a worker's process with all its runs and reports.
    void crash_worker(std::size_t worker);

    /// Starts a crashed worker again under its id, as a new incarnation that registers after a
    /// delay.
    void restart_worker(std::size_t worker, milliseconds registration_delay);

    /// Writes the current owner's pending entries and its release entry to the log, and ends it.
    void release();

    /// The current virtual time.
    [[nodiscard]] time_point now() const { return m_now; }

    /// The owner that was created last.
    [[nodiscard]] virtual_owner& current_owner() { return *m_owners.back(); }

    /// The violations found so far, one text each.
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }

    std::vector<virtual_worker> m_workers;
    queue_contract m_contract;
    bool m_has_route = true; ///< The configuration of the next owner has the queue.
    std::vector<std::vector<log_entry>> m_log;
    std::vector<std::unique_ptr<virtual_owner>> m_owners;
    std::map<std::string, std::uint32_t> m_starts; ///< Number of starts of each task.
    std::set<task_name> m_done;                    ///< Tasks with a successful run on any worker.
    std::set<task_name> m_done_acknowledged;
    std::map<task_name, int> m_failed_acknowledged;
    std::set<std::string> m_always_failing; ///< Submissions whose runs all fail.
    std::set<std::string> m_cancelled;
    int m_rejected_tickets = 0;  ///< Starts without a valid ticket.
    double m_duration_sigma = 0; ///< Sigma of the lognormal factor of run times over
                                 ///< estimates.

    /// Checks one start and records violations; tests also call it with invalid starts.
    void check_start(std::size_t worker, const worker_order& order);

private:
    void extend_lease(virtual_worker& worker, std::int64_t deadline_ms) const;
    order_outcome carry_out(std::size_t worker, const worker_order& order, std::int64_t token);
    void start_run(std::size_t worker, const worker_order& order);
    void end_run(virtual_worker& worker, const std::pair<task_name, run_number>& run, run_end how);
    [[nodiscard]] virtual_gang* find_gang(const std::pair<task_name, run_number>& run);
    void complete_gangs();
    void advance_workers();
    void hold(std::size_t owner);
    void write(std::size_t owner);
    void give_orders(std::size_t owner);
    void advise(std::size_t owner);
    [[nodiscard]] std::int64_t clock_of(const virtual_worker& worker) const;

    time_point m_now{seconds(1000)};
    std::mt19937_64 m_random;
    std::vector<delayed_order> m_delayed_orders;
    std::map<std::pair<task_name, run_number>, virtual_gang> m_gangs; ///< By the first member.
    std::vector<std::string> m_violations;
    std::map<std::string, submission> m_submitted;
    std::map<std::string, time_point> m_tickets; ///< Expiry of each ticket.
};

/// Creates a submission whose steps run one after the other; `widths` are their task counts, and
/// all tasks have the same demand and estimate.
submission make_submission(const std::vector<std::uint32_t>& widths, resources each,
                           milliseconds estimate);

} // namespace guavabay
