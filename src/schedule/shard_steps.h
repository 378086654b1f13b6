#pragma once

#include <functional>

#include "schedule/shard.h"

// Operations on the scheduling state that the files of the schedule package share. Internal to the
// package.
namespace guavabay {

/// A submission and one of its tasks.
struct found_task {
    submission_record* m_record = nullptr;
    step_tasks* m_step = nullptr;
    scheduled_task* m_task = nullptr; ///< Null if the task is done.
};

/// The cancellation of an id that was not accepted, made if it is not known yet.
early_cancellation& remember_cancellation(shard& state, const submission_id& id);

/// Finds a task; all pointers are null if it does not exist or its submission's final state is
/// decided.
found_task find_task(shard& state, const task_name& name);

/// Finds a task that a former owner may have started. Unlike find_task() it creates the tasks of an
/// inherited submission's occurrence that this owner has not reached yet.
found_task find_or_create_task(shard& state, const task_name& name);

/// The contract of a submission's queue: of the configuration, else of the log, else a default one.
const queue_contract& contract_of(const shard& state, const submission_record& record);

/// Adds the contract of a configured queue to the log, unless the log has the same one.
void log_contract(shard& state, const queue_id& queue);

/// What has been learned about the run times of a submission's queue, or of its organisation's
/// submissions in that queue once these suffice.
const run_time_model& run_times_of(const shard& state, const submission_record& record);

/// Expected run time of a step's task on a healthy worker near its data: the estimate, corrected by
/// what is known of the queue and of the submission. Typical; a few tasks take much longer.
milliseconds expected_time(const shard& state, const submission_record& record,
                           const submission_step& step);

/// Time without progress that is usual for a run which is expected to take `estimate`, given that
/// progress is reported in whole percents.
milliseconds usual_pause(milliseconds estimate);

/// Adds a task's ratio of run time to estimate to what is known of its queue; `others` is what the
/// other tasks of its submission have told.
void learn_run_time(shard& state, const submission_record& record,
                    const submission_run_times& others, double ratio);

/// When a run that was ordered at `started` and is expected to take `estimate` should end. The
/// longer it has exceeded that, the later.
time_point expected_end(const shard& state, const submission_record& record, milliseconds estimate,
                        time_point started, time_point now);

/// Prepares the occurrences of a new record. Creates the only one of a submission that does not
/// repeat.
void begin_occurrences(submission_record& record);

/// Creates an occurrence that is not done and makes the tasks of its first steps ready.
occurrence_state& create_occurrence(submission_record& record, std::uint32_t number);

/// Creates the occurrences whose time has come. While many of them have tasks that could start and
/// have not, the later ones wait, so that their number follows what runs.
void create_due_occurrences(submission_record& record, wall_time wall);

/// True if an occurrence is done.
bool is_done(const submission_record& record, std::uint32_t occurrence);

/// Unix time in milliseconds at which an occurrence is due; zero for a submission that does not
/// repeat.
std::int64_t due_ms(const submission& what, std::uint32_t occurrence);

/// Number of occurrences of a submission, at least one.
std::uint32_t occurrence_count(const submission& what);

/// Returns a placed task to the ready tasks; it starts again no earlier than `not_before`.
void make_ready(shard& state, const found_task& found, time_point not_before);

/// Records a failed run of a task. Workers repeat reports, so a run counts once; true for its first
/// report.
bool count_failure(scheduled_task& task, run_number run);

/// Removes a run from its worker and releases its capacity. Its task, if it is still placed there,
/// becomes ready again.
void free_slot(shard& state, worker_record& worker, const run_slot& slot, time_point not_before);

/// Adds a run to a worker, reserves its capacity and counts it against its organisation's cap;
/// replaces a run of the same task and number.
run_slot& add_run(shard& state, worker_record& worker, run_slot slot);

/// Removes a run from its worker and releases its capacity; returns the next run.
std::map<std::pair<task_name, run_number>, run_slot>::iterator
erase_run(shard& state, worker_record& worker,
          std::map<std::pair<task_name, run_number>, run_slot>::iterator run);

/// Marks a run for stop orders. A detached run's task does not wait for the run's end.
void stop_run(shard& state, worker_record& worker, run_slot& slot, bool detach);

/// Marks a task as done, makes the tasks ready that waited for it, and forgets its occurrence with
/// the last task. With a task of a gang all of its members are done: they only end so together, and
/// one end stands for all.
void mark_done(
    submission_record& record, const task_name& name,
    const std::function<void(const scheduled_task& task, std::uint32_t index)>& before_each);

/// True when all occurrences of a submission are done.
bool is_done(const submission_record& record);

/// Marks a task as done after the end of a run, and closes the submission if it was the last task.
/// A long-running task becomes ready again instead.
void finish_task(shard& state, submission_record& record, const task_name& name, run_number run,
                 wall_time wall);

/// Decides a submission's final state and stops its remaining runs.
void close_submission(shard& state, submission_record& record, submission_state final_state,
                      wall_time wall);

/// Ends a worker's incarnation or lease: removes its runs and makes their tasks ready. With
/// `keep_unanswered`, recent start orders that the worker may still execute stay as runs to be
/// stopped.
void end_incarnation(shard& state, worker_record& worker, time_point now, bool keep_unanswered);

/// Replaces a worker's incarnation by a newer one. Runs that the worker has listed have ended. The
/// others were ordered around the restart, so the new incarnation may have them: they keep their
/// tasks until its first report.
void begin_incarnation(shard& state, worker_record& worker, std::int64_t start_ms, time_point now);

/// Records a failure that is attributed to a worker and quarantines it after several in a row.
void record_worker_failure(shard& state, worker_record& worker, time_point now);

/// True if the worker's entry in the platform's list is that of its present incarnation, as far as
/// is known. Otherwise its labels, its capacity and whether it drains are those of a former one.
bool is_entry_current(const worker_record& worker);

/// True if a worker drains, by an entry of its present incarnation.
bool is_draining(const worker_record& worker);

/// True if a worker may get start orders now, regardless of its free capacity.
bool accepts_starts(const worker_record& worker, time_point now);

/// Computes a submission's objective and hard deadline from its queue's contract and its
/// estimates.
void set_deadlines(const shard& state, submission_record& record);

/// Converts a moment of the runtime's clock to the worker's clock, in milliseconds.
std::int64_t worker_clock_ms(const worker_record& worker, time_point now);

/// Longest real time that can pass while a worker's clock advances by the given time.
duration longest_real_time(milliseconds by_worker_clock);

/// Records that the worker was granted a lease up to a moment of its own clock.
void extend_lease(worker_record& worker, std::int64_t deadline_ms);

/// Adjusts the pace of the runs that use idle cores to the tail latencies of the serving runs on
/// the same worker.
void adjust_paces(shard& state, time_point now);

/// Adds a newly arrived submission to the arrival rate. Retries of a refused one must not be added
/// again.
void record_arrival(shard& state, const submission& what, time_point now);

/// Approximate time until a machine that is already being moved runs tasks.
inline constexpr double join_time_ms = 1500;

/// The pool's capacity, determined anew if the last result is older than a few milliseconds.
const pool_capacity& current_capacity(shard& state, time_point now);

/// Core-milliseconds that `cores` cores and the machines that are being moved to the pool offer
/// until a moment.
double available_core_ms(const pool_capacity& capacity, double cores, time_point now,
                         time_point until);

/// Time that the pool, including the machines that are being moved to it, needs for an amount of
/// work in core-milliseconds.
duration estimate_work_time(const pool_capacity& capacity, double core_ms);

/// Moves long-running tasks off workers that drain, are cordoned or will be. Other tasks are
/// stopped only on cordoned workers whose machines are needed soon.
void evacuate(shard& state, time_point now);

/// Determines the order in which submissions get capacity.
void rank_submissions(shard& state, time_point now, wall_time wall);

/// Unix time in milliseconds.
inline std::int64_t unix_ms(wall_time wall)
{
    return wall.time_since_epoch().count();
}

} // namespace guavabay
