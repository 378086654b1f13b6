#pragma once

#include <functional>
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
    double m_done_ms = 0;   ///< Progress in milliseconds at full speed.
    double m_total_ms = 0;  ///< Run time at full speed; negative for a long-running one.
    double m_slow_down = 1; ///< Because of its place.
    bool m_fails = false;
    bool m_started_late = false; ///< Its start order got no answer and was executed late.
    time_point m_stop_at{};      ///< When a stop order takes effect; zero if there is none.
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
    bool m_is_frozen = false;           ///< It is not up and keeps its runs, for tests to remember.
    bool m_listed = true;
    double m_speed = 1;
    double m_clock_speed = 1;         ///< Speed of its clock; the platform allows 0.98 to 1.
    double m_failing_share = 0;       ///< Share of its runs that fail.
    bool m_allowed = true;            ///< The advice service permits runs here.
    double m_delayed_share = 0;       ///< Share of orders that get no answer and are executed late.
    double m_delayed_hold_share = 0;  ///< The same for holds.
    bool m_is_other_lifetime = false; ///< Another lifetime answers at its address.
    std::string m_new_address;        ///< Where it is reached, if its listing lags behind.
    std::set<std::size_t> m_partitioned_owners; ///< Owners (by index) that cannot reach it.
};

/// A run of a gang: its members make progress only together and end together.
struct virtual_gang {
    double m_total_ms = 0;   ///< Run time of each member at full speed.
    bool m_complete = false; ///< All members have started.
    bool m_broken = false;   ///< A member has ended without success.
    double m_slow_down = 1;  ///< Because of the places of its members.
};

/// An order in transit that the worker executes at a later moment.
struct delayed_order {
    time_point m_at{};
    std::size_t m_worker = 0;
    worker_order m_order;
    std::int64_t m_token = 0;
    time_point m_sent_at{};
};

/// A hold in transit that the worker executes at a later moment.
struct delayed_hold {
    time_point m_at{};
    std::size_t m_worker = 0;
    hold_request m_request;
    std::int64_t m_token = 0;
    time_point m_sent_at{};
};

/// A report of a worker on its way to an owner, which sends the next hold after it.
struct delayed_report {
    time_point m_at{};
    time_point m_sent_at{}; ///< When the hold was sent.
    worker_report m_report;
};

/// The answer to an order on its way to an owner.
struct delayed_answer {
    time_point m_at{};
    worker_order m_order;
    order_outcome m_outcome = order_outcome::unknown;
};

/// What is known about the cancellation of a submission.
struct requested_cancellation {
    time_point m_asked_at{};
    std::optional<time_point> m_stored_at; ///< When an owner knew that it is durable.
};

/// The moment after which no worker may run a task of a cancelled submission; empty while the
/// cancellation is neither durable nor has waited long enough in calm.
std::optional<time_point> last_moment_of_run(const requested_cancellation& cancelled,
                                             const virtual_run& run, time_point calm_since,
                                             time_point now);

/// One process that owns or owned the shard.
struct virtual_owner {
    shard m_shard;
    bool m_alive = true;
    bool m_has_store = true;
    bool m_refused = false; ///< One of its writes was rejected because of a newer owner.
    milliseconds m_time_of_day_error{0}; ///< Its time of day minus the true one.
    time_point m_proven_at{};            ///< When the store last confirmed its ownership.
    time_point m_next_list{};            ///< When it reads the list of workers again.
    std::optional<log_batch> m_written;  ///< A write without an answer so far.
    bool m_written_early = false;        ///< That write is durable before its answer.
    time_point m_write_answer_at{};
    std::map<worker_id, delayed_report> m_reports; ///< On their way.
    std::vector<delayed_answer> m_answers;         ///< On their way.
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

    /// Sets the slow-down of runs away from the rack of their data and of gangs that need one rack
    /// and are spread over several; the owners know it.
    void set_remote_factor(double factor);

    /// The true time until a task's present run ends; zero if it has none.
    [[nodiscard]] duration true_remaining(const task_name& task) const;

    /// Submits to the current owner; without an organisation as work of a public route.
    admission_result submit(const std::string& id, submission what,
                            const organisation_id& organisation = {});

    /// Sets the organisations of the configuration, for the current owner and all later ones.
    void set_organisations(organisation_directory organisations);

    /// Cancels a submission at the current owner.
    bool cancel(const std::string& id);

    /// The state that the current owner reports for a submission.
    std::optional<submission_state> state(const std::string& id);

    /// Ends a worker's process with all its runs and reports.
    void crash_worker(std::size_t worker);

    /// Starts a crashed worker again under its id, as a new incarnation that registers after a
    /// delay.
    void restart_worker(std::size_t worker, milliseconds registration_delay);

    /// True while an order to a worker is under way that it will execute late.
    [[nodiscard]] bool has_late_order(std::size_t worker) const;

    /// Restarts a crashed worker under its id as a worker of another service, whose owner stops
    /// all runs that it finds there.
    void restart_at_other_service(std::size_t worker);

    /// Writes the current owner's pending entries and its release entry to the log, and ends it.
    void release();

    /// Says that a disturbance happens now. Those that the pool can see need no call.
    void disturb() { m_calm_since = m_now; }

    /// The moment of the last disturbance, where cancellations are checked.
    [[nodiscard]] time_point calm_since() const { return m_calm_since; }

    /// Records each run of a cancelled submission that goes on for too long; tests also call it
    /// with invalid runs.
    void check_cancelled_runs();

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
    std::map<std::string, requested_cancellation> m_cancellations;
    bool m_checks_cancellations = false; ///< Runs of cancelled submissions are checked.
    bool m_late_deadlines_move = false;  ///< A late order's deadline counts from its arrival.
    bool m_limits_renewals = false;      ///< Owners without the store stop renewing leases.
    milliseconds m_list_interval{0};     ///< Time between two readings of the list of workers.
    milliseconds m_max_answer_time{0};   ///< Longest way of a worker's answer to an owner.
    milliseconds m_max_write_time{0};    ///< Longest time of a write to the log.
    std::size_t m_late_starts_after_cancel = 0; ///< Starts of cancelled work, executed late.
    std::size_t m_late_starts = 0;              ///< Starts that were executed late.
    std::size_t m_checked_runs = 0;             ///< Checks of runs of cancelled submissions.
    int m_rejected_tickets = 0;                 ///< Starts without a valid ticket.
    double m_duration_sigma = 0;                ///< Sigma of the lognormal factor of run times over
                                                ///< estimates.
    /// Run time of a task at full speed on its worker, in milliseconds, in place of its estimate;
    /// empty where tasks take what their estimates say.
    std::function<double(const task_name&)> m_true_time_ms;

    /// If set, a task's run time over its estimate; it replaces the random factor.
    std::function<double(const task_name&)> m_duration_factor;
    double m_progress_power = 1; ///< Reported progress is the true share to this power.

    /// Checks one start and records violations; tests also call it with invalid starts.
    void check_start(std::size_t worker, const worker_order& order);

private:
    void extend_lease(virtual_worker& worker, std::int64_t deadline_ms) const;
    /// An order that arrives late carries the moment at which it was sent.
    order_outcome carry_out(std::size_t worker, const worker_order& order, std::int64_t token,
                            std::optional<time_point> sent_late = std::nullopt);
    void start_run(std::size_t worker, const worker_order& order, bool is_late);
    void check_start(std::size_t worker, const worker_order& order, bool is_late);
    void hold_by_other_service();
    [[nodiscard]] bool is_disturbed() const;
    void accept_hold(virtual_worker& worker, const hold_request& request, std::int64_t token);
    /// True if a worker is reached at an address.
    [[nodiscard]] static bool is_at(const virtual_worker& worker, const std::string& address);
    void append(const std::vector<log_entry>& entries);
    void mark_cancellations(const std::vector<log_entry>& entries);
    void end_run(virtual_worker& worker, const std::pair<task_name, run_number>& run, run_end how);
    [[nodiscard]] virtual_gang* find_gang(const std::pair<task_name, run_number>& run);
    void complete_gangs();
    void advance_workers();
    void hold(std::size_t owner);
    void write(std::size_t owner);
    void give_orders(std::size_t owner);
    void receive_answers(std::size_t owner);
    void answer_order(std::size_t owner, const worker_order& order, order_outcome outcome);
    void advise(std::size_t owner);
    [[nodiscard]] std::int64_t clock_of(const virtual_worker& worker) const;

    organisation_directory m_organisations;
    time_point m_now{seconds(1000)};
    double m_remote_factor = 1.5;
    std::mt19937_64 m_random;
    time_point m_calm_since{};
    std::int64_t m_next_token = 1;
    std::int64_t m_other_service_token = 0; ///< Of the owner of the other service's shard.
    time_point m_other_service_from{};      ///< When that owner has its token.
    std::set<std::pair<task_name, run_number>> m_reported_runs; ///< Violations found already.
    std::vector<delayed_order> m_delayed_orders;
    std::vector<delayed_hold> m_delayed_holds;
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
