#pragma once

#include "schedule/shard_steps.h"

// The choice of a worker for a task. Not for use outside of the package.
namespace guavabay {

/// Workers that take starts, looked up once for all choices of a plan. Within a plan room only
/// shrinks, so that a demand that found none need not be tried again.
struct open_room {
    std::vector<worker_record*> m_workers;
    std::vector<resources> m_too_large; ///< Demands for which no worker has room.
};

/// What a choice of a worker needs to know of a task.
struct wanted_task {
    submission_record* m_record = nullptr;
    const submission_step* m_step = nullptr;
    task_name m_name;
    const scheduled_task* m_task = nullptr;
    resources m_demand; ///< What is reserved.
    milliseconds m_expected{0};
    bool m_avoids_upkeep = false; ///< Not on workers that are to be kept free later.
    bool m_needs_ticket = false;  ///< Only on workers that the advice service allows.
};

/// Finds the workers that take starts at a moment.
open_room find_open_room(shard& state, time_point now);

/// What a choice needs to know of a task.
wanted_task describe(const shard& state, submission_record& record, const task_name& name,
                     const scheduled_task& task);

/// The worker of least cost that has room for a task and may run it, in a rack or, when that is
/// empty, in any; null when there is none.
worker_record* choose_worker(shard& state, open_room& room, const wanted_task& wanted,
                             const std::string& only_rack, time_point now);

/// Keeps the worker with most free cores that could hold a task which found no room from smaller
/// tasks that follow.
bool keep_worker(open_room& room, const wanted_task& wanted);

} // namespace guavabay
