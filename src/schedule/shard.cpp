#include "schedule/shard.h"

#include <algorithm>

#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

/// A start that was not answered may be carried out this long after it was sent.
constexpr seconds late_order_time{15};

/// A worker that has left the list is still held this long while it answers.
constexpr seconds unlisted_patience{3};

/// A submission's objective when the configuration no longer has its queue.
const queue_contract no_contract{};

held_worker& add_worker(shard& state, const worker_listing& listing)
{
    auto worker = std::make_unique<held_worker>();
    worker->m_info = listing;
    worker->m_born_ms = listing.m_incarnation_start_ms;
    held_worker& added = *worker;
    state.m_workers[listing.m_id] = std::move(worker);
    state.m_pending.m_entries.emplace_back(log_worker_used{listing.m_id, listing.m_address});
    return added;
}

void replay(shard& state, const log_accepted& entry, time_point now, wall_time wall)
{
    auto record = std::make_unique<submission_record>();
    record->m_id = entry.m_id;
    record->m_queue = entry.m_queue;
    record->m_what = entry.m_submission;
    record->m_accepted_ms = entry.m_accepted_ms;
    record->m_arrived =
        now -
        milliseconds(std::clamp<std::int64_t>(unix_ms(wall) - entry.m_accepted_ms, 0, 600000));
    record->m_accept_stored = true;
    record->m_occurrences.resize(occurrence_count(record->m_what));
    if (record->m_what.m_repeat_count == 0) {
        create_occurrence(*record, 0);
    }
    state.m_open.insert(record.get());
    state.m_submissions[entry.m_id] = std::move(record);
}

void replay_end(shard& state, const log_task_ended& entry)
{
    const auto found = state.m_submissions.find(entry.m_task.m_submission);
    if (found == state.m_submissions.end() || found->second->m_final_decided) {
        return;
    }
    submission_record& record = *found->second;
    if (entry.m_task.m_occurrence >= record.m_occurrences.size()) {
        return;
    }
    occurrence_state& occurrence = record.m_occurrences[entry.m_task.m_occurrence];
    if (!occurrence.m_created) {
        create_occurrence(record, entry.m_task.m_occurrence);
    }
    const found_task task = find_task(state, entry.m_task);
    if (task.m_task == nullptr) {
        return;
    }
    record.m_started = true;
    if (!entry.m_done) {
        count_failure(*task.m_task, entry.m_run);
        return;
    }
    if (task.m_task->m_phase != task_phase::done) {
        task.m_task->m_phase = task_phase::done;
        --occurrence.m_open[entry.m_task.m_step];
        unblock_steps(record, occurrence);
    }
}

void replay_final(shard& state, const submission_id& id, submission_state final_state,
                  std::int64_t closed_ms)
{
    const auto found = state.m_submissions.find(id);
    if (found == state.m_submissions.end()) {
        return;
    }
    submission_record& record = *found->second;
    if (record.m_final_decided) {
        return;
    }
    record.m_final_decided = true;
    record.m_final = final_state;
    record.m_visible = final_state;
    record.m_closed_ms = closed_ms;
    record.m_occurrences.clear();
    state.m_open.erase(&record);
}

} // namespace

found_task find_task(shard& state, const task_name& name)
{
    const auto found = state.m_submissions.find(name.m_submission);
    if (found == state.m_submissions.end() || found->second->m_final_decided) {
        return {};
    }
    submission_record& record = *found->second;
    if (name.m_occurrence >= record.m_occurrences.size()) {
        return {};
    }
    occurrence_state& occurrence = record.m_occurrences[name.m_occurrence];
    if (name.m_step >= occurrence.m_steps.size() ||
        name.m_index >= occurrence.m_steps[name.m_step].size()) {
        return {};
    }
    return {&record, &occurrence.m_steps[name.m_step][name.m_index]};
}

const queue_contract& contract_of(const shard& state, const submission_record& record)
{
    const auto found = state.m_queues.find(record.m_queue);
    return found == state.m_queues.end() ? no_contract : found->second;
}

milliseconds expected_time(const shard& state, const submission_record& record,
                           const submission_step& step)
{
    const auto found = state.m_durations.find(record.m_queue);
    const double ratio = found == state.m_durations.end() ? 1 : found->second.m_ratio;
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(step.m_estimate.count()) * ratio));
}

std::uint32_t occurrence_count(const submission& what)
{
    return std::max<std::uint32_t>(1, what.m_repeat_count);
}

std::int64_t due_ms(const submission& what, std::uint32_t occurrence)
{
    return what.m_repeat_count == 0 ? 0 : what.m_first_start_ms + occurrence * what.m_interval_ms;
}

void create_occurrence(submission_record& record, std::uint32_t number)
{
    occurrence_state& occurrence = record.m_occurrences[number];
    occurrence.m_created = true;
    for (const submission_step& step : record.m_what.m_steps) {
        occurrence.m_steps.emplace_back(step.m_task_count);
        occurrence.m_open.push_back(step.m_task_count);
    }
    unblock_steps(record, occurrence);
}

void unblock_steps(submission_record& record, occurrence_state& occurrence)
{
    for (std::size_t i = 0; i < record.m_what.m_steps.size(); ++i) {
        const std::vector<std::uint32_t>& after = record.m_what.m_steps[i].m_after;
        const bool open = std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
            return occurrence.m_open[earlier] == 0;
        });
        if (!open) {
            continue;
        }
        for (scheduled_task& task : occurrence.m_steps[i]) {
            if (task.m_phase == task_phase::blocked) {
                task.m_phase = task_phase::ready;
            }
        }
    }
}

void replay_entry(shard& state, const log_entry& entry, time_point now, wall_time wall)
{
    if (const auto* accepted = std::get_if<log_accepted>(&entry)) {
        replay(state, *accepted, now, wall);
    }
    else if (const auto* ended = std::get_if<log_task_ended>(&entry)) {
        replay_end(state, *ended);
    }
    else if (const auto* cancelled = std::get_if<log_cancelled>(&entry)) {
        replay_final(state, cancelled->m_id, submission_state::canceled, unix_ms(wall));
    }
    else if (const auto* closed = std::get_if<log_closed>(&entry)) {
        replay_final(state, closed->m_id, closed->m_state, closed->m_closed_ms);
    }
    else if (const auto* forgotten = std::get_if<log_purged>(&entry)) {
        state.m_submissions.erase(forgotten->m_id);
    }
    else if (const auto* used = std::get_if<log_worker_used>(&entry)) {
        auto worker = std::make_unique<held_worker>();
        worker->m_info.m_id = used->m_worker;
        worker->m_info.m_address = used->m_address;
        worker->m_info.m_service = state.m_service;
        worker->m_unlisted_since = now;
        worker->m_use_stored = true;
        state.m_workers[used->m_worker] = std::move(worker);
        state.m_awaited.insert(used->m_worker);
    }
    else if (const auto* gone = std::get_if<log_worker_gone>(&entry)) {
        state.m_workers.erase(gone->m_worker);
        state.m_awaited.erase(gone->m_worker);
    }
    else if (const auto* released = std::get_if<log_ownership_released>(&entry)) {
        state.m_awaited.clear();
        state.m_awaited.insert(released->m_busy_workers.begin(), released->m_busy_workers.end());
    }
    else if (std::holds_alternative<log_ownership_taken>(entry)) {
        for (const auto& [id, worker] : state.m_workers) {
            state.m_awaited.insert(id);
        }
    }
}

void finish_replay(shard& state, time_point now)
{
    state.m_loaded = true;
    state.m_pending.m_entries.emplace_back(log_ownership_taken{state.m_token.get()});
    const double slowest_clock = 0.98;
    const auto lease = std::chrono::duration_cast<milliseconds>(
        std::chrono::duration<double, std::milli>(state.m_bounds.m_worker_lease) / slowest_clock);
    state.m_awaited_until = now + state.m_bounds.m_unproven_hold + lease;
    for (submission_record* record : state.m_open) {
        set_objective(state, *record);
        for (occurrence_state& occurrence : record->m_occurrences) {
            for (std::vector<scheduled_task>& step : occurrence.m_steps) {
                for (scheduled_task& task : step) {
                    task.m_inherited = true;
                    task.m_away_since = now;
                }
            }
        }
    }
}

void end_life(shard& state, held_worker& worker, time_point now, bool keep_unanswered)
{
    for (auto it = worker.m_runs.begin(); it != worker.m_runs.end();) {
        run_slot& slot = it->second;
        const found_task found = find_task(state, slot.m_task);
        if (found.m_task != nullptr && !slot.m_detached && found.m_task->m_worker == &worker &&
            found.m_task->m_run == slot.m_run) {
            make_ready(state, *found.m_task, now);
        }
        const bool may_come_late =
            slot.m_phase != run_phase::running && now - slot.m_ordered_at < late_order_time;
        if (keep_unanswered && may_come_late) {
            slot.m_detached = true;
            slot.m_phase = run_phase::stopping;
            ++it;
            continue;
        }
        worker.m_reserved = worker.m_reserved - slot.m_reserved;
        it = worker.m_runs.erase(it);
    }
    state.m_awaited.erase(worker.m_info.m_id);
    worker.m_lapsed = true;
}

void update_workers(shard& state, const std::vector<worker_listing>& listings, time_point now)
{
    std::set<worker_id> listed;
    for (const worker_listing& listing : listings) {
        if (listing.m_service != state.m_service) {
            continue;
        }
        listed.insert(listing.m_id);
        const auto found = state.m_workers.find(listing.m_id);
        held_worker& worker =
            found != state.m_workers.end() ? *found->second : add_worker(state, listing);
        if (listing.m_incarnation_start_ms != 0 && worker.m_born_ms != 0 &&
            listing.m_incarnation_start_ms != worker.m_born_ms &&
            listing.m_incarnation_start_ms > worker.m_born_ms) {
            end_life(state, worker, now, true);
            worker.m_answered = false;
            worker.m_seen_end = 0;
            worker.m_stored_end = 0;
            worker.m_clock_at = {};
            worker.m_failures_in_row = 0;
            worker.m_shunned_until = {};
            worker.m_slowness = 1;
            worker.m_draining_since = {};
            worker.m_cordoned = false;
            worker.m_born_ms = listing.m_incarnation_start_ms;
        }
        const bool drained_before = worker.m_info.m_draining;
        worker.m_info = listing;
        worker.m_listed = true;
        worker.m_gone = false;
        if (listing.m_draining && !drained_before) {
            worker.m_draining_since = now;
        }
    }
    for (auto it = state.m_workers.begin(); it != state.m_workers.end();) {
        held_worker& worker = *it->second;
        if (!listed.contains(it->first) && worker.m_listed) {
            worker.m_listed = false;
            worker.m_unlisted_since = now;
        }
        const bool over = !worker.m_listed && now - worker.m_unlisted_since > unlisted_patience &&
                          (worker.m_lapsed && worker.m_runs.empty()) &&
                          !state.m_awaited.contains(it->first);
        if (over) {
            state.m_pending.m_entries.emplace_back(log_worker_gone{it->first});
            it = state.m_workers.erase(it);
        }
        else {
            ++it;
        }
    }
}

std::optional<submission_state> state_of(const shard& state, const submission_id& id)
{
    const auto found = state.m_submissions.find(id);
    if (found == state.m_submissions.end() || !found->second->m_accept_stored) {
        return std::nullopt;
    }
    const submission_record& record = *found->second;
    if (record.m_visible == submission_state::pending && record.m_started) {
        return submission_state::running;
    }
    return record.m_visible;
}

std::size_t pending_count(const shard& state, const queue_id& queue)
{
    return static_cast<std::size_t>(std::count_if(
        state.m_open.begin(), state.m_open.end(), [&](const submission_record* record) {
            return record->m_queue == queue && record->m_accept_stored && !record->m_started &&
                   !record->m_cancel_requested && record->m_what.m_repeat_count == 0;
        }));
}

std::optional<log_batch> take_batch(shard& state)
{
    if (state.m_pending.m_entries.empty() && state.m_pending.m_ends.empty()) {
        return std::nullopt;
    }
    log_batch batch = std::move(state.m_pending);
    batch.m_number = state.m_next_batch++;
    state.m_pending = {};
    return batch;
}

void batch_stored(shard& state, const log_batch& batch, wall_time wall)
{
    for (const log_entry& entry : batch.m_entries) {
        if (const auto* accepted = std::get_if<log_accepted>(&entry)) {
            const auto found = state.m_submissions.find(accepted->m_id);
            if (found != state.m_submissions.end()) {
                found->second->m_accept_stored = true;
                state.m_order_changed = true;
            }
        }
        else if (const auto* closed = std::get_if<log_closed>(&entry)) {
            const auto found = state.m_submissions.find(closed->m_id);
            if (found != state.m_submissions.end()) {
                found->second->m_visible = closed->m_state;
            }
        }
        else if (std::holds_alternative<log_ownership_taken>(entry)) {
            state.m_taken_stored = true;
        }
        else if (const auto* used = std::get_if<log_worker_used>(&entry)) {
            const auto found = state.m_workers.find(used->m_worker);
            if (found != state.m_workers.end()) {
                found->second->m_use_stored = true;
            }
        }
        else if (const auto* cancelled = std::get_if<log_cancelled>(&entry)) {
            const auto found = state.m_submissions.find(cancelled->m_id);
            if (found != state.m_submissions.end() && !found->second->m_final_decided) {
                close_submission(state, *found->second, submission_state::canceled, wall);
                found->second->m_visible = submission_state::canceled;
            }
        }
    }
    for (const auto& [worker, number] : batch.m_ends) {
        const auto found = state.m_workers.find(worker);
        if (found != state.m_workers.end()) {
            found->second->m_stored_end = std::max(found->second->m_stored_end, number);
        }
    }
}

log_ownership_released release_note(const shard& state)
{
    log_ownership_released note;
    for (const auto& [id, worker] : state.m_workers) {
        if (!worker->m_runs.empty() || state.m_awaited.contains(id)) {
            note.m_busy_workers.push_back(id);
        }
    }
    return note;
}

} // namespace guavabay
