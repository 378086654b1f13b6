#include <algorithm>
#include <cmath>

#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

/// Hard deadline as a multiple of the time from arrival to the objective.
constexpr int hard_deadline_factor = 3;

/// Limit on the refused submissions that are remembered. Retries of a forgotten one count as new
/// arrivals.
constexpr std::size_t max_remembered_refusals = 4096;

/// A refused submission that is not handed in again this long after it was told to is forgotten.
constexpr seconds refusal_expiry{10};

/// Longest time after which a refused caller is told to return.
constexpr seconds max_retry_after{12};

/// A submission that is late in any case is accepted while the accepted work takes no longer than
/// this: the pool has capacity to spare then.
constexpr milliseconds max_wait_when_late{1000};

/// Work that the pool has accepted, in core-milliseconds.
struct accepted_work {
    double m_in_time = 0; ///< Of submissions before their hard deadline.
    double m_total = 0;
};

accepted_work measure_accepted_work(const shard& state, time_point now)
{
    accepted_work work;
    for (const submission_record* open : state.m_open_submissions) {
        work.m_in_time += now < open->m_hard_deadline ? open->m_remaining_core_ms : 0;
        work.m_total += open->m_remaining_core_ms;
    }
    return work;
}

/// Work of refused callers that are still to return, in core-milliseconds.
double returning_work(const shard& state, time_point now)
{
    double work = 0;
    for (const auto& [id, refused] : state.m_refused) {
        work += refused.m_returns_at > now ? refused.m_core_ms : 0;
    }
    return work;
}

/// Remembers a refusal. The caller is told to return when the accepted work and that of the callers
/// refused before will be done, so that callers do not all return to a full pool at once.
seconds remember_refusal(shard& state, const submission_record& record, double accepted_core_ms,
                         time_point now)
{
    if (state.m_refused.size() >= max_remembered_refusals) {
        std::erase_if(state.m_refused, [now](const auto& entry) {
            return entry.second.m_returns_at + refusal_expiry < now;
        });
        if (state.m_refused.size() >= max_remembered_refusals) {
            state.m_refused.erase(state.m_refused.begin());
        }
    }
    refused_submission& refused = state.m_refused[record.m_id];
    refused.m_first_attempt = record.m_arrived;
    refused.m_returns_at = now;
    refused.m_core_ms = total_core_ms(record.m_definition);
    const duration room_in =
        estimate_work_time(state.m_capacity, accepted_core_ms + returning_work(state, now));
    const seconds retry_after =
        std::clamp(std::chrono::ceil<seconds>(room_in), seconds(1), max_retry_after);
    refused.m_returns_at = now + retry_after;
    return retry_after;
}

bool is_long_running(const submission& what)
{
    return std::any_of(what.m_steps.begin(), what.m_steps.end(),
                       [](const submission_step& step) { return step.m_long_running; });
}

/// Mean natural logarithm of the estimates in milliseconds of the steps that end.
double mean_log_estimate(const submission& what)
{
    double sum = 0;
    int steps = 0;
    for (const submission_step& step : what.m_steps) {
        if (!step.m_long_running && step.m_estimate > milliseconds(0)) {
            sum += std::log(static_cast<double>(step.m_estimate.count()));
            ++steps;
        }
    }
    return steps > 0 ? sum / steps : 0;
}

} // namespace

void set_queues(shard& state, const std::vector<queue_contract>& queues)
{
    for (const queue_contract& queue : queues) {
        if (queue.m_service == state.m_service) {
            state.m_queues[queue.m_queue] = queue;
            if (state.m_logged_contracts.contains(queue.m_queue)) {
                log_contract(state, queue.m_queue);
            }
        }
    }
    state.m_ranking_stale = true;
}

void set_organisations(shard& state, const organisation_directory& organisations)
{
    std::set<organisation_id> kept;
    for (const submission_record* open : state.m_open_submissions) {
        kept.insert(open->m_organisation);
    }
    std::erase_if(state.m_organisations, [&](const auto& entry) {
        return !kept.contains(entry.first) && !organisations.all().contains(entry.first);
    });
    for (const auto& [id, configured] : organisations.all()) {
        state.m_organisations[id] = configured.m_terms;
    }
    state.m_ranking_stale = true;
}

bool is_accessible(const shard& state, const submission_id& id, const organisation_id& organisation)
{
    const auto found = state.m_submissions.find(id);
    return found == state.m_submissions.end() || found->second->m_organisation.empty() ||
           found->second->m_organisation == organisation;
}

void set_deadlines(const shard& state, submission_record& record)
{
    const queue_contract& contract = contract_of(state, record);
    record.m_run_times.m_log_estimate = mean_log_estimate(record.m_definition);
    record.m_run_times.m_changed = false;
    const double chain = static_cast<double>(critical_path_length(record.m_definition).count()) *
                         estimate_factor(run_times_of(state, record), record.m_run_times);
    const milliseconds span =
        milliseconds(static_cast<std::int64_t>(contract.m_stretch_factor * chain)) +
        contract.m_target;
    record.m_objective = record.m_arrived + span;
    record.m_hard_deadline = record.m_arrived + hard_deadline_factor * span;
}

admission_result admit(shard& state, const submission_id& id, const queue_id& queue,
                       submission what, time_point now, wall_time wall,
                       const organisation_id& organisation)
{
    const auto found = state.m_submissions.find(id);
    if (found != state.m_submissions.end()) {
        return {found->second->m_accept_stored ? admission::already_stored : admission::accepted,
                seconds(0),
                {}};
    }
    auto record = std::make_unique<submission_record>();
    record->m_id = id;
    record->m_queue = queue;
    record->m_organisation = organisation;
    record->m_definition = std::move(what);
    record->m_accepted_ms = unix_ms(wall);
    record->m_arrived = now;
    const auto refused = state.m_refused.find(id);
    const bool long_running = is_long_running(record->m_definition);
    if (refused != state.m_refused.end()) {
        record->m_arrived = refused->second.m_first_attempt;
    }
    else if (!long_running) {
        record_arrival(state, record->m_definition, now);
    }
    set_deadlines(state, *record);

    // Refuse work that the backlog would delay beyond its hard deadline.
    const pool_capacity& capacity = current_capacity(state, now);
    if (capacity.m_usable_cores > 0 && !long_running && record->m_definition.m_repeat_count == 0) {
        const accepted_work work = measure_accepted_work(state, now);
        const duration wait = estimate_work_time(capacity, work.m_in_time);
        if (now + wait > record->m_hard_deadline &&
            estimate_work_time(capacity, work.m_total) > max_wait_when_late) {
            return {admission::refused, remember_refusal(state, *record, work.m_total, now),
                    "the work accepted before it takes too long"};
        }
    }
    if (refused != state.m_refused.end()) {
        state.m_refused.erase(refused);
    }
    const double factor = estimate_factor(run_times_of(state, *record), record->m_run_times);
    record->m_remaining_core_ms = long_running ? 0 : total_core_ms(record->m_definition) * factor;
    record->m_remaining_critical_path = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(critical_path_length(record->m_definition).count()) * factor));
    record->m_occurrences.resize(occurrence_count(record->m_definition));
    if (record->m_definition.m_repeat_count == 0) {
        create_occurrence(*record, 0);
    }
    note_acceptance(state, id, now);
    log_contract(state, queue);
    state.m_pending.m_entries.emplace_back(
        log_accepted{id, queue, record->m_accepted_ms, record->m_definition});
    if (!organisation.empty()) {
        state.m_pending.m_entries.emplace_back(log_submission_organisation{id, organisation});
    }
    if (state.m_cancelled_early.erase(id) > 0) {
        // One batch holds both entries, so that no task of the submission starts.
        record->m_cancel_requested = true;
        state.m_pending.m_entries.emplace_back(log_cancelled{id});
    }
    state.m_open_submissions.insert(record.get());
    state.m_submissions[id] = std::move(record);
    state.m_ranking_stale = true;
    return {admission::accepted, seconds(0), {}};
}

void withdraw(shard& state, const submission_id& id)
{
    const auto found = state.m_submissions.find(id);
    if (found == state.m_submissions.end() || found->second->m_accept_stored) {
        return;
    }
    state.m_open_submissions.erase(found->second.get());
    std::erase(state.m_ranked, found->second.get());
    state.m_submissions.erase(found);
    state.m_ranking_stale = true;
}

bool cancel(shard& state, const submission_id& id)
{
    const auto found = state.m_submissions.find(id);
    if (found == state.m_submissions.end()) {
        state.m_cancelled_early.try_emplace(id, 0);
        state.m_pending.m_entries.emplace_back(log_cancelled{id});
        return false;
    }
    submission_record& record = *found->second;
    if (record.m_final_decided) {
        return true;
    }
    record.m_cancel_requested = true;
    state.m_pending.m_entries.emplace_back(log_cancelled{id});
    return true;
}

} // namespace guavabay
