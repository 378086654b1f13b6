#pragma once

#include "schedule/worker_choice.h"

// Applies the decisions of locality.h to the scheduling state. Internal to the schedule package.
namespace guavabay {

/// Slow-down of a step's task on a worker because of the rack of its data.
double place_factor(const shard& state, const submission_step& step, const worker_record& worker);

/// True when a task that has room only on workers away from its data waits for the rack of its
/// data. `elsewhere` is the best of these workers.
bool waits_for_data_rack(shard& state, candidate_workers& candidates,
                         const placement_request& request, const worker_record& elsewhere,
                         time_point now);

/// True when a gang that has room only where it is slowed down waits for a better place. The
/// request is that of its first task; `racks` are the places.
bool gang_waits(shard& state, candidate_workers& candidates, const placement_request& request,
                const std::vector<std::string>& racks, time_point now);

/// Books capacity at a place for `count` tasks like the one of the request, which have no worker
/// and rank higher than all that ask later in the pass.
void book_waiting_tasks(shard& state, candidate_workers& candidates,
                        const placement_request& request, const std::string& rack,
                        std::uint32_t count, time_point now);

/// Records that a task, or a gang by its first task, that names a place starts, at the place or
/// elsewhere.
void note_place_start(shard& state, const task_name& name, bool is_at_place, time_point now);

/// Adds the ratio of a finished run's time to its expected time to what waits are decided by.
void note_run_ratio(shard& state, double ratio);

/// Forgets the waits of tasks that are not asked about any more: they were cancelled, or their
/// submission is over.
void forget_ended_waits(shard& state, time_point now);

} // namespace guavabay
