#include <algorithm>
#include <cmath>
#include <utility>

#include "schedule/fair_share.h"
#include "schedule/shard_steps.h"
#include "submission/submission_cost.h"

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

/// Excess work that stands for none, so that its finish tells when capacity is left for excess.
constexpr double least_excess_core_ms = 1;

/// Limit of computed times, for work that would never be done.
constexpr double longest_finish_ms = 1e9;

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

/// Remembers a refusal; the caller sets when the submission returns.
refused_submission& remember_refusal(shard& state, const submission_record& record, time_point now)
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
    refused.m_organisation = record.m_organisation;
    return refused;
}

/// Refuses a submission. The caller is told to return when the accepted work and that of the
/// callers refused before will be done, so that callers do not all return to a full pool at once.
admission_result refuse_until(refused_submission& refused, duration room_in, time_point now,
                              std::string_view reason)
{
    const seconds retry_after =
        std::clamp(std::chrono::ceil<seconds>(room_in), seconds(1), max_retry_after);
    refused.m_returns_at = now + retry_after;
    return {admission::refused, retry_after, reason};
}

/// Refuses a submission if the memory for accepted ones is used up.
std::optional<admission_result> check_memory(shard& state, const submission_record& record,
                                             time_point now)
{
    const submission& what = record.m_definition;
    if (!state.m_budget ||
        has_room(*state.m_budget, memory_use_of(what), new_submission_bytes(what))) {
        return std::nullopt;
    }
    ++state.m_budget->m_refusals;
    refused_submission& refused = remember_refusal(state, record, now);
    const pool_capacity& capacity = current_capacity(state, now);
    const duration room_in =
        capacity.m_usable_cores > 0
            ? estimate_work_time(capacity, measure_accepted_work(state, now).m_total)
            : max_retry_after;
    return refuse_until(refused, room_in, now, "the memory for accepted submissions is used up");
}

/// Refuses a submission if the work of the whole pool delays it beyond its hard deadline.
std::optional<admission_result> check_pool_backlog(shard& state, const submission_record& record,
                                                   const pool_capacity& capacity, time_point now)
{
    const accepted_work work = measure_accepted_work(state, now);
    const duration wait = estimate_work_time(capacity, work.m_in_time);
    if (now + wait <= record.m_hard_deadline ||
        estimate_work_time(capacity, work.m_total) <= max_wait_when_late) {
        return std::nullopt;
    }
    refused_submission& refused = remember_refusal(state, record, now);
    const duration room_in =
        estimate_work_time(state.m_capacity, work.m_total + returning_work(state, now));
    return refuse_until(refused, room_in, now, "the work accepted before it takes too long");
}

/// Accepted work by organisation, as claims on the pool.
struct organisation_work {
    std::vector<share_claim> m_in_time; ///< Of submissions before their hard deadline.
    std::vector<share_claim> m_total;
};

void add_work(share_claim& claim, bool is_excess, double core_ms)
{
    (is_excess ? claim.m_excess_core_ms : claim.m_guaranteed_core_ms) += core_ms;
}

/// Measures the accepted work of all organisations. The slot of `first` is 0.
organisation_work measure_organisations(shard& state, organisation_account& first, time_point now)
{
    organisation_work work;
    begin_pass(state);
    const auto find_slot = [&](organisation_account& account) {
        const std::size_t slot = slot_of(state, account, work.m_total.size());
        if (slot == work.m_total.size()) {
            work.m_total.push_back({account.m_weight, account.m_max_cores, 0, 0});
            work.m_in_time.push_back(work.m_total.back());
        }
        return slot;
    };
    find_slot(first);
    for (submission_record* open : state.m_open_submissions) {
        const std::size_t slot = find_slot(account_of(state, *open));
        const double core_ms = open->m_remaining_core_ms;
        add_work(work.m_total[slot], open->m_is_beyond_rate, core_ms);
        if (now < open->m_hard_deadline) {
            add_work(work.m_in_time[slot], open->m_is_beyond_rate, core_ms);
        }
    }
    return work;
}

/// Time in which the work of the claim with slot 0 is done, the excess part or the other one.
duration find_own_finish(const std::vector<share_claim>& claims, const pool_capacity& capacity,
                         bool of_excess)
{
    const share_finish finish =
        find_finish(claims, {capacity.m_usable_cores, capacity.m_incoming_cores, join_time_ms}, 0);
    const double ms = of_excess ? finish.m_excess_ms : finish.m_guaranteed_ms;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(std::min(ms, longest_finish_ms)));
}

/// The same claims with all work within the rates.
std::vector<share_claim> without_excess(std::vector<share_claim> claims)
{
    for (share_claim& claim : claims) {
        claim.m_guaranteed_core_ms += std::exchange(claim.m_excess_core_ms, 0);
    }
    return claims;
}

/// Refuses a submission if its organisation's work, under the organisation's fair share of the
/// pool, delays it beyond its hard deadline.
std::optional<admission_result> check_organisation_backlog(shard& state, submission_record& record,
                                                           const pool_capacity& capacity,
                                                           time_point now)
{
    organisation_account& own = account_of(state, record);
    const bool is_excess = is_beyond_rate(own, now);
    organisation_work work = measure_organisations(state, own, now);
    add_work(work.m_in_time.front(), is_excess, total_core_ms(record.m_definition));
    if (is_excess) {
        add_work(work.m_total.front(), is_excess, least_excess_core_ms);
    }
    if (now + find_own_finish(work.m_in_time, capacity, is_excess) <= record.m_hard_deadline ||
        find_own_finish(work.m_total, capacity, is_excess) <= max_wait_when_late) {
        return std::nullopt;
    }
    // Excess of an organisation whose work fits into its share of the cores is not refused: others
    // exceed theirs.
    if (is_excess && now + find_own_finish(without_excess(work.m_in_time), capacity, false) <=
                         record.m_hard_deadline) {
        return std::nullopt;
    }
    ++own.m_counts.m_refused;
    refused_submission& refused = remember_refusal(state, record, now);
    double returning = 0;
    for (const auto& [id, other] : state.m_refused) {
        const bool counts =
            other.m_returns_at > now && other.m_organisation == record.m_organisation;
        returning += counts ? other.m_core_ms : 0;
    }
    add_work(work.m_total.front(), is_excess, returning);
    return refuse_until(refused, find_own_finish(work.m_total, capacity, is_excess), now,
                        "the work of its organisation accepted before it takes too long");
}

/// Counts an accepted submission for its organisation.
void note_accepted(shard& state, submission_record& record, time_point now)
{
    organisation_account& account = account_of(state, record);
    ++account.m_counts.m_accepted;
    record.m_is_beyond_rate = is_beyond_rate(account, now);
    if (!record.m_is_beyond_rate && !account.m_is_public) {
        take_token(account);
    }
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

void set_organisations(shard& state, const organisation_directory& organisations,
                       std::uint32_t shard_count)
{
    state.m_shard_count = shard_count;
    std::set<organisation_id> kept;
    for (const submission_record* open : state.m_open_submissions) {
        kept.insert(open->m_organisation);
    }
    for (const auto& [id, quota] : state.m_quotas) {
        if (quota.m_runs > 0) {
            kept.insert(id);
        }
    }
    std::erase_if(state.m_organisations, [&](const auto& entry) {
        return !kept.contains(entry.first) && !organisations.all().contains(entry.first);
    });
    for (const auto& [id, configured] : organisations.all()) {
        state.m_organisations[id] = configured.m_terms;
    }
    update_accounts(state);
    state.m_ranking_stale = true;
}

bool is_accessible(const shard& state, const submission_id& id, const organisation_id& organisation)
{
    const auto found = state.m_submissions.find(id);
    const auto deferred = state.m_deferred.find(id);
    const organisation_id owner = found != state.m_submissions.end() ? found->second->m_organisation
                                  : deferred != state.m_deferred.end()
                                      ? deferred->second.m_organisation
                                      : organisation_id();
    return owner.empty() || owner == organisation;
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
    if (state.m_deferred.contains(id)) {
        return {admission::already_stored, seconds(0), {}};
    }
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
        record->m_waited_to_return =
            std::chrono::duration_cast<milliseconds>(now - record->m_arrived);
    }
    else if (!long_running) {
        record_arrival(state, record->m_definition, now);
    }
    set_deadlines(state, *record);

    if (const std::optional<admission_result> refusal = check_memory(state, *record, now)) {
        return *refusal;
    }
    // Refuse work that the backlog would delay beyond its hard deadline.
    const pool_capacity& capacity = current_capacity(state, now);
    if (capacity.m_usable_cores > 0 && !long_running && record->m_definition.m_repeat_count == 0) {
        const std::optional<admission_result> refusal =
            state.m_organisations.empty()
                ? check_pool_backlog(state, *record, capacity, now)
                : check_organisation_backlog(state, *record, capacity, now);
        if (refusal) {
            return *refusal;
        }
    }
    if (!state.m_organisations.empty()) {
        note_accepted(state, *record, now);
    }
    if (refused != state.m_refused.end()) {
        state.m_refused.erase(refused);
    }
    const double factor = estimate_factor(run_times_of(state, *record), record->m_run_times);
    record->m_remaining_core_ms = long_running ? 0 : total_core_ms(record->m_definition) * factor;
    record->m_remaining_critical_path = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(critical_path_length(record->m_definition).count()) * factor));
    begin_occurrences(*record);
    record->m_memory.hold(state.m_budget, memory_use_of(record->m_definition),
                          new_submission_bytes(record->m_definition));
    note_acceptance(state, id, now);
    log_contract(state, queue);
    state.m_pending.m_entries.emplace_back(
        log_accepted{id, queue, record->m_accepted_ms, record->m_definition});
    if (!organisation.empty()) {
        state.m_pending.m_entries.emplace_back(log_submission_organisation{id, organisation});
    }
    const auto early = state.m_cancelled_early.find(id);
    if (early != state.m_cancelled_early.end()) {
        if (early->second.m_organisations.contains(organisation)) {
            // One batch holds both entries, so that no task of the submission starts.
            record->m_cancel_requested = true;
            state.m_pending.m_entries.emplace_back(log_cancelled{id});
        }
        state.m_cancelled_early.erase(early);
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

bool has_room_for_cancellation(const shard& state, const submission_id& id)
{
    return !state.m_budget || is_known(state, id) || state.m_cancelled_early.contains(id) ||
           has_room(*state.m_budget, memory_use::cancellations, cancellation_bytes);
}

bool cancel(shard& state, const submission_id& id, const organisation_id& organisation)
{
    const auto deferred = state.m_deferred.find(id);
    if (deferred != state.m_deferred.end()) {
        deferred->second.m_cancel_requested = true;
        state.m_pending.m_entries.emplace_back(log_cancelled{id});
        return true;
    }
    const auto found = state.m_submissions.find(id);
    if (found == state.m_submissions.end()) {
        remember_cancellation(state, id).m_organisations.insert(organisation);
        if (!organisation.empty()) {
            state.m_pending.m_entries.emplace_back(log_submission_organisation{id, organisation});
        }
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
