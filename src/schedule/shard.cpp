#include "schedule/shard.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "schedule/advice.h"
#include "schedule/shard_steps.h"
#include "submission/submission_cost.h"

namespace guavabay {

namespace {

/// Time after sending in which an unanswered start order may still be executed.
constexpr seconds late_order_window{15};

/// Minimum time for which a worker that left the platform's list is kept and gets holds.
constexpr seconds unlisted_grace{3};

static_assert(sizeof(step_tasks) <= step_state_bytes, "the cost of a step covers its state");
static_assert(sizeof(submission_record) <= closed_submission_bytes * 3 / 4,
              "the cost of a submission covers its record and its index");

/// A record of the log takes no more entries from this size on, in bytes. With the largest
/// submission it is still below the largest value of the store.
constexpr std::size_t max_batch_bytes = 196608;

/// Contract of submissions whose queue is neither in the configuration nor in the log.
const queue_contract default_contract{};

/// A run's progress is reported in whole percents, so that a long run shows none for a while. It is
/// not stalled before this share of its expected time has passed.
constexpr double stalled_share_of_estimate = 0.03;

/// Below this number of samples an organisation's run times are taken to be those of its queue.
constexpr std::uint32_t min_organisation_samples = 20;

/// Limit of the organisations of a queue whose run times are learned, which bounds the memory.
constexpr std::size_t max_learned_organisations = 64;

worker_record& add_worker(shard& state, const worker_listing& listing)
{
    auto worker = std::make_unique<worker_record>();
    worker->m_info = listing;
    worker->m_incarnation_start_ms = listing.m_incarnation_start_ms;
    worker_record& added = *worker;
    state.m_workers[listing.m_id] = std::move(worker);
    state.m_pending.m_entries.emplace_back(log_worker_used{listing.m_id, listing.m_address});
    // No owner has called a former incarnation.
    added.m_guard.m_settled_start_ms = listing.m_incarnation_start_ms;
    state.m_pending.m_entries.emplace_back(
        log_worker_incarnation{listing.m_id, listing.m_incarnation_start_ms, true});
    return added;
}

void replay(shard& state, const log_accepted& entry, time_point now, wall_time wall,
            std::uint64_t log_number)
{
    state.m_cancelled_early.erase(entry.m_id);
    if (defer_if_full(state, entry, log_number)) {
        return;
    }
    auto record = std::make_unique<submission_record>();
    record->m_id = entry.m_id;
    record->m_queue = entry.m_queue;
    record->m_definition = entry.m_submission;
    record->m_accepted_ms = entry.m_accepted_ms;
    record->m_arrived =
        now -
        milliseconds(std::clamp<std::int64_t>(unix_ms(wall) - entry.m_accepted_ms, 0, 600000));
    record->m_accept_stored = true;
    record->m_inherited = true;
    begin_occurrences(*record);
    record->m_memory.hold(state.m_budget, memory_use_of(record->m_definition),
                          open_submission_bytes(record->m_definition));
    state.m_open_submissions.insert(record.get());
    state.m_submissions[entry.m_id] = std::move(record);
}

void replay_task_end(shard& state, const log_task_ended& entry)
{
    const auto deferred = state.m_deferred.find(entry.m_task.m_submission);
    if (deferred != state.m_deferred.end()) {
        deferred->second.m_started = true;
        return;
    }
    const found_task task = find_or_create_task(state, entry.m_task);
    // The ends of long-running tasks are only in the log of submissions that were deferred.
    if (task.m_task == nullptr ||
        task.m_record->m_definition.m_steps[entry.m_task.m_step].m_long_running) {
        return;
    }
    task.m_record->m_started = true;
    if (!entry.m_done) {
        count_failure(*task.m_task, entry.m_run);
        return;
    }
    mark_done(*task.m_record, entry.m_task, [](const scheduled_task&, std::uint32_t) {});
}

void replay_final(shard& state, const submission_id& id, submission_state final_state,
                  std::int64_t closed_ms)
{
    if (close_deferred(state, id, final_state, closed_ms)) {
        return;
    }
    const auto found = state.m_submissions.find(id);
    if (found == state.m_submissions.end()) {
        if (final_state == submission_state::canceled) {
            early_cancellation& early = remember_cancellation(state, id);
            // The entry before names the organisation, unless the route was public.
            const bool is_named = !early.m_organisations.empty() && early.m_stored_ms == 0;
            if (!is_named) {
                early.m_organisations.insert(organisation_id());
            }
            early.m_stored_ms = closed_ms;
        }
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
    record.m_done_occurrences = {};
    record.m_definition = {};
    record.m_memory.hold(state.m_budget, memory_use::work, closed_submission_bytes);
    state.m_open_submissions.erase(&record);
}

/// True when all tasks of the steps before a step are done.
bool predecessors_done(const submission_step& step, const occurrence_state& occurrence)
{
    return std::all_of(step.m_after.begin(), step.m_after.end(), [&](std::uint32_t earlier) {
        return occurrence.m_steps[earlier].m_unfinished == 0;
    });
}

/// Makes the tasks ready whose earlier steps are done.
void unblock_steps(const submission_record& record, occurrence_state& occurrence)
{
    for (std::size_t i = 0; i < occurrence.m_steps.size(); ++i) {
        step_tasks& step = occurrence.m_steps[i];
        if (!step.m_unblocked && predecessors_done(record.m_definition.m_steps[i], occurrence)) {
            unblock(step);
        }
    }
}

bool has_ready_task(const occurrence_state& occurrence)
{
    return std::any_of(occurrence.m_steps.begin(), occurrence.m_steps.end(),
                       [](const step_tasks& step) { return step.m_ready > 0; });
}

/// Number of occurrences whose time has come at a moment of Unix time, in milliseconds.
std::uint32_t count_due(const submission& definition, std::int64_t at_ms)
{
    const std::uint32_t count = occurrence_count(definition);
    if (due_ms(definition, 0) > at_ms) {
        return 0;
    }
    if (definition.m_repeat_count == 0 || definition.m_interval_ms <= 0) {
        return count;
    }
    const std::int64_t due = (at_ms - definition.m_first_start_ms) / definition.m_interval_ms + 1;
    return static_cast<std::uint32_t>(std::min<std::int64_t>(count, due));
}

/// The submission that an entry accepts, cancels or names the organisation of; null for others.
const submission_id* subject_of(const log_entry& entry)
{
    if (const auto* accepted = std::get_if<log_accepted>(&entry)) {
        return &accepted->m_id;
    }
    if (const auto* owner = std::get_if<log_submission_organisation>(&entry)) {
        return &owner->m_id;
    }
    const auto* cancelled = std::get_if<log_cancelled>(&entry);
    return cancelled == nullptr ? nullptr : &cancelled->m_id;
}

/// True if two entries in a row have to be in one record: an accepted submission, its organisation,
/// and its cancellation if that came first.
bool belong_together(const log_entry& former, const log_entry& entry)
{
    const submission_id* subject = subject_of(former);
    const submission_id* other = subject_of(entry);
    return subject != nullptr && other != nullptr && *subject == *other;
}

} // namespace

early_cancellation& remember_cancellation(shard& state, const submission_id& id)
{
    const auto [entry, is_new] = state.m_cancelled_early.try_emplace(id);
    if (is_new) {
        entry->second.m_memory.hold(state.m_budget, memory_use::cancellations, cancellation_bytes);
    }
    return entry->second;
}

found_task find_task(shard& state, const task_name& name)
{
    const auto found = state.m_submissions.find(name.m_submission);
    if (found == state.m_submissions.end() || found->second->m_final_decided) {
        return {};
    }
    submission_record& record = *found->second;
    const std::vector<submission_step>& steps = record.m_definition.m_steps;
    if (name.m_occurrence >= occurrence_count(record.m_definition) || name.m_step >= steps.size() ||
        name.m_index >= steps[name.m_step].m_task_count) {
        return {};
    }
    const auto occurrence = record.m_occurrences.find(name.m_occurrence);
    if (occurrence == record.m_occurrences.end()) {
        return is_done(record, name.m_occurrence) ? found_task{&record, nullptr, nullptr}
                                                  : found_task{};
    }
    step_tasks& step = occurrence->second.m_steps[name.m_step];
    scheduled_task* task = is_done(step, name.m_index) ? nullptr : &edit_task(step, name.m_index);
    return {&record, &step, task};
}

found_task find_or_create_task(shard& state, const task_name& name)
{
    const auto found = state.m_submissions.find(name.m_submission);
    if (found != state.m_submissions.end()) {
        submission_record& record = *found->second;
        if (record.m_inherited && !record.m_final_decided &&
            name.m_occurrence < occurrence_count(record.m_definition) &&
            !is_done(record, name.m_occurrence)) {
            create_occurrence(record, name.m_occurrence);
        }
    }
    return find_task(state, name);
}

const queue_contract& contract_of(const shard& state, const submission_record& record)
{
    const auto configured = state.m_queues.find(record.m_queue);
    if (configured != state.m_queues.end()) {
        return configured->second;
    }
    const auto logged = state.m_logged_contracts.find(record.m_queue);
    return logged == state.m_logged_contracts.end() ? default_contract : logged->second;
}

void log_contract(shard& state, const queue_id& queue)
{
    const auto configured = state.m_queues.find(queue);
    if (configured == state.m_queues.end()) {
        return;
    }
    const auto logged = state.m_logged_contracts.find(queue);
    if (logged != state.m_logged_contracts.end() && logged->second == configured->second) {
        return;
    }
    state.m_logged_contracts[queue] = configured->second;
    state.m_pending.m_entries.emplace_back(log_queue_contract{configured->second});
}

const run_time_model& run_times_of(const shard& state, const submission_record& record)
{
    static const run_time_model unknown;
    const auto queue = state.m_run_times.find(record.m_queue);
    if (queue == state.m_run_times.end()) {
        return unknown;
    }
    const auto own = queue->second.m_by_organisation.find(record.m_organisation);
    const bool suffices = own != queue->second.m_by_organisation.end() &&
                          own->second.m_samples >= min_organisation_samples;
    return suffices ? own->second : queue->second.m_all;
}

milliseconds expected_time(const shard& state, const submission_record& record,
                           const submission_step& step)
{
    const double factor = estimate_factor(run_times_of(state, record), record.m_run_times);
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(step.m_estimate.count()) * factor));
}

milliseconds usual_pause(milliseconds estimate)
{
    return milliseconds(static_cast<std::int64_t>(stalled_share_of_estimate *
                                                  static_cast<double>(estimate.count())));
}

void learn_run_time(shard& state, const submission_record& record,
                    const submission_run_times& others, double ratio)
{
    std::uint32_t tasks = 0;
    for (const submission_step& step : record.m_definition.m_steps) {
        tasks += step.m_long_running ? 0 : step.m_task_count;
    }
    queue_run_times& queue = state.m_run_times[record.m_queue];
    add_run(queue.m_all, others, ratio, tasks);
    if (record.m_organisation.empty()) {
        return;
    }
    const auto found = queue.m_by_organisation.find(record.m_organisation);
    if (found != queue.m_by_organisation.end()) {
        add_run(found->second, others, ratio, tasks);
    }
    else if (queue.m_by_organisation.size() < max_learned_organisations) {
        add_run(queue.m_by_organisation[record.m_organisation], others, ratio, tasks);
    }
}

time_point expected_end(const shard& state, const submission_record& record, milliseconds estimate,
                        time_point started, time_point now)
{
    if (now - started < estimate || estimate <= milliseconds(0)) {
        return started + estimate;
    }
    const double typical_ms = static_cast<double>(estimate.count());
    const double total = expected_over_typical(run_times_of(state, record), record.m_run_times,
                                               to_milliseconds(now - started) / typical_ms);
    return started + std::chrono::duration_cast<duration>(
                         std::chrono::duration<double, std::milli>(total * typical_ms));
}

std::uint32_t occurrence_count(const submission& what)
{
    return std::max<std::uint32_t>(1, what.m_repeat_count);
}

std::int64_t due_ms(const submission& what, std::uint32_t occurrence)
{
    return what.m_repeat_count == 0 ? 0 : what.m_first_start_ms + occurrence * what.m_interval_ms;
}

bool is_done(const submission_record& record, std::uint32_t occurrence)
{
    return !record.m_done_occurrences.empty() && record.m_done_occurrences[occurrence];
}

void begin_occurrences(submission_record& record)
{
    record.m_unfinished_occurrences = occurrence_count(record.m_definition);
    if (record.m_definition.m_repeat_count == 0) {
        create_occurrence(record, 0);
    }
}

occurrence_state& create_occurrence(submission_record& record, std::uint32_t number)
{
    const auto [entry, is_new] = record.m_occurrences.try_emplace(number);
    occurrence_state& occurrence = entry->second;
    if (is_new) {
        const std::vector<submission_step>& steps = record.m_definition.m_steps;
        occurrence.m_steps.reserve(steps.size());
        for (const submission_step& step : steps) {
            occurrence.m_steps.push_back(make_step_tasks(step.m_task_count));
        }
        occurrence.m_unfinished_steps = static_cast<std::uint32_t>(steps.size());
        unblock_steps(record, occurrence);
    }
    return occurrence;
}

void create_due_occurrences(submission_record& record, wall_time wall)
{
    // What was due stays due when the time of day jumps back.
    record.m_due_occurrences =
        std::max(record.m_due_occurrences, count_due(record.m_definition, unix_ms(wall)));
    std::size_t waiting = 0;
    for (auto& [number, occurrence] : record.m_occurrences) {
        occurrence.m_due = occurrence.m_due || number < record.m_due_occurrences;
        waiting += has_ready_task(occurrence) ? 1 : 0;
    }
    const std::size_t max_waiting = max_waiting_occurrences(record.m_definition);
    while (record.m_next_occurrence < record.m_due_occurrences && waiting < max_waiting) {
        const std::uint32_t number = record.m_next_occurrence++;
        if (is_done(record, number)) {
            continue;
        }
        const bool is_new = !record.m_occurrences.contains(number);
        create_occurrence(record, number).m_due = true;
        waiting += is_new ? 1 : 0;
    }
}

void mark_done(
    submission_record& record, const task_name& name,
    const std::function<void(const scheduled_task& task, std::uint32_t index)>& before_each)
{
    occurrence_state& occurrence = record.m_occurrences.at(name.m_occurrence);
    step_tasks& step = occurrence.m_steps[name.m_step];
    const bool whole_step = record.m_definition.m_steps[name.m_step].m_gang;
    const std::uint32_t first = whole_step ? 0 : name.m_index;
    const std::uint32_t last = whole_step ? step.m_count : name.m_index + 1;
    for (std::uint32_t index = first; index < last; ++index) {
        if (!is_done(step, index)) {
            before_each(view_task(step, index), index);
            finish(step, index);
        }
    }
    if (step.m_unfinished > 0) {
        return;
    }
    if (--occurrence.m_unfinished_steps > 0) {
        unblock_steps(record, occurrence);
        return;
    }
    record.m_occurrences.erase(name.m_occurrence);
    --record.m_unfinished_occurrences;
    if (record.m_done_occurrences.empty()) {
        record.m_done_occurrences.resize(occurrence_count(record.m_definition));
    }
    record.m_done_occurrences[name.m_occurrence] = true;
}

void replay_entry(shard& state, const log_entry& entry, time_point now, wall_time wall,
                  std::uint64_t log_number)
{
    if (const auto* accepted = std::get_if<log_accepted>(&entry)) {
        replay(state, *accepted, now, wall, log_number);
    }
    else if (const auto* ended = std::get_if<log_task_ended>(&entry)) {
        replay_task_end(state, *ended);
    }
    else if (const auto* cancelled = std::get_if<log_cancelled>(&entry)) {
        replay_final(state, cancelled->m_id, submission_state::canceled, unix_ms(wall));
    }
    else if (const auto* closed = std::get_if<log_closed>(&entry)) {
        replay_final(state, closed->m_id, closed->m_state, closed->m_closed_ms);
    }
    else if (const auto* forgotten = std::get_if<log_purged>(&entry)) {
        state.m_submissions.erase(forgotten->m_id);
        state.m_deferred.erase(forgotten->m_id);
        state.m_cancelled_early.erase(forgotten->m_id);
    }
    else if (const auto* used = std::get_if<log_worker_used>(&entry)) {
        auto worker = std::make_unique<worker_record>();
        worker->m_info.m_id = used->m_worker;
        worker->m_info.m_address = used->m_address;
        worker->m_info.m_service = state.m_service;
        worker->m_unlisted_since = now;
        worker->m_use_stored = true;
        state.m_workers[used->m_worker] = std::move(worker);
        state.m_awaited_workers.insert(used->m_worker);
    }
    else if (const auto* gone = std::get_if<log_worker_gone>(&entry)) {
        state.m_workers.erase(gone->m_worker);
        state.m_awaited_workers.erase(gone->m_worker);
    }
    else if (const auto* released = std::get_if<log_ownership_released>(&entry)) {
        state.m_awaited_workers.clear();
        state.m_awaited_workers.insert(released->m_busy_workers.begin(),
                                       released->m_busy_workers.end());
    }
    else if (std::holds_alternative<log_ownership_taken>(entry)) {
        for (const auto& [id, worker] : state.m_workers) {
            state.m_awaited_workers.insert(id);
        }
    }
    else if (const auto* incarnation = std::get_if<log_worker_incarnation>(&entry)) {
        const auto found = state.m_workers.find(incarnation->m_worker);
        if (found != state.m_workers.end()) {
            found->second->m_guard.m_settled_start_ms =
                incarnation->m_settled ? incarnation->m_start_ms : 0;
            found->second->m_restart_known = !incarnation->m_settled;
        }
    }
    else if (const auto* contract = std::get_if<log_queue_contract>(&entry)) {
        state.m_logged_contracts[contract->m_contract.m_queue] = contract->m_contract;
    }
    else if (const auto* owner = std::get_if<log_submission_organisation>(&entry)) {
        const auto found = state.m_submissions.find(owner->m_id);
        const auto deferred = state.m_deferred.find(owner->m_id);
        if (found != state.m_submissions.end()) {
            found->second->m_organisation = owner->m_organisation;
        }
        else if (deferred != state.m_deferred.end()) {
            deferred->second.m_organisation = owner->m_organisation;
        }
        else {
            // It belongs to the cancellation of an unknown id, whose entry follows.
            early_cancellation& early = remember_cancellation(state, owner->m_id);
            early.m_organisations.insert(owner->m_organisation);
            early.m_stored_ms = 0;
        }
    }
}

/// Waits for workers of former owners for the longest lease that a worker grants: one of them has
/// restarted, so that a call for its former incarnation may have given it that lease.
void await_longest_lease(shard& state, time_point now)
{
    state.m_awaited_until =
        std::max(state.m_awaited_until, now + longest_real_time(state.m_bounds.m_max_worker_lease));
}

void finish_replay(shard& state, time_point now, wall_time wall)
{
    state.m_loaded = true;
    state.m_evacuates_from = now + state.m_bounds.m_stop_time;
    note_log_reading(state);
    state.m_pending.m_entries.emplace_back(log_ownership_taken{state.m_token.get()});
    state.m_awaited_until = now + state.m_bounds.m_unproven_renewal_time +
                            longest_real_time(state.m_bounds.m_worker_lease);
    for (const worker_id& id : state.m_awaited_workers) {
        const auto found = state.m_workers.find(id);
        if (found != state.m_workers.end() && found->second->m_restart_known) {
            await_longest_lease(state, now);
        }
    }
    std::vector<submission_record*> finished;
    for (submission_record* record : state.m_open_submissions) {
        set_deadlines(state, *record);
        log_contract(state, record->m_queue);
        if (is_done(*record)) {
            finished.push_back(record);
        }
    }
    for (submission_record* record : finished) {
        close_submission(state, *record, submission_state::succeeded, wall);
    }
}

void end_incarnation(shard& state, worker_record& worker, time_point now, bool keep_unanswered)
{
    for (auto it = worker.m_runs.begin(); it != worker.m_runs.end();) {
        run_slot& slot = it->second;
        const found_task found = find_task(state, slot.m_task);
        if (found.m_task != nullptr && !slot.m_detached && found.m_task->m_worker == &worker &&
            found.m_task->m_run == slot.m_run) {
            make_ready(state, found, now);
        }
        const bool may_come_late =
            slot.m_phase != run_phase::running && now - slot.m_ordered_at < late_order_window;
        if (keep_unanswered && may_come_late) {
            slot.m_detached = true;
            slot.m_phase = run_phase::stopping;
            worker.m_stop_due = true;
            ++it;
            continue;
        }
        it = erase_run(state, worker, it);
    }
    state.m_awaited_workers.erase(worker.m_info.m_id);
    worker.m_lease_ended = true;
}

void begin_incarnation(shard& state, worker_record& worker, std::int64_t start_ms, time_point now)
{
    std::size_t kept = 0;
    for (auto it = worker.m_runs.begin(); it != worker.m_runs.end();) {
        run_slot& slot = it->second;
        if (!slot.m_reported) {
            // An answer to a stop order may have come from the former incarnation.
            slot.m_stop_answered = false;
            slot.m_next_stop_at = {};
            ++kept;
            ++it;
            continue;
        }
        const found_task found = find_task(state, slot.m_task);
        if (found.m_task != nullptr && !slot.m_detached && found.m_task->m_worker == &worker &&
            found.m_task->m_run == slot.m_run) {
            make_ready(state, found, now);
        }
        it = erase_run(state, worker, it);
    }
    state.m_log_lines.push_back(
        "worker started a new incarnation: worker=" + worker.m_info.m_id.str() +
        " start_ms=" + std::to_string(start_ms) + " former_start_ms=" +
        std::to_string(worker.m_incarnation_start_ms) + " kept_runs=" + std::to_string(kept));
    worker.m_stop_due = true;
    worker.m_answered = false;
    worker.m_seen_end = 0;
    worker.m_stored_end = 0;
    worker.m_clock_at = {};
    worker.m_consecutive_failures = 0;
    worker.m_quarantined_until = {};
    worker.m_slowness = 1;
    worker.m_last_slowness = 1;
    worker.m_draining_since = {};
    forget_advice_about(state, worker.m_info.m_id);
    worker.m_incarnation_start_ms = start_ms;
    worker.m_incarnation_known_at = now;
    worker.m_lease_ended = kept == 0;
    // Calls under way carry deadlines by the clock of the incarnation that they were meant for.
    worker.m_lease_until =
        std::max(worker.m_lease_until, now + longest_real_time(state.m_bounds.m_max_worker_lease));
    begin_guard(worker.m_guard);
    ++state.m_restarts;
    state.m_pending.m_entries.emplace_back(
        log_worker_incarnation{worker.m_info.m_id, start_ms, false});
}

void update_worker(shard& state, const worker_listing& listing, time_point now)
{
    if (listing.m_service != state.m_service) {
        unlist_worker(state, listing.m_id, now);
        return;
    }
    const auto found = state.m_workers.find(listing.m_id);
    worker_record& worker =
        found != state.m_workers.end() ? *found->second : add_worker(state, listing);
    if (listing.m_incarnation_start_ms != 0 && worker.m_incarnation_start_ms != 0 &&
        listing.m_incarnation_start_ms > worker.m_incarnation_start_ms) {
        begin_incarnation(state, worker, listing.m_incarnation_start_ms, now);
    }
    const incarnation_guard& guard = worker.m_guard;
    if (!worker.m_restart_known && listing.m_incarnation_start_ms != 0 &&
        guard.m_settled_start_ms != 0 &&
        listing.m_incarnation_start_ms != guard.m_settled_start_ms &&
        state.m_awaited_workers.contains(listing.m_id)) {
        worker.m_restart_known = true;
        await_longest_lease(state, now);
    }
    const bool is_new_entry =
        worker.m_info.m_incarnation_start_ms != listing.m_incarnation_start_ms;
    const bool drained_before =
        found != state.m_workers.end() && worker.m_info.m_draining && !is_new_entry;
    const std::int64_t remaining_before = worker.m_info.m_remaining_ms;
    if (worker.m_info.m_machine != listing.m_machine) {
        worker.m_cordoned = false;
        worker.m_upkeep_due = false;
    }
    if (is_new_entry && worker.m_answered) {
        state.m_log_lines.push_back(
            "entry of a restarted worker read: worker=" + listing.m_id.str() +
            " start_ms=" + std::to_string(listing.m_incarnation_start_ms) + " after_ms=" +
            std::to_string(
                std::chrono::duration_cast<milliseconds>(now - worker.m_incarnation_known_at)
                    .count()));
    }
    worker.m_info = listing;
    worker.m_listed = true;
    worker.m_gone = false;
    if (listing.m_draining && !drained_before) {
        worker.m_draining_since = now;
    }
    // The same entry may be read again; its remaining time counts from the first time.
    if (listing.m_draining && (!drained_before || listing.m_remaining_ms != remaining_before)) {
        worker.m_leaves_at = std::max(worker.m_draining_since + state.m_bounds.m_drain_time,
                                      now + milliseconds(listing.m_remaining_ms));
    }
}

void unlist_worker(shard& state, const worker_id& id, time_point now)
{
    const auto found = state.m_workers.find(id);
    if (found != state.m_workers.end() && found->second->m_listed) {
        found->second->m_listed = false;
        found->second->m_unlisted_since = now;
    }
}

void update_workers(shard& state, const std::vector<worker_listing>& listings, time_point now)
{
    std::set<worker_id> listed;
    for (const worker_listing& listing : listings) {
        listed.insert(listing.m_id);
        update_worker(state, listing, now);
    }
    for (const auto& [id, worker] : state.m_workers) {
        if (!listed.contains(id)) {
            unlist_worker(state, id, now);
        }
    }
    remove_departed_workers(state, now);
}

std::size_t count_workers_without_entry(const shard& state)
{
    return static_cast<std::size_t>(
        std::count_if(state.m_workers.begin(), state.m_workers.end(), [](const auto& entry) {
            return entry.second->m_answered && !is_entry_current(*entry.second);
        }));
}

void remove_departed_workers(shard& state, time_point now)
{
    for (auto it = state.m_workers.begin(); it != state.m_workers.end();) {
        const worker_record& worker = *it->second;
        const bool over = !worker.m_listed && now - worker.m_unlisted_since > unlisted_grace &&
                          (worker.m_lease_ended && worker.m_runs.empty()) &&
                          !state.m_awaited_workers.contains(it->first);
        if (over) {
            state.m_pending.m_entries.emplace_back(log_worker_gone{it->first});
            it = state.m_workers.erase(it);
        }
        else {
            ++it;
        }
    }
}

bool is_known(const shard& state, const submission_id& id)
{
    return state.m_submissions.contains(id) || state.m_deferred.contains(id);
}

std::optional<submission_state> state_of(const shard& state, const submission_id& id)
{
    const auto deferred = state.m_deferred.find(id);
    if (deferred != state.m_deferred.end()) {
        return deferred->second.m_started ? submission_state::running : submission_state::pending;
    }
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
    const auto open =
        std::count_if(state.m_open_submissions.begin(), state.m_open_submissions.end(),
                      [&](const submission_record* record) {
                          return record->m_queue == queue && record->m_accept_stored &&
                                 !record->m_started && !record->m_cancel_requested &&
                                 record->m_definition.m_repeat_count == 0;
                      });
    const auto deferred =
        std::count_if(state.m_deferred.begin(), state.m_deferred.end(), [&](const auto& entry) {
            return entry.second.m_queue == queue && !entry.second.m_started &&
                   !entry.second.m_cancel_requested;
        });
    return static_cast<std::size_t>(open + deferred);
}

std::optional<log_batch> take_batch(shard& state)
{
    std::vector<log_entry>& entries = state.m_pending.m_entries;
    if (entries.empty() && state.m_pending.m_ends.empty()) {
        return std::nullopt;
    }
    std::size_t bytes = 0;
    auto end = entries.begin();
    while (end != entries.end() &&
           (bytes <= max_batch_bytes || belong_together(*std::prev(end), *end))) {
        bytes += encoded_bytes(*end);
        ++end;
    }
    log_batch batch;
    batch.m_number = state.m_next_batch++;
    batch.m_entries.assign(std::make_move_iterator(entries.begin()), std::make_move_iterator(end));
    entries.erase(entries.begin(), end);
    // Ends of runs are durable with the last of the entries that tell them.
    if (entries.empty()) {
        batch.m_ends = std::exchange(state.m_pending.m_ends, {});
        entries = {};
    }
    return batch;
}

void mark_batch_stored(shard& state, const log_batch& batch, wall_time wall)
{
    for (const log_entry& entry : batch.m_entries) {
        if (const auto* accepted = std::get_if<log_accepted>(&entry)) {
            const auto found = state.m_submissions.find(accepted->m_id);
            if (found != state.m_submissions.end()) {
                submission_record& record = *found->second;
                record.m_accept_stored = true;
                if (!record.m_final_decided) {
                    record.m_memory.hold(state.m_budget, memory_use_of(record.m_definition),
                                         open_submission_bytes(record.m_definition));
                }
                state.m_ranking_stale = true;
            }
        }
        else if (const auto* closed = std::get_if<log_closed>(&entry)) {
            const auto found = state.m_submissions.find(closed->m_id);
            if (found != state.m_submissions.end()) {
                found->second->m_visible = closed->m_state;
            }
        }
        else if (std::holds_alternative<log_ownership_taken>(entry)) {
            state.m_takeover_stored = true;
        }
        else if (const auto* used = std::get_if<log_worker_used>(&entry)) {
            const auto found = state.m_workers.find(used->m_worker);
            if (found != state.m_workers.end()) {
                found->second->m_use_stored = true;
            }
        }
        else if (const auto* incarnation = std::get_if<log_worker_incarnation>(&entry)) {
            const auto found = state.m_workers.find(incarnation->m_worker);
            if (found != state.m_workers.end() && !incarnation->m_settled &&
                found->second->m_incarnation_start_ms == incarnation->m_start_ms) {
                set_guard_token(found->second->m_guard, fencing_token(batch.m_revision));
            }
        }
        else if (const auto* cancelled = std::get_if<log_cancelled>(&entry)) {
            close_deferred(state, cancelled->m_id, submission_state::canceled, unix_ms(wall));
            const auto found = state.m_submissions.find(cancelled->m_id);
            // Without the request it was an early cancellation of another organisation.
            if (found != state.m_submissions.end() && found->second->m_cancel_requested &&
                !found->second->m_final_decided) {
                close_submission(state, *found->second, submission_state::canceled, wall);
                found->second->m_visible = submission_state::canceled;
            }
            const auto early = state.m_cancelled_early.find(cancelled->m_id);
            if (early != state.m_cancelled_early.end()) {
                early->second.m_stored_ms = unix_ms(wall);
            }
        }
    }
    for (const end_position& end : batch.m_ends) {
        const auto found = state.m_workers.find(end.m_worker);
        if (found != state.m_workers.end() &&
            found->second->m_incarnation_start_ms == end.m_incarnation_start_ms) {
            found->second->m_stored_end = std::max(found->second->m_stored_end, end.m_number);
        }
    }
}

log_ownership_released make_release_entry(const shard& state)
{
    log_ownership_released note;
    for (const auto& [id, worker] : state.m_workers) {
        if (!worker->m_runs.empty() || state.m_awaited_workers.contains(id)) {
            note.m_busy_workers.push_back(id);
        }
    }
    return note;
}

} // namespace guavabay
