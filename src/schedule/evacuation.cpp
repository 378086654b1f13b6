#include <algorithm>
#include <limits>

#include "schedule/worker_choice.h"

namespace guavabay {

namespace {

/// Work on a machine that is needed soon may go on for this long.
constexpr milliseconds evacuation_patience{800};

/// A lasting task that cannot leave a cordoned worker for this long is worth a note.
constexpr milliseconds stay_worth_a_note{4000};

/// Others of a lasting task's step that are not at work.
std::int32_t others_away(const submission_record& record, const task_name& name)
{
    const std::vector<scheduled_task>& tasks =
        record.m_occurrences[name.m_occurrence].m_steps[name.m_step];
    std::int32_t away = 0;
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        away += i != name.m_index && !tasks[i].m_available ? 1 : 0;
    }
    return away;
}

/// True when a lasting task may be stopped to run elsewhere: its step can bear it, and there is
/// room for it.
bool may_move(shard& state, open_room& room, const worker_record& worker, const run_slot& slot,
              time_point now)
{
    const found_task found = find_task(state, slot.m_task);
    if (found.m_task == nullptr || found.m_task->m_worker != &worker) {
        return false;
    }
    const submission_step& step = found.m_record->m_definition.m_steps[slot.m_task.m_step];
    // A task that was not at work at the last answer may have come to work since.
    const bool needed_now = worker.m_cordoned || worker.m_info.m_draining;
    const std::int32_t bearable = step.m_max_unavailable >= 0 ? step.m_max_unavailable
                                  : needed_now ? std::numeric_limits<std::int32_t>::max()
                                               : 1;
    if (!worker.m_info.m_draining && others_away(*found.m_record, slot.m_task) >= bearable) {
        return false;
    }
    wanted_task wanted = describe(state, *found.m_record, slot.m_task, *found.m_task);
    wanted.m_avoids_upkeep = !needed_now;
    const bool has_room = choose_worker(state, room, wanted, "", now) != nullptr;
    state.m_unplaced_long_running += has_room ? 0 : 1;
    return has_room;
}

void note_stay(shard& state, open_room& room, const worker_record& worker, const run_slot& slot,
               time_point now)
{
    const found_task found = find_task(state, slot.m_task);
    std::string text = "lasting task stays: task=" + to_string(slot.m_task) +
                       " worker=" + worker.m_info.m_id.str();
    if (found.m_task != nullptr && found.m_task->m_worker == &worker) {
        const submission_step& step = found.m_record->m_definition.m_steps[slot.m_task.m_step];
        const wanted_task wanted = describe(state, *found.m_record, slot.m_task, *found.m_task);
        const bool fits = choose_worker(state, room, wanted, "", now) != nullptr;
        text += " others_away=" + std::to_string(others_away(*found.m_record, slot.m_task)) +
                " may_be_away=" + std::to_string(step.m_max_unavailable) +
                " at_work=" + (found.m_task->m_available ? "yes" : "no") +
                " room=" + (fits ? "yes" : "no");
    }
    state.m_log_lines.push_back(std::move(text));
}

} // namespace

void evacuate(shard& state, time_point now)
{
    std::optional<open_room> room;
    for (const auto& [id, owned] : state.m_workers) {
        worker_record& worker = *owned;
        if ((!worker.m_cordoned && !worker.m_info.m_draining && !worker.m_upkeep_due) ||
            !worker.m_answered || worker.m_lease_ended) {
            continue;
        }
        for (auto& [key, slot] : worker.m_runs) {
            if (slot.m_phase != run_phase::running || slot.m_detached) {
                continue;
            }
            if (slot.m_long_running) {
                if (!room) {
                    room = find_open_room(state, now);
                }
                if (may_move(state, *room, worker, slot, now)) {
                    stop_run(state, worker, slot, false);
                }
                else if (worker.m_cordoned && !slot.m_stay_logged &&
                         now - worker.m_cordoned_since > stay_worth_a_note) {
                    slot.m_stay_logged = true;
                    note_stay(state, *room, worker, slot, now);
                }
            }
            else if (worker.m_cordoned && state.m_evacuate &&
                     now - worker.m_cordoned_since > evacuation_patience) {
                stop_run(state, worker, slot, false);
            }
        }
    }
}

} // namespace guavabay
