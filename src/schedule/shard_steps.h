#pragma once

#include "schedule/shard.h"

// Steps that the parts of the schedule package share. Not for use outside of it.
namespace guavabay {

/// A record and one of its tasks.
struct found_task {
    submission_record* m_record = nullptr;
    scheduled_task* m_task = nullptr;
};

/// Finds a task; both pointers are null when it does not exist or its submission is over.
found_task find_task(shard& state, const task_name& name);

/// The contract of a record's queue; defaults when the configuration no longer has the queue.
const queue_contract& contract_of(const shard& state, const submission_record& record);

/// Expected run time of a step's task on a sound worker near its data.
milliseconds expected_time(const shard& state, const submission_record& record,
                           const submission_step& step);

/// Makes an occurrence whose first steps are ready.
void create_occurrence(submission_record& record, std::uint32_t number);

/// Makes tasks ready whose earlier steps are done.
void unblock_steps(submission_record& record, occurrence_state& occurrence);

/// Unix time at which an occurrence is due; zero for at once.
std::int64_t due_ms(const submission& what, std::uint32_t occurrence);

/// Number of occurrences of a submission, at least one.
std::uint32_t occurrence_count(const submission& what);

/// Gives a placed task back to those that wait.
void make_ready(shard& state, scheduled_task& task, time_point not_before);

/// Counts a failed run of a task, once however often it is told; true for the first time.
bool count_failure(scheduled_task& task, run_number run);

/// Removes a run from its worker and its task, which is ready again.
void free_slot(shard& state, worker_record& worker, const run_slot& slot, time_point not_before);

/// Begins to stop a run.
void stop_run(shard& state, worker_record& worker, run_slot& slot, bool detach);

/// Marks a task done and closes its submission with the last one.
void finish_task(shard& state, submission_record& record, const task_name& name, wall_time wall);

/// Decides a submission's final state and stops what still runs for it.
void close_submission(shard& state, submission_record& record, submission_state final_state,
                      wall_time wall);

/// The life of a worker is over: nothing of it runs any more.
void end_incarnation(shard& state, worker_record& worker, time_point now, bool keep_unanswered);

/// Counts a failure against a worker and shuns it after several.
void record_worker_failure(shard& state, worker_record& worker, time_point now);

/// True when a worker may get starts at this moment, apart from room.
bool accepts_starts(const worker_record& worker, time_point now);

/// Sets until when a submission earns by its queue's contract and its estimates.
void set_deadlines(const shard& state, submission_record& record);

/// Milliseconds that a moment of the runtime's clock corresponds to on the worker's clock.
std::int64_t worker_clock_ms(const worker_record& worker, time_point now);

/// Notes that a lease up to a moment of the worker's clock was given.
void extend_lease(worker_record& worker, std::int64_t deadline_ms);

/// Sets the paces of filling tasks by the tails of the serving ones.
void adjust_paces(shard& state, time_point now);

/// Counts the work of a submission that arrives for the first time.
void record_arrival(shard& state, const submission& what, time_point now);

/// Core-milliseconds that a pool offers up to a moment, with the machines that are on their way.
double available_core_ms(const shard& state, double cores, time_point now, time_point until);

/// Time that the pool needs for an amount of work, in core-milliseconds.
duration estimate_work_time(const shard& state, double core_ms, double cores, time_point now);

/// Moves lasting tasks off workers that leave or are to be kept free now or later, and other tasks
/// too when the machine is needed soon.
void evacuate(shard& state, time_point now);

/// Decides in which order submissions get room.
void rank_submissions(shard& state, time_point now, wall_time wall);

/// Unix time in milliseconds.
inline std::int64_t unix_ms(wall_time wall)
{
    return wall.time_since_epoch().count();
}

} // namespace guavabay
