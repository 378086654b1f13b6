#pragma once

#include <map>
#include <set>
#include <string>

#include "fleet/task_record.h"
#include "support/virtual_platform.h"

namespace guavabay::test {

/// Simulates the platform's workers on the fake store: starts, checkpoints and stops tasks
/// according to their records, reports with a delay, and checks the invariants of tasks in each
/// step.
class virtual_workers {
public:
    /// Runs together with the given platform, and registers itself as the platform's test of
    /// whether a host still has tasks.
    virtual_workers(virtual_hosts& hosts, virtual_platform& platform);

    /// Advances time in steps of 100 ms and processes all task records in each.
    void run_for(duration length);

    /// Advances time until all tasks in the store have ended; false if some have not within the
    /// limit.
    bool run_until_ended(duration limit);

    /// Records that an operator got the confirmation of a task's cancellation; later starts count
    /// as errors.
    void expect_no_start(const std::string& task) { m_cancelled.insert(task_id(task)); }

    /// Number of tasks in the store by the name of their state.
    [[nodiscard]] std::map<std::string, int> states() const;

    /// When a task was first started; zero if it has not been.
    [[nodiscard]] time_point started_at(const std::string& task) const;

    duration m_run_time = seconds(3);
    duration m_start_delay = milliseconds(200);
    duration m_save_delay = milliseconds(500);
    std::set<std::string> m_bad_workers;           ///< Hosts on which every run fails.
    std::map<customer_id, std::uint32_t> m_limits; ///< Limit on each customer's running tasks.
    double m_used_share = 1; ///< Cores and memory in use as a share of the declared amounts.
    std::uint64_t m_duplicate_runs = 0;      ///< Starts of a task that was still running.
    std::uint64_t m_starts_after_cancel = 0; ///< Starts after a confirmed cancellation.
    std::uint64_t m_over_quota = 0;          ///< Steps in which a customer exceeded its limit.
    std::uint64_t m_saved = 0;               ///< Runs that ended with a checkpoint.
    std::uint64_t m_throttled = 0; ///< Steps in which a running task was throttled, over all tasks.
    std::map<task_id, int> m_runs_done; ///< Number of completed runs of each task.

private:
    struct run {
        pool_id m_pool;
        customer_id m_customer;
        worker_id m_worker;
        std::uint64_t m_attempt = 0;
        time_point m_started_at{};
        time_point m_saving_since{};
        duration m_saved_run_time{}; ///< Run time that the checkpoints cover.
        bool m_active = false;
        bool m_reported = false;
        resources m_declared;
    };

    void process_records();
    void apply_record(const pool_id& pool, const task_id& id, const task& one);
    void finish(const task_id& id, run& one, run_state state);
    void check_limits();

    virtual_hosts& m_hosts;
    virtual_platform& m_platform;
    std::map<task_id, run> m_runs;
    std::map<task_id, time_point> m_first_starts;
    std::set<task_id> m_cancelled;
};

/// Sends an operator call about a task to a host; returns the number of the call, under which the
/// hosts keep the answer.
std::uint64_t call_task(virtual_hosts& hosts, const std::string& host, operator_verb verb,
                        const std::string& pool, const std::string& task,
                        const std::string& body = "");

} // namespace guavabay::test
