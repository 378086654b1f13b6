#pragma once

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "contract/organisation.h"
#include "core/time.h"
#include "schedule/deferred_submissions.h"
#include "schedule/image_pair_model.h"
#include "schedule/incarnation_guard.h"
#include "schedule/locality_state.h"
#include "schedule/organisation_accounts.h"
#include "schedule/run_times.h"
#include "schedule/step_tasks.h"
#include "schedule/stray_runs.h"
#include "submission/queue_contract.h"
#include "submission/submission.h"
#include "submission/submission_budget.h"
#include "submission/submission_log.h"
#include "worker/worker.h"
#include "worker/worker_order.h"

namespace guavabay {

/// Time limits and factors of the installation that scheduling decisions respect.
struct schedule_bounds {
    milliseconds m_worker_lease{3000};          ///< Lease granted with each hold; shorter than the
                                                ///< one that the platform grants.
    milliseconds m_max_worker_lease{10000};     ///< Longest lease that a worker grants itself.
    milliseconds m_unproven_renewal_time{5000}; ///< How long an owner renews leases after its
                                                ///< ownership was last proven.
    milliseconds m_stop_time{900};              ///< Longest time from a stop order to the end.
    milliseconds m_drain_time{2000};            ///< After it a draining worker gets no start.
    milliseconds m_absence_grace{4500};         ///< A longer absence counts against availability.
    milliseconds m_status_retention{120000};    ///< How long a final state can be queried.
    milliseconds m_early_start_tolerance{250};  ///< How early a repeated submission may start.
    milliseconds m_max_tail_violation{4000};    ///< How long a tail latency may exceed its target.
    milliseconds m_pace_settle_time{100};       ///< Time until a changed pace takes effect.
    double m_remote_factor = 1.5; ///< Slow-down of a run away from its data or across racks.
    double m_quota_overage = 0;   ///< Tolerated share above the cap of an organisation.
};

/// One repetition of all steps of a submission, from the moment at which its tasks may start, or at
/// which a former owner is found to have started one, until it is done.
struct occurrence_state {
    bool m_due = false; ///< Its time has come by this owner's clock, so its tasks may start.
    std::vector<step_tasks> m_steps;
    std::uint32_t m_unfinished_steps = 0; ///< Steps with tasks that are not done.
};

/// Urgency of a submission; a lower tier gets capacity first.
enum class submission_tier : std::uint8_t {
    long_running,
    on_time,  ///< It can meet its objective.
    late,     ///< It can meet its hard deadline.
    hopeless, ///< It earns nothing any more.
};

/// An accepted submission. After its final state is decided it is kept for status queries.
struct submission_record {
    submission_id m_id;
    queue_id m_queue;
    organisation_id m_organisation; ///< It belongs to; empty for one of a public route.
    /// Set while it is open, once it was needed. It belongs to the organisation.
    organisation_account* m_account = nullptr;
    bool m_is_beyond_rate = false; ///< Its organisation had sent more than its weight grants.
    submission m_definition;
    held_memory m_memory;
    std::int64_t m_accepted_ms = 0;     ///< Unix time.
    milliseconds m_waited_to_return{0}; ///< From the first, refused attempt to the accepted one.
    time_point m_arrived{};
    time_point m_objective{};     ///< A later finish earns little.
    time_point m_hard_deadline{}; ///< A later finish earns nothing.
    bool m_accept_stored = false;
    bool m_cancel_requested = false;
    time_point m_cancel_received_at{}; ///< Zero unless its cancellation waits to be stored.
    /// It was read from the log, so that a former owner may have started any of its tasks on a
    /// worker that has not reported to this owner yet.
    bool m_inherited = false;
    bool m_is_incomplete = false; ///< Later entries of the log about it are still to be replayed.
    bool m_started = false;       ///< A worker has, or has had, a run of one of its tasks.
    bool m_wait_logged = false;   ///< The log says already that one of its tasks has no worker.
    bool m_starving = false;   ///< Its last ranking put it first, because it had waited for long.
    time_point m_last_start{}; ///< When a start of one of its tasks was last ordered.
    bool m_final_decided = false;
    submission_state m_visible = submission_state::pending; ///< The state that callers are told.
    submission_state m_final = submission_state::succeeded;
    std::int64_t m_closed_ms = 0;                      ///< Unix time.
    submission_tier m_tier = submission_tier::on_time; ///< At the last ranking.
    submission_run_times m_run_times;                  ///< What its own tasks have told.
    double m_remaining_core_ms = 0;            ///< Core-milliseconds, by corrected estimates.
    milliseconds m_remaining_critical_path{0}; ///< By corrected estimates.
    std::map<std::uint32_t, occurrence_state> m_occurrences; ///< By number; not done.
    std::uint32_t m_unfinished_occurrences = 0; ///< Those that are not done, also later ones.
    std::uint32_t m_next_occurrence = 0;        ///< All smaller numbers have been created.
    std::uint32_t m_due_occurrences = 0;        ///< All smaller numbers were due when last checked.
    std::vector<bool> m_done_occurrences;       ///< By number; empty until one is done.
    /// Occurrence and step with which the next planning pass begins, if it is still to start.
    std::pair<std::uint32_t, std::uint32_t> m_resume_at;
};

/// Progress of a run: start not answered yet, known to run, or being stopped.
enum class run_phase : std::uint8_t { ordered, running, stopping };

/// A run that reserves capacity on a worker because it runs there or may run there.
struct run_slot {
    task_name m_task;
    run_number m_run;
    resources m_reserved;
    organisation_id m_organisation; ///< Empty if nobody's cap counts it.
    resources m_counted;            ///< What counts against the organisation's cap.
    run_phase m_phase = run_phase::ordered;
    bool m_detached = false;       ///< No task waits for its end.
    bool m_unknown_demand = false; ///< Its submission is over, so its demand cannot be looked up.
    bool m_long_running = false;
    bool m_order_pending = false; ///< An order about it has not been answered.
    time_point m_ordered_at{};
    time_point m_next_stop_at{}; ///< Earliest next stop order.
    milliseconds m_stop_retry_delay{0};
    bool m_stop_answered = false;
    bool m_stay_logged = false; ///< The log says already that it cannot leave its worker.
    /// Its stop was allowed because enough other tasks of its step are available. Until it has
    /// ended these must not be stopped.
    bool m_needs_peers = false;
    time_point m_stop_answered_at{};
    time_point m_stopping_since{}; ///< When a planning round first found that it is to be stopped.
    std::uint32_t m_stops_sent = 0;
    std::uint32_t m_stops_answered = 0;
    bool m_stray_noted = false;   ///< Its submission was found to be decided or unknown.
    bool m_overdue_noted = false; ///< The log says already that it is there long after its stop.
    time_point m_accepted_at{};   ///< When the worker confirmed the start.
    bool m_reported = false;      ///< The worker has listed it, in its current incarnation.
    std::int32_t m_percent = -1;  ///< Last reported progress; -1 before the first report.
    time_point m_progress_at{};   ///< When the progress last changed.
    std::int64_t m_load = 0;      ///< As reported: tail in milliseconds or cores in use.
    std::int32_t m_pace = 100;    ///< Percent of full speed.
    std::int32_t m_requested_pace = 100;
    time_point m_pace_at{};     ///< When the pace last changed.
    milliseconds m_estimate{0}; ///< Of its run time, corrected by its progress.
    double m_place_factor = 1;  ///< Slow-down of its place; the estimate includes it.
    bool m_told = false;        ///< Its submission has learned from its progress.
    bool m_partial = false;     ///< Its time tells nothing: it was adopted from a former owner, or
                                ///< resumed from a checkpoint.
    std::int32_t m_first_percent = -1; ///< Progress in its first report; -1 before that.
    time_point m_first_percent_at{};
    milliseconds m_stall_time{0}; ///< Longest time without progress that is usual for it.
    std::string m_image;
    std::int64_t m_tail_latency_target_ms = 0; ///< Zero for a task that serves no requests.
    bool m_uses_idle_cores = false;  ///< It reserves no cores; its pace yields to serving tasks.
    std::int64_t m_declared_cpu = 0; ///< Thousandths of a core.
};

/// The owner's view of a worker: its current incarnation, lease, runs and health.
struct worker_record {
    worker_listing m_info;
    bool m_use_stored = false;    ///< The stored log says that the worker is in use.
    bool m_restart_known = false; ///< It restarted under a former owner; its present incarnation
                                  ///< is not settled.
    bool m_listed = false;        ///< It was in the platform's list at the last reading.
    time_point m_unlisted_since{};
    time_point m_unlisted_noted{};       ///< Start of the last unlisted period that was logged.
    time_point m_other_incarnation_at{}; ///< When another incarnation last answered in its place.
    time_point m_draining_since{};
    time_point m_leaves_at{}; ///< While it drains: it stays at least until then.
    bool m_answered = false;  ///< It has answered a hold with this owner's fencing token.
    std::int64_t m_incarnation_start_ms = 0; ///< Unix time; zero if unknown.
    time_point m_incarnation_known_at{};     ///< When this owner learned of the incarnation.
    incarnation_guard m_guard;               ///< Against calls for former incarnations.
    std::int64_t m_clock_ms = 0;             ///< Its clock at the last answer.
    time_point m_clock_at{};                 ///< When that answer arrived.
    time_point m_last_heard_at{};            ///< When it last answered.
    time_point m_lease_until{};              ///< After this moment its lease has certainly ended.
    bool m_hold_failed = false;              ///< The last hold got no answer.
    bool m_no_connection = false;            ///< A start found no connection since its last answer.
    bool m_lease_ended = true;     ///< The lease has ended: no run that this owner knows of
                                   ///< can be active there.
    std::int64_t m_seen_end = 0;   ///< Number of the newest end that was processed.
    std::int64_t m_stored_end = 0; ///< Number of the newest end that is durable in the log.
    resources m_reserved;          ///< Sum over all runs.
    std::map<std::pair<task_name, run_number>, run_slot> m_runs;
    std::uint32_t m_unknown_demands = 0; ///< Runs whose demand is not known.
    bool m_stop_due = false;             ///< A stop order may be due before the next review.
    std::uint32_t m_consecutive_failures = 0;
    time_point m_quarantined_until{};  ///< Before it the worker gets no start.
    milliseconds m_quarantine_time{0}; ///< Length of the last quarantine; grows with each.
    bool m_probing = false;            ///< One task tests the worker after its quarantine.
    double m_slowness = 1;             ///< Smoothed ratio of run times to expected run times.
    double m_last_slowness = 1;        ///< That ratio of the last run.
    bool m_cordoned = false;           ///< Gets no start, because of upkeep or a move.
    bool m_upkeep_due = false; ///< To be cordoned later; long-running tasks leave if they can.
    time_point m_cordoned_since{};
    bool m_gone = false; ///< The incarnation is over; the record is removed once unreferenced.
};

/// A run end that a worker reported. Each incarnation of a worker numbers its ends from 1.
struct end_position {
    worker_id m_worker;
    std::int64_t m_incarnation_start_ms = 0; ///< Of the incarnation that reported it; Unix time.
    std::int64_t m_number = 0;
};

/// Entries that one write appends to the submission log.
struct log_batch {
    std::uint64_t m_number = 0;
    std::int64_t m_revision = 0; ///< Of the store, after the write; set by the caller.
    std::vector<log_entry> m_entries;
    std::vector<end_position> m_ends; ///< Run ends that become durable.
};

/// A permission of the advice service to run a step on a worker, with its expiry.
struct advice_ticket {
    std::string m_ticket;
    time_point m_expires_at{};
};

/// Answers of the advice service about one step.
struct step_advice {
    std::map<worker_id, advice_ticket> m_tickets;
    std::set<worker_id> m_denied; ///< Workers that may not run the step as long as it exists.
};

/// Run times of a queue's tasks.
struct queue_run_times {
    run_time_model m_all;
    std::map<organisation_id, run_time_model> m_by_organisation;
};

/// Arriving work as two exponentially decaying sums with different time constants.
struct arrival_rate {
    double m_short_core_ms = 0; ///< Core-milliseconds with the short time constant.
    double m_long_core_ms = 0;  ///< Core-milliseconds with the long time constant.
    time_point m_at{};          ///< When the sums were last updated.
};

/// Cores that a pool offers, as last determined.
struct pool_capacity {
    double m_usable_cores = 0;   ///< Of the workers that accept starts.
    double m_incoming_cores = 0; ///< Of the machines that are being moved to the pool.
    time_point m_at{};           ///< When it was determined.
};

/// A shard's part of an organisation's cap, and what it uses of it.
struct organisation_quota {
    resources m_used;            ///< By all runs on workers, also by those that are being stopped.
    std::uint32_t m_runs = 0;    ///< Number of these runs.
    resources m_held;            ///< Granted by the allocator.
    resources m_blocked;         ///< Of ready tasks that waited for quota in the last plan.
    resources m_largest_blocked; ///< Of the largest of these tasks.
    resources m_peak_need;       ///< Largest use and wait since m_peak_since.
    time_point m_peak_since{};
};

/// Outcome of the admission check of a submission.
enum class admission : std::uint8_t { accepted, already_stored, refused };

/// Answer to a caller that hands in a submission.
struct admission_result {
    admission m_answer = admission::accepted;
    seconds m_retry_after{0};  ///< For a refusal: when a retry may succeed.
    std::string_view m_reason; ///< For a refusal: text for the caller.
};

/// A cancellation of an id that was not accepted before. It holds for a submission of the same
/// organisations that comes later, since a copy of the request may still be on its way.
struct early_cancellation {
    std::set<organisation_id> m_organisations; ///< The empty id stands for public routes.
    std::int64_t m_stored_ms = 0; ///< Unix time at which it became durable; zero before.
    held_memory m_memory;
};

/// A submission that was refused and may be handed in again.
struct refused_submission {
    time_point m_first_attempt{}; ///< A retry keeps it as its time of arrival.
    time_point m_returns_at{};    ///< When the caller was told to try again.
    double m_core_ms = 0;         ///< Its work, in core-milliseconds.
    organisation_id m_organisation;
};

/// Scheduling state of one shard: the submissions of one service's queues and the workers of that
/// service. The functions below operate on it; they read no clock and do no I/O. Callers pass the
/// time, perform the writes and orders that the functions queue, and report the results.
struct shard {
    service_id m_service;
    fencing_token m_token;
    schedule_bounds m_bounds;
    boost::intrusive_ptr<submission_budget> m_budget; ///< Null without a limit of memory.
    std::map<queue_id, queue_contract> m_queues;      ///< From the configuration.
    /// From the log; they apply to submissions whose queue the configuration no longer has.
    std::map<queue_id, queue_contract> m_logged_contracts;
    /// From the configuration; empty if it has no organisations. One that the configuration no
    /// longer has keeps its last terms while it has open submissions.
    std::map<organisation_id, organisation_terms> m_organisations;
    std::map<organisation_id, organisation_account> m_accounts; ///< Empty without organisations.
    organisation_counts m_former_organisations;                 ///< Of accounts that were removed.
    std::uint64_t m_account_pass = 0; ///< Number of the last pass that gave slots.

    std::unordered_map<submission_id, std::unique_ptr<submission_record>> m_submissions;
    std::unordered_set<submission_record*> m_open_submissions; ///< Final state not decided.
    std::unordered_map<submission_id, refused_submission> m_refused;
    std::unordered_map<submission_id, early_cancellation> m_cancelled_early;
    deferred_submissions m_deferred;   ///< Open; not among m_submissions.
    std::size_t m_held_at_reading = 0; ///< Bytes of the budget after the last reading of the log.
    std::map<worker_id, std::unique_ptr<worker_record>> m_workers;

    log_batch m_pending; ///< Entries that have not been handed out for writing.
    std::uint64_t m_next_batch = 1;
    std::vector<worker_order> m_orders; ///< Orders that have not been handed out for sending.
    std::int64_t m_next_run = 0;
    /// Limits of the runs on all workers, and of those that one planning pass may start.
    std::size_t m_max_runs = std::numeric_limits<std::size_t>::max();
    std::size_t m_max_new_starts = std::numeric_limits<std::size_t>::max();
    bool m_may_start = false;       ///< The store confirmed this owner; starts are allowed.
    bool m_may_hold = false;        ///< Worker leases may still be renewed.
    bool m_lost = false;            ///< Another owner was seen.
    bool m_loaded = false;          ///< The log was replayed to its end.
    bool m_takeover_stored = false; ///< The log durably names this owner; starts are allowed.
    std::set<worker_id> m_awaited_workers; ///< Workers that may still run a former owner's tasks.
    time_point m_awaited_until{}; ///< When the leases of these workers have ended for certain.
    std::map<organisation_id, organisation_quota> m_quotas;
    std::uint32_t m_shard_count = 1;     ///< Shards that share the caps of organisations.
    std::uint64_t m_quota_sequence = 0;  ///< Of the last request for quota.
    fencing_token m_quota_allocator;     ///< Of the newest allocator that has answered.
    time_point m_quota_asked_at{};       ///< When the last request for quota was made.
    bool m_quota_reported_needs = false; ///< The last request named an organisation.
    arrival_rate m_arrivals;
    std::map<queue_id, queue_run_times> m_run_times;
    std::map<std::string, image_pair_model> m_image_pairs;
    std::map<task_name, step_advice> m_advice; ///< By step: task names with index zero.
    bool m_advice_pending = false;             ///< A request to the advice service is in flight.
    time_point m_next_advice{};                ///< Earliest next request after a failed one.
    bool m_evacuate = false;                   ///< Cordoned machines must be free soon.
    std::uint32_t m_incoming_machines = 0;     ///< Machines that are being moved to the pool.
    time_point m_incoming_updated_at{};        ///< When that number was received.
    std::uint32_t m_unplaced_by_start =
        0; ///< Long-running tasks without a worker in the last plan.
    std::uint32_t m_unplaced_by_evacuation = 0; ///< The same in the last review, of tasks to move.
    std::uint32_t m_reserved_workers = 0;       ///< Metric: workers reserved in the last plan.
    std::uint64_t m_restarts = 0;               ///< Metric: new incarnations of known workers.
    std::uint64_t m_starts = 0;                 ///< Metric: start orders.
    std::uint64_t m_starts_on_reserved = 0;     ///< Metric: start orders to reserved workers.
    std::uint64_t m_candidates = 0;             ///< Metric: workers examined for placement.
    std::uint64_t m_tasks_examined = 0;         ///< Metric: tasks examined for a start.
    std::uint64_t m_ends_done = 0;              ///< Metric: runs that ended successfully.
    std::uint64_t m_ends_other = 0;             ///< Metric: runs that ended otherwise.
    cancellation_counts m_cancellations;
    locality_state m_locality;   ///< About tasks and gangs that run faster at some place.
    bool m_ranking_stale = true; ///< Submissions have changed since the last ranking.
    std::vector<submission_record*> m_ranked;
    time_point m_ranked_at{};
    time_point m_half_used_at{};        ///< When at least half of the cores were last in use.
    time_point m_next_starving_start{}; ///< Earliest time to put a starving submission first.
    time_point m_evacuates_from{};      ///< Until then stops of a former owner may be under way.
    time_point m_workers_reviewed_at{}; ///< When all workers and their runs were last checked.
    time_point m_next_purge{};          ///< Earliest next search for expired submissions.
    pool_capacity m_capacity;
    std::vector<std::string> m_log_lines; ///< Log messages for the caller to write.
};

/// Applies one log entry, of a record with a number, during the replay after a takeover. `now` is
/// the runtime's clock, `wall` the Unix time.
void replay_entry(shard& state, const log_entry& entry, time_point now, wall_time wall,
                  std::uint64_t log_number = 0);

/// Completes the replay, closes submissions whose ends are all in the log, and queues a log entry
/// for the takeover.
void finish_replay(shard& state, time_point now, wall_time wall);

/// Adds or updates the queues that belong to the shard's service; ignores all others.
void set_queues(shard& state, const std::vector<queue_contract>& queues);

/// Sets the terms of the organisations that the configuration has, and the number of shards that
/// share their caps.
void set_organisations(shard& state, const organisation_directory& organisations,
                       std::uint32_t shard_count = 1);

/// Applies a whole reading of the platform's worker list; ignores workers of other services.
void update_workers(shard& state, const std::vector<worker_listing>& listings, time_point now);

/// Applies one new or changed entry of the worker list. One that names another service counts as
/// removed.
void update_worker(shard& state, const worker_listing& listing, time_point now);

/// Applies the removal of an entry from the worker list; does nothing for an unknown worker.
void unlist_worker(shard& state, const worker_id& id, time_point now);

/// Number of workers that have answered and whose entry in the list is that of a former
/// incarnation, so that they get no starts.
std::size_t count_workers_without_entry(const shard& state);

/// Forgets workers that have not been listed for a while and cannot run anything any more.
void remove_departed_workers(shard& state, time_point now);

/// Accepts or refuses a submission. An accepted one becomes durable with the pending batch; a
/// refusal states after how many seconds to retry.
admission_result admit(shard& state, const submission_id& id, const queue_id& queue,
                       submission what, time_point now, wall_time wall,
                       const organisation_id& organisation = {});

/// True if callers of an organisation may ask for and cancel a submission: it is unknown, belongs
/// to nobody or to that organisation.
bool is_accessible(const shard& state, const submission_id& id,
                   const organisation_id& organisation);

/// Removes an accepted submission whose log entry was certainly not written. Does nothing if the
/// entry is stored or the submission is unknown.
void withdraw(shard& state, const submission_id& id);

/// Queues the cancellation of a submission in the pending batch; false if the id is unknown. The
/// cancellation of an unknown id is queued too and applies to a request of the same organisation
/// that arrives later.
bool cancel(shard& state, const submission_id& id, const organisation_id& organisation = {});

/// True if a submission was accepted and not forgotten.
bool is_known(const shard& state, const submission_id& id);

/// The state to report to callers; empty if the submission is unknown or not stored yet.
std::optional<submission_state> state_of(const shard& state, const submission_id& id);

/// Number of stored, not cancelled submissions of a queue of which no task has started. Repeated
/// submissions don't count.
std::size_t pending_count(const shard& state, const queue_id& queue);

/// True if a cancellation of an id may be remembered: there is room, or it is known.
bool has_room_for_cancellation(const shard& state, const submission_id& id);

/// Moves pending entries out for writing, as many as one record holds; empty if there are none.
std::optional<log_batch> take_batch(shard& state);

/// Records that a batch is durable: publishes its states, executes its cancellations and marks its
/// run ends for acknowledgement. The batch's revision, which is above those of all earlier writes
/// of all owners, is the fencing token for the workers of which it logs a new incarnation.
void mark_batch_stored(shard& state, const log_batch& batch, wall_time wall);

/// The fencing token of calls to a worker.
fencing_token token_of(const shard& state, const worker_id& worker);

/// The outcome of a call that was sent with a token. A worker that refuses it because of a higher
/// token of this same owner has done nothing, and no other owner is behind it.
order_outcome judge_refusal(shard& state, const worker_id& worker, fencing_token sent,
                            order_outcome outcome);

/// The next hold for a worker; empty if the worker is unknown or this owner has been superseded.
std::optional<hold_request> next_hold_request(shard& state, const worker_id& worker,
                                              time_point now);

/// Applies a worker's answer to a hold that was sent at the moment `sent`.
void apply_report(shard& state, const worker_id& worker, const worker_report& report,
                  time_point sent, time_point now, wall_time wall);

/// Applies the failure of a hold. A worker that has seen a higher fencing token ends this owner's
/// rule over the shard.
void apply_hold_failure(shard& state, const worker_id& worker, order_outcome outcome,
                        time_point now);

/// Applies the result of an order to a worker.
void apply_order_answer(shard& state, const worker_order& order, order_outcome outcome,
                        time_point now, wall_time wall);

/// Runs one scheduling pass: detects expired leases, repeats stop orders, ranks submissions and
/// queues orders for the tasks that can start.
void plan(shard& state, time_point now, wall_time wall);

/// Instructions for a pool from the process that manages the machines.
struct pool_instructions {
    std::vector<machine_id> m_cordoned;    ///< To be free of runs now, for upkeep or a move.
    std::vector<machine_id> m_upkeep_due;  ///< To be free of runs later.
    bool m_urgent = false;                 ///< Runs on cordoned machines are stopped.
    std::uint32_t m_incoming_machines = 0; ///< Machines that are being moved to the pool.
};

/// Cordons exactly the machines that the instructions name and updates the other instructions.
void apply_instructions(shard& state, const pool_instructions& what, time_point now);

/// True if the machine's worker is known and cordoned, has answered and has no runs.
bool is_clear(const shard& state, const machine_id& machine);

/// Expected time until all runs of a worker but the long-running ones have ended.
milliseconds expected_busy_time(const worker_record& worker, time_point now);

/// Number of machines that the backlog, long-running tasks and expected arrivals need.
double machines_needed(const shard& state, time_point now);

/// Log entry for an orderly release: names the workers that may still have runs.
log_ownership_released make_release_entry(const shard& state);

} // namespace guavabay
