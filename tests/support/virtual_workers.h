#pragma once

#include <map>
#include <set>
#include <string>

#include "fleet/task_record.h"
#include "support/virtual_platform.h"

namespace guavabay::test {

/// The platform's workers in the fake store: they run, save and stop tasks as the records say,
/// report with a lag, and watch what must hold of tasks at every moment.
class virtual_workers {
public:
    /// Works beside the given platform, which asks it whether hosts are empty.
    virtual_workers(virtual_hosts& hosts, virtual_platform& platform);

    /// Lets time pass in steps of 100 ms and works in each.
    void run_for(duration length);

    /// Lets time pass until all tasks in the store have ended; false when they do not in time.
    bool run_until_ended(duration limit);

    /// Notes that an operator was told that a task is cancelled.
    void expect_no_start(const std::string& task) { m_cancelled.insert(task_id(task)); }

    /// Tasks in the store by the word for their state.
    [[nodiscard]] std::map<std::string, int> states() const;

    /// The longest time from now on a task has run, by its id.
    [[nodiscard]] time_point started_at(const std::string& task) const;

    duration m_run_time = seconds(3);
    duration m_start_delay = milliseconds(200);
    duration m_save_delay = milliseconds(500);
    std::set<std::string> m_bad_workers;           ///< Fail everything.
    std::map<customer_id, std::uint32_t> m_limits; ///< Tasks that may run at one time.
    double m_used_share = 1; ///< Use of cores and memory over what is declared.
    std::uint64_t m_duplicate_runs = 0;
    std::uint64_t m_starts_after_cancel = 0; ///< Starts after a cancellation was confirmed.
    std::uint64_t m_over_quota = 0; ///< Moments at which a customer had more tasks than granted.
    std::uint64_t m_saved = 0;
    std::uint64_t m_throttled = 0;
    std::map<task_id, int> m_runs_done; ///< Times each task ran to its end.

private:
    struct run {
        pool_id m_pool;
        customer_id m_customer;
        worker_id m_worker;
        std::uint64_t m_attempt = 0;
        time_point m_started_at{};
        time_point m_saving_since{};
        duration m_saved_run_time{}; ///< Run time that was saved.
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

/// Sends an operator's call about a task to a host; the answer arrives under the number.
std::uint64_t call_task(virtual_hosts& hosts, const std::string& host, operator_verb verb,
                        const std::string& pool, const std::string& task,
                        const std::string& body = "");

} // namespace guavabay::test
