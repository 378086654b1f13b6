#pragma once

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "schedule/advice.h"
#include "schedule/shard.h"

namespace guavabay {

/// One run on a virtual worker.
struct virtual_run {
    time_point m_started{};
    double m_done_ms = 0;  ///< Work done so far, at full speed.
    double m_total_ms = 0; ///< Negative for a lasting task.
    bool m_fails = false;
    time_point m_stop_at{}; ///< When a stop takes effect; zero without one.
};

/// A worker that follows the platform's published protocol, under virtual time.
struct virtual_worker {
    worker_listing m_listing;
    std::map<std::pair<task_name, run_number>, virtual_run> m_runs;
    std::vector<reported_end> m_ends;
    std::int64_t m_next_end = 1;
    std::int64_t m_token = 0;
    time_point m_lease_until{};
    std::map<task_name, run_number> m_newest_finished; ///< Runs that were stopped or ended.
    bool m_up = true;
    bool m_listed = true;
    double m_speed = 1;
    double m_clock_speed = 1;   ///< Of its own clock; from 0.98 to 1.
    double m_failing_share = 0; ///< Of the runs that it starts.
    bool m_allowed = true;      ///< By the policy that the advice service knows.
    double m_delayed_share = 0; ///< Of the orders that get no answer and are carried out late.
    std::set<std::size_t> m_partitioned_owners;
};

/// An order that is carried out later than it was sent.
struct delayed_order {
    time_point m_at{};
    std::size_t m_worker = 0;
    worker_order m_order;
    std::int64_t m_token = 0;
};

/// One life of a shard's owner.
struct virtual_owner {
    shard m_shard;
    bool m_alive = true;
    bool m_has_store = true;
    bool m_refused = false; ///< A write of it failed at the guard.
    time_point m_next_write{};
    time_point m_next_hold{};
    std::optional<advice_request> m_advice_request; ///< A question to the advice service.
    time_point m_advice_at{};                       ///< When it is answered.
};

/// A pool with its workers, its log in a store, and the owners that follow each other. Every start
/// is checked against the platform's rules; what breaks one is kept as text.
class virtual_pool {
public:
    /// Makes a pool of equal workers, four to a rack.
    virtual_pool(std::size_t workers, resources each, std::uint64_t seed);

    /// Makes another process the owner, which reads the log. The former one goes on until it
    /// learns of it.
    std::size_t change_owner();

    /// Moves time on in steps of a millisecond.
    void run_for(milliseconds length);

    /// Hands a submission to the newest owner.
    admission_result submit(const std::string& id, submission what);

    /// Cancels a submission at the newest owner.
    bool cancel(const std::string& id);

    /// The state that the newest owner shows.
    std::optional<submission_state> state(const std::string& id);

    /// Gives the newest owner's shard away in order, as far as the log goes.
    void release();

    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] virtual_owner& current_owner() { return *m_owners.back(); }
    [[nodiscard]] const std::vector<std::string>& violations() const { return m_violations; }

    std::vector<virtual_worker> m_workers;
    queue_contract m_contract;
    std::vector<std::vector<log_entry>> m_log;
    std::vector<std::unique_ptr<virtual_owner>> m_owners;
    std::map<std::string, std::uint32_t> m_starts; ///< By task.
    std::set<task_name> m_done;                    ///< Ended done, as any worker said.
    std::set<task_name> m_done_acknowledged;
    std::map<task_name, int> m_failed_acknowledged;
    std::set<std::string> m_always_failing; ///< Submissions of which every run fails.
    std::set<std::string> m_cancelled;
    int m_rejected_tickets = 0;  ///< Starts that carried none that holds.
    double m_duration_sigma = 0; ///< Spread of the durations around the estimates.

    /// Checks one start; also called by tests with a doctored history.
    void check_start(std::size_t worker, const worker_order& order);

private:
    order_outcome carry_out(std::size_t worker, const worker_order& order, std::int64_t token);
    void start_run(std::size_t worker, const worker_order& order);
    void end_run(virtual_worker& worker, const std::pair<task_name, run_number>& run, run_end how);
    void advance_workers();
    void hold(std::size_t owner);
    void write(std::size_t owner);
    void give_orders(std::size_t owner);
    void advise(std::size_t owner);
    [[nodiscard]] std::int64_t clock_of(const virtual_worker& worker) const;

    time_point m_now{seconds(1000)};
    std::mt19937_64 m_random;
    std::vector<delayed_order> m_delayed_orders;
    std::vector<std::string> m_violations;
    std::map<std::string, submission> m_submitted;
    std::map<std::string, time_point> m_tickets; ///< Until when each holds.
};

/// A submission of steps that follow each other.
submission make_submission(const std::vector<std::uint32_t>& widths, resources each,
                           milliseconds estimate);

} // namespace guavabay
