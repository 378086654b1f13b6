#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "submission/submission.h"

namespace guavabay {

struct worker_record;

/// Progress of a task: waiting for earlier steps, startable, on a worker, or finished.
enum class task_phase : std::uint8_t { blocked, ready, placed, done };

/// State of a task that is on a worker, or has been.
struct scheduled_task {
    task_phase m_phase = task_phase::blocked;
    std::vector<run_number> m_failed_runs; ///< Each counts as one attempt.
    worker_record* m_worker = nullptr;     ///< The worker it is placed on; null otherwise.
    run_number m_run;
    std::string m_checkpoint;
    worker_id m_failed_on;             ///< Worker of the last failure.
    time_point m_not_before{};         ///< Earliest next start; spaces retries.
    time_point m_started_at{};         ///< While it is placed: when its run was ordered.
    time_point m_expected_end{};       ///< While it is placed: when its run should end.
    bool m_available = false;          ///< Long-running tasks: it reported 100 percent.
    bool m_moved_by_scheduler = false; ///< Unavailable because the scheduler ordered a move.
};

/// The tasks of one step of an occurrence. A task takes memory of its own from its first start
/// until it is done. All others are alike, so that a step costs what has been started of it and not
/// what it announces; a task that is done costs a bit.
struct step_tasks {
    std::uint32_t m_count = 0;      ///< Of all tasks.
    std::uint32_t m_unfinished = 0; ///< Tasks that are not done.
    std::uint32_t m_ready = 0;      ///< Tasks in the phase ready.
    bool m_unblocked = false;       ///< All earlier steps were done, so its tasks may start.
    std::uint32_t m_done_below = 0; ///< All tasks with smaller indices are done.
    std::vector<bool> m_done;       ///< By index; empty until a task is done.
    std::map<std::uint32_t, scheduled_task> m_started; ///< By index; not done.
};

/// A step of which no task has started.
step_tasks make_step_tasks(std::uint32_t count);

/// True if a task is done. The index must be below the count.
bool is_done(const step_tasks& step, std::uint32_t index);

/// The state of a task that is not done.
const scheduled_task& view_task(const step_tasks& step, std::uint32_t index);

/// The state of a task that is not done, to change it. It stays where it is until the task is done.
scheduled_task& edit_task(step_tasks& step, std::uint32_t index);

/// Index of the first task in the phase ready, from an index on; empty if there is none.
std::optional<std::uint32_t> next_ready_task(const step_tasks& step, std::uint32_t from);

/// Number of tasks that are on workers.
std::uint32_t count_placed(const step_tasks& step);

/// Moves a task to another phase other than done.
void set_phase(step_tasks& step, scheduled_task& task, task_phase phase);

/// Makes all blocked tasks ready.
void unblock(step_tasks& step);

/// Marks a task as done and forgets its state.
void finish(step_tasks& step, std::uint32_t index);

} // namespace guavabay
