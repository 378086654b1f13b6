#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/time.h"
#include "schedule/image_pair_model.h"
#include "submission/submission.h"
#include "submission/submission_log.h"
#include "worker/worker.h"

namespace guavabay {

/// What the operator's configuration says of one queue.
struct queue_contract {
    queue_id m_queue;
    service_id m_service;
    std::int32_t m_priority = 0; ///< Zero goes first.
    std::int32_t m_max_attempts = 1;
    double m_stretch_factor = 1;       ///< Of the longest chain, for the objective.
    milliseconds m_target{0};          ///< Added to the stretched chain.
    bool m_needs_advice = false;       ///< Starts need a ticket of the advice service.
    milliseconds m_advice_validity{0}; ///< How long a ticket holds.

    bool operator==(const queue_contract&) const = default;
};

/// Limits of the installation that the decisions keep.
struct schedule_bounds {
    milliseconds m_worker_lease{3000}; ///< Lease given with each hold; below the platform's.
    milliseconds m_unproven_renewal_time{5000}; ///< How long an owner without proof renews leases.
    milliseconds m_stop_time{900};              ///< Longest time a stop takes.
    milliseconds m_drain_time{2000};            ///< After it a draining worker gets no start.
    milliseconds m_absence_grace{4500};         ///< After it an absence counts for availability.
    milliseconds m_status_retention{120000};    ///< How long a final state is told.
    milliseconds m_early_start_tolerance{250};  ///< How early a repeated submission may start.
    milliseconds m_max_tail_violation{4000};    ///< How long a tail may stay over its target.
    milliseconds m_pace_settle_time{100};       ///< After it a changed pace is in effect.
    double m_remote_factor = 1.5;               ///< Slow-down away from the data or over racks.
};

/// Where a task stands.
enum class task_phase : std::uint8_t { blocked, ready, placed, done };

struct worker_record;

/// One task of one occurrence.
struct scheduled_task {
    task_phase m_phase = task_phase::blocked;
    bool m_inherited = false; ///< A former owner may have started it on a worker not heard yet.
    std::vector<run_number> m_failed_runs; ///< Each counts as one attempt.
    worker_record* m_worker = nullptr;     ///< Where it is placed.
    run_number m_run;
    std::string m_checkpoint;
    worker_id m_failed_on;             ///< Worker of the last failure.
    time_point m_not_before{};         ///< Start not earlier; spaces retries.
    time_point m_unavailable_since{};  ///< Of a lasting task that is not at work.
    bool m_available = false;          ///< Of a lasting task: its percent is 100.
    bool m_moved_by_scheduler = false; ///< Away because of an order of this system.
};

/// One run of all steps.
struct occurrence_state {
    bool m_created = false;
    bool m_done = false;
    std::vector<std::vector<scheduled_task>> m_steps;
    std::vector<std::uint32_t> m_unfinished_tasks; ///< Tasks of each step that are not done.
};

/// One accepted submission, or the memory of one that is over.
struct submission_record {
    submission_id m_id;
    queue_id m_queue;
    submission m_definition;
    std::int64_t m_accepted_ms = 0; ///< Unix time.
    time_point m_arrived{};
    time_point m_objective{};     ///< Finishing later earns little.
    time_point m_hard_deadline{}; ///< Finishing later earns nothing.
    bool m_accept_stored = false;
    bool m_cancel_requested = false;
    bool m_started = false; ///< A task was started once.
    bool m_final_decided = false;
    submission_state m_visible = submission_state::pending;
    submission_state m_final = submission_state::succeeded;
    std::int64_t m_closed_ms = 0;   ///< Unix time.
    double m_remaining_core_ms = 0; ///< Core-milliseconds, by corrected estimates.
    milliseconds m_remaining_critical_path{
        0}; ///< Longest chain of what is left, by corrected estimates.
    std::vector<occurrence_state> m_occurrences;
};

/// Whether a run's order was answered.
enum class run_phase : std::uint8_t { ordered, running, stopping };

/// One run that takes room on a worker, known or feared.
struct run_slot {
    task_name m_task;
    run_number m_run;
    resources m_reserved;
    run_phase m_phase = run_phase::ordered;
    bool m_detached = false;       ///< No task waits for its end.
    bool m_unknown_demand = false; ///< Its submission is over, so that nobody knows what it takes.
    bool m_long_running = false;
    bool m_order_pending = false; ///< An order about it is on its way.
    time_point m_ordered_at{};
    time_point m_next_stop_at{}; ///< When a stop is ordered again.
    milliseconds m_stop_retry_delay{0};
    bool m_stop_answered = false;
    bool m_stay_logged = false; ///< That it cannot leave its worker was noted.
    time_point m_stop_answered_at{};
    time_point m_accepted_at{}; ///< When the answer to the start came.
    std::int32_t m_percent = -1;
    time_point m_progress_at{};
    std::int64_t m_load = 0;
    std::int32_t m_pace = 100;
    std::int32_t m_requested_pace = 100;
    time_point m_pace_at{};
    milliseconds m_estimate{0};
    std::string m_image;
    std::int64_t m_tail_latency_target_ms = 0;
    bool m_uses_idle_cores = false;
    std::int64_t m_declared_cpu = 0;
};

/// One life of a worker, as its owner sees it.
struct worker_record {
    worker_listing m_info;
    bool m_use_stored = false; ///< The log says that it is in use.
    bool m_listed = false;     ///< In the platform's list at the last reading.
    time_point m_unlisted_since{};
    time_point m_draining_since{};
    bool m_answered = false; ///< It has taken our fencing token.
    std::int64_t m_incarnation_start_ms = 0;
    std::int64_t m_clock_ms = 0;   ///< Its clock at the last answer.
    time_point m_clock_at{};       ///< When that answer came.
    time_point m_last_heard_at{};  ///< When it answered last.
    time_point m_lease_until{};    ///< Its lease has surely ended after this moment.
    bool m_hold_failed = false;    ///< The last hold was not answered.
    bool m_lease_ended = true;     ///< Nothing that we know of can run there.
    std::int64_t m_seen_end = 0;   ///< Newest end that was taken in.
    std::int64_t m_stored_end = 0; ///< Newest end that is stored.
    resources m_reserved;
    std::map<std::pair<task_name, run_number>, run_slot> m_runs;
    std::uint32_t m_consecutive_failures = 0;
    time_point m_quarantined_until{};
    milliseconds m_quarantine_time{0};
    bool m_probing = false;    ///< One task tries the worker after it was shunned.
    double m_slowness = 1;     ///< Run times over expected ones, smoothed.
    bool m_cordoned = false;   ///< Kept free for upkeep or a move.
    bool m_upkeep_due = false; ///< Kept free later; lasting tasks leave it as far as they can.
    time_point m_cordoned_since{};
    bool m_gone = false; ///< The life is over; removed when nothing refers to it.
};

/// An order to a worker.
struct worker_order {
    enum class kind : std::uint8_t { start, stop, pace };
    kind m_kind = kind::start;
    worker_id m_worker;
    std::string m_address;
    task_name m_task;
    run_number m_run;
    std::string m_spec;
    std::string m_checkpoint;
    std::string m_ticket;
    std::int64_t m_deadline_ms = 0; ///< Lease that a start carries, on the worker's clock.
    std::int32_t m_percent = 0;     ///< Of a pace.
};

/// What to send to a worker to renew its lease and learn of its runs.
struct hold_request {
    worker_id m_worker;
    std::string m_address;
    std::optional<std::int64_t> m_deadline_ms;
    std::int64_t m_acked_through = 0;
};

/// What belongs to one write of the log.
struct log_batch {
    std::uint64_t m_number = 0;
    std::vector<log_entry> m_entries;
    std::vector<std::pair<worker_id, std::int64_t>> m_ends; ///< Ends that it makes durable.
};

/// A proof that a step may run on a worker, and until when it holds.
struct advice_ticket {
    std::string m_ticket;
    time_point m_expires_at{};
};

/// What the advice service said of a step.
struct step_advice {
    std::map<worker_id, advice_ticket> m_tickets;
    std::set<worker_id> m_denied; ///< Workers that may not run it, for the life of the step.
};

/// Learned ratio of run time to estimate for the tasks of a queue.
struct duration_model {
    double m_ratio = 1;
    std::uint32_t m_samples = 0;
};

/// Work that arrives, averaged with a fading weight.
struct arrival_rate {
    double m_short_core_ms = 0; ///< Core-milliseconds, faded fast up to the moment.
    double m_long_core_ms = 0;  ///< The same, faded slowly.
    time_point m_at{};
};

/// How a submission was answered.
enum class admission : std::uint8_t { accepted, already_stored, refused };

/// Answer to a caller that hands in a submission.
struct admission_result {
    admission m_answer = admission::accepted;
    seconds m_retry_after{0};
    std::string_view m_reason;
};

/// All state of one shard: the submissions of a service's queues and the service's workers.
/// Functions below decide on it; they read no clock and do no input or output.
struct shard {
    service_id m_service;
    fencing_token m_token;
    schedule_bounds m_bounds;
    std::map<queue_id, queue_contract> m_queues;

    std::unordered_map<submission_id, std::unique_ptr<submission_record>> m_submissions;
    std::unordered_set<submission_record*> m_open_submissions;
    std::unordered_map<submission_id, time_point>
        m_refused; ///< First refusal of those that return.
    std::map<worker_id, std::unique_ptr<worker_record>> m_workers;

    log_batch m_pending; ///< Not handed out for writing yet.
    std::uint64_t m_next_batch = 1;
    std::vector<worker_order> m_orders; ///< Decided and not handed out yet.
    std::int64_t m_next_run = 0;
    bool m_may_start = false;              ///< The owner's record is proven.
    bool m_may_hold = false;               ///< Leases may still be renewed.
    bool m_lost = false;                   ///< Another owner was seen.
    bool m_loaded = false;                 ///< The log was read to its end.
    bool m_takeover_stored = false;        ///< The log says that this owner starts tasks.
    std::set<worker_id> m_awaited_workers; ///< Workers that a former owner may still hold.
    time_point m_awaited_until{};          ///< After it their leases have ended.
    arrival_rate m_arrivals;
    std::map<queue_id, duration_model> m_durations;
    std::map<std::string, image_pair_model> m_image_pairs;
    std::map<task_name, step_advice> m_advice; ///< By step; the index of the name is zero.
    bool m_advice_pending = false;             ///< A question is under way.
    time_point m_next_advice{};
    bool m_evacuate = false;               ///< Cordoned machines are needed soon.
    std::uint32_t m_incoming_machines = 0; ///< Machines on their way to the pool.
    time_point m_incoming_updated_at{};    ///< When that was told.
    std::uint32_t m_unplaced_long_running =
        0;                          ///< Lasting tasks that found no worker in the last plan.
    std::uint64_t m_starts = 0;     ///< Counts orders, for the metrics.
    std::uint64_t m_candidates = 0; ///< Counts workers that were looked at to place tasks.
    std::uint64_t m_ends_done = 0;
    std::uint64_t m_ends_other = 0;
    bool m_ranking_stale = true; ///< The order of submissions has to be found again.
    std::vector<submission_record*> m_ranked;
    time_point m_ranked_at{};
    std::vector<std::string> m_log_lines; ///< Decisions worth a log line, for the shell.
};

/// Takes one line of the log while it is read after taking over.
void replay_entry(shard& state, const log_entry& entry, time_point now, wall_time wall);

/// Ends the reading of the log. Tasks that are open may have been started by a former owner.
void finish_replay(shard& state, time_point now);

/// Takes the operator's queues that lead to this service.
void set_queues(shard& state, const std::vector<queue_contract>& queues);

/// Takes a reading of the platform's list; listings of other services' workers are ignored.
void update_workers(shard& state, const std::vector<worker_listing>& listings, time_point now);

/// Decides on a submission. An accepted one is stored by the pending batch.
admission_result admit(shard& state, const submission_id& id, const queue_id& queue,
                       submission what, time_point now, wall_time wall);

/// Takes an accepted submission back whose line of the log was surely not written.
void withdraw(shard& state, const submission_id& id);

/// Cancels a submission by the pending batch; false when there is none of this name.
bool cancel(shard& state, const submission_id& id);

/// The state to show; empty when there is no such submission.
std::optional<submission_state> state_of(const shard& state, const submission_id& id);

/// Accepted submissions of a queue without due times of which no task has started.
std::size_t pending_count(const shard& state, const queue_id& queue);

/// Hands out what waits to be written, if anything does.
std::optional<log_batch> take_batch(shard& state);

/// A batch is durable: what it says is shown, and its ends are acknowledged.
void mark_batch_stored(shard& state, const log_batch& batch, wall_time wall);

/// What to ask of a worker now; empty when the worker is not to be asked.
std::optional<hold_request> next_hold_request(shard& state, const worker_id& worker,
                                              time_point now);

/// Takes a worker's answer to a hold that was sent at a given moment.
void apply_report(shard& state, const worker_id& worker, const worker_report& report,
                  time_point sent, time_point now, wall_time wall);

/// Takes the failure of a hold.
void apply_hold_failure(shard& state, const worker_id& worker, order_outcome outcome,
                        time_point now);

/// Takes a worker's answer to an order.
void apply_order_answer(shard& state, const worker_order& order, order_outcome outcome,
                        time_point now, wall_time wall);

/// Finds leases that ended, repeats stops, and starts what can be started.
void plan(shard& state, time_point now, wall_time wall);

/// What the holder of the machines' duty wants of a pool.
struct pool_instructions {
    std::vector<machine_id> m_cordoned;    ///< To be free of work now, for upkeep or a move.
    std::vector<machine_id> m_upkeep_due;  ///< To be free of work later.
    bool m_urgent = false;                 ///< Work that would go on for long is stopped.
    std::uint32_t m_incoming_machines = 0; ///< Machines on their way to the pool.
};

/// Keeps the machines free that are named, and no others.
void apply_instructions(shard& state, const pool_instructions& what, time_point now);

/// True when nothing runs or can start on the machine's worker.
bool is_clear(const shard& state, const machine_id& machine);

/// Machines that the work at hand and the work that arrives need.
double machines_needed(const shard& state, time_point now);

/// Lines for the successor when the owner gives the shard up in order.
log_released make_release_entry(const shard& state);

} // namespace guavabay
