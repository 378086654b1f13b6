#include "schedule/deferred_submissions.h"

#include <algorithm>

#include "schedule/shard_steps.h"
#include "submission/submission_cost.h"

namespace guavabay {

namespace {

bool has_room_for(const shard& state, const submission& what)
{
    return !state.m_budget ||
           has_room(*state.m_budget, memory_use_of(what), open_submission_bytes(what));
}

/// True if a worker has a run of a submission.
bool has_runs(const shard& state, const submission_id& id)
{
    const std::pair first(task_name{id, 0, 0, 0}, run_number(0));
    return std::any_of(state.m_workers.begin(), state.m_workers.end(), [&](const auto& entry) {
        const auto run = entry.second->m_runs.lower_bound(first);
        return run != entry.second->m_runs.end() && run->first.first.m_submission == id;
    });
}

/// True if a task of a submission has failed as often as its queue allows.
bool has_failed(const shard& state, const submission_record& record)
{
    const auto max_attempts =
        static_cast<std::size_t>(std::max(1, contract_of(state, record).m_max_attempts));
    for (const auto& [number, occurrence] : record.m_occurrences) {
        for (const step_tasks& step : occurrence.m_steps) {
            const bool any =
                std::any_of(step.m_started.begin(), step.m_started.end(), [&](const auto& entry) {
                    return entry.second.m_failed_runs.size() >= max_attempts;
                });
            if (any) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

bool defer_if_full(shard& state, const log_accepted& entry, std::uint64_t log_number)
{
    if (has_room_for(state, entry.m_submission)) {
        return false;
    }
    deferred_submission deferred;
    deferred.m_queue = entry.m_queue;
    deferred.m_log_number = log_number;
    state.m_deferred.emplace(entry.m_id, std::move(deferred));
    return true;
}

bool close_deferred(shard& state, const submission_id& id, submission_state final_state,
                    std::int64_t closed_ms)
{
    const auto found = state.m_deferred.find(id);
    if (found == state.m_deferred.end()) {
        return false;
    }
    auto record = std::make_unique<submission_record>();
    record->m_id = id;
    record->m_queue = std::move(found->second.m_queue);
    record->m_organisation = std::move(found->second.m_organisation);
    record->m_accept_stored = true;
    record->m_final_decided = true;
    record->m_final = final_state;
    record->m_visible = final_state;
    record->m_closed_ms = closed_ms;
    record->m_memory.hold(state.m_budget, memory_use::work, closed_submission_bytes);
    state.m_deferred.erase(found);
    state.m_submissions[id] = std::move(record);
    return true;
}

bool note_deferred_end(shard& state, const task_name& task, bool is_done, run_number run)
{
    const auto found = state.m_deferred.find(task.m_submission);
    if (found == state.m_deferred.end()) {
        return false;
    }
    found->second.m_started = true;
    state.m_pending.m_entries.emplace_back(
        log_task_ended{task, is_done, is_done ? run_number() : run});
    return true;
}

std::optional<std::uint64_t> find_deferred_record(const shard& state)
{
    const bool has_new_room =
        !state.m_budget || total_held(*state.m_budget) < state.m_held_at_reading;
    if (state.m_deferred.empty() || !state.m_awaited_workers.empty() || !has_new_room) {
        return std::nullopt;
    }
    std::optional<std::uint64_t> first;
    for (const auto& [id, deferred] : state.m_deferred) {
        if (!deferred.m_cancel_requested && (!first || deferred.m_log_number < *first)) {
            first = deferred.m_log_number;
        }
    }
    return first;
}

void replay_deferred(shard& state, const log_entry& entry,
                     std::unordered_set<submission_id>& loaded, time_point now, wall_time wall)
{
    if (const auto* accepted = std::get_if<log_accepted>(&entry)) {
        const auto found = state.m_deferred.find(accepted->m_id);
        // A run that goes on would have a second one beside it.
        if (found == state.m_deferred.end() || found->second.m_cancel_requested ||
            has_runs(state, accepted->m_id) || !has_room_for(state, accepted->m_submission)) {
            return;
        }
        const organisation_id organisation = found->second.m_organisation;
        state.m_deferred.erase(found);
        replay_entry(state, entry, now, wall);
        submission_record& record = *state.m_submissions.at(accepted->m_id);
        record.m_organisation = organisation;
        record.m_is_incomplete = true;
        loaded.insert(accepted->m_id);
        return;
    }
    const auto* ended = std::get_if<log_task_ended>(&entry);
    if (ended != nullptr && loaded.contains(ended->m_task.m_submission)) {
        replay_entry(state, entry, now, wall);
    }
}

void finish_deferred(shard& state, const std::unordered_set<submission_id>& loaded, wall_time wall)
{
    for (const submission_id& id : loaded) {
        const auto found = state.m_submissions.find(id);
        if (found == state.m_submissions.end() || found->second->m_final_decided) {
            continue;
        }
        submission_record& record = *found->second;
        record.m_is_incomplete = false;
        set_deadlines(state, record);
        log_contract(state, record.m_queue);
        if (is_done(record)) {
            close_submission(state, record, submission_state::succeeded, wall);
        }
        else if (has_failed(state, record)) {
            close_submission(state, record, submission_state::failed, wall);
        }
    }
    state.m_ranking_stale = true;
    note_log_reading(state);
}

void note_log_reading(shard& state)
{
    // What has become free since then is worth the next reading.
    state.m_held_at_reading = state.m_budget ? total_held(*state.m_budget) : 0;
}

} // namespace guavabay
