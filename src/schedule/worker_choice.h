#pragma once

#include "schedule/shard_steps.h"

// Choice of a worker for a task. Internal to the schedule package.
namespace guavabay {

/// A worker that accepts starts, with its free capacity in the current planning pass.
struct candidate_worker {
    resources m_free;
    worker_record* m_worker = nullptr;
};

/// Workers that accept starts, collected once per planning pass. Free capacity only shrinks during
/// a pass, so a demand that fitted on no worker is not tried again.
struct candidate_workers {
    std::vector<candidate_worker> m_workers;
    std::vector<resources> m_unplaceable; ///< Demands that fit on no worker.
};

/// A task to place, with its constraints and the resources that a start reserves.
struct placement_request {
    submission_record* m_record = nullptr;
    const submission_step* m_step = nullptr;
    task_name m_name;
    const scheduled_task* m_task = nullptr;
    resources m_demand; ///< Resources to reserve on the worker.
    milliseconds m_expected_duration{0};
    bool m_avoids_upkeep = false; ///< Excludes workers with upkeep due.
    bool m_needs_ticket = false;  ///< Requires a ticket of the advice service.
};

/// Collects the workers that accept starts now and whose runs all have known demands.
candidate_workers find_candidate_workers(shard& state, time_point now);

/// Builds the placement request of a task. Tasks that use idle cores reserve no cores.
placement_request make_placement_request(const shard& state, submission_record& record,
                                         const task_name& name, const scheduled_task& task);

/// Chooses the worker with the lowest placement cost that has capacity for the task and meets its
/// constraints; null when there is none. An empty `required_rack` admits all racks. The caller
/// reduces the free capacity of the result if it starts the task there.
candidate_worker* choose_worker(shard& state, candidate_workers& candidates,
                                const placement_request& request, const std::string& required_rack,
                                time_point now);

/// Reserves a worker for a task that fits on none now: removes, among the workers whose total
/// capacity suffices, the one with most free cores from the candidates, so that smaller tasks later
/// in the pass don't fill it. False when no worker is large enough.
bool reserve_worker(candidate_workers& candidates, const placement_request& request);

} // namespace guavabay
