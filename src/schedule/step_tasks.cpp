#include "schedule/step_tasks.h"

#include <algorithm>

namespace guavabay {

namespace {

/// State of all tasks that have not started, by whether the earlier steps are done.
scheduled_task make_unstarted(task_phase phase)
{
    scheduled_task task;
    task.m_phase = phase;
    return task;
}

const scheduled_task& unstarted_task(const step_tasks& step)
{
    static const scheduled_task blocked = make_unstarted(task_phase::blocked);
    static const scheduled_task ready = make_unstarted(task_phase::ready);
    return step.m_unblocked ? ready : blocked;
}

} // namespace

step_tasks make_step_tasks(std::uint32_t count)
{
    step_tasks step;
    step.m_count = count;
    step.m_unfinished = count;
    return step;
}

bool is_done(const step_tasks& step, std::uint32_t index)
{
    return index < step.m_done_below || (!step.m_done.empty() && step.m_done[index]);
}

const scheduled_task& view_task(const step_tasks& step, std::uint32_t index)
{
    const auto found = step.m_started.find(index);
    return found == step.m_started.end() ? unstarted_task(step) : found->second;
}

scheduled_task& edit_task(step_tasks& step, std::uint32_t index)
{
    return step.m_started.try_emplace(index, unstarted_task(step)).first->second;
}

std::optional<std::uint32_t> next_ready_task(const step_tasks& step, std::uint32_t from)
{
    if (step.m_ready == 0) {
        return std::nullopt;
    }
    auto started = step.m_started.lower_bound(from);
    for (std::uint32_t i = std::max(from, step.m_done_below); i < step.m_count; ++i) {
        while (started != step.m_started.end() && started->first < i) {
            ++started;
        }
        if (started != step.m_started.end() && started->first == i) {
            if (started->second.m_phase == task_phase::ready) {
                return i;
            }
        }
        else if (step.m_unblocked && !is_done(step, i)) {
            return i;
        }
    }
    return std::nullopt;
}

std::uint32_t count_placed(const step_tasks& step)
{
    return static_cast<std::uint32_t>(
        std::count_if(step.m_started.begin(), step.m_started.end(), [](const auto& entry) {
            return entry.second.m_phase == task_phase::placed;
        }));
}

void set_phase(step_tasks& step, scheduled_task& task, task_phase phase)
{
    step.m_ready -= task.m_phase == task_phase::ready ? 1 : 0;
    step.m_ready += phase == task_phase::ready ? 1 : 0;
    task.m_phase = phase;
}

void unblock(step_tasks& step)
{
    for (auto& [index, task] : step.m_started) {
        if (task.m_phase == task_phase::blocked) {
            set_phase(step, task, task_phase::ready);
        }
    }
    if (!step.m_unblocked) {
        step.m_unblocked = true;
        step.m_ready += step.m_unfinished - static_cast<std::uint32_t>(step.m_started.size());
    }
}

void finish(step_tasks& step, std::uint32_t index)
{
    if (is_done(step, index)) {
        return;
    }
    step.m_ready -= view_task(step, index).m_phase == task_phase::ready ? 1 : 0;
    step.m_started.erase(index);
    --step.m_unfinished;
    if (step.m_done.empty()) {
        step.m_done.resize(step.m_count);
    }
    step.m_done[index] = true;
    while (step.m_done_below < step.m_count && step.m_done[step.m_done_below]) {
        ++step.m_done_below;
    }
    if (step.m_unfinished == 0) {
        step.m_done = {};
    }
}

} // namespace guavabay
