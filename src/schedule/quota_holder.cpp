#include "schedule/quota_holder.h"

#include <algorithm>

namespace guavabay {

namespace {

/// Shortest time between two requests, and the longest while the shard uses or holds anything.
constexpr milliseconds min_request_interval{50};
constexpr milliseconds max_request_interval{250};

/// Quota that was not needed for this long is given back.
constexpr milliseconds unused_quota_time{700};

/// Answers that arrive later are ignored, because the allocator may have been replaced meanwhile.
constexpr milliseconds reply_validity{400};

/// Part of an amount; an unlimited one stays unlimited.
std::int64_t share_of(std::int64_t amount, double share)
{
    return amount >= unlimited_amount
               ? unlimited_amount
               : static_cast<std::int64_t>(static_cast<double>(amount) * share);
}

/// What the shard may use without a grant: its part of the overage that a cap tolerates.
resources ungranted_part(const shard& state, const resources& cap)
{
    const double share = state.m_bounds.m_quota_overage / std::max(1U, state.m_shard_count);
    return {share_of(cap.m_cpu_millis, share), share_of(cap.m_memory_mb, share),
            share_of(cap.m_accelerators, share)};
}

/// Limit of organisations with metrics of their own.
constexpr std::size_t max_organisations_in_metrics = 32;

/// Metrics of one organisation, or of several together.
std::string format_quota(const shard& state, const std::string& name,
                         const organisation_quota& quota)
{
    const std::string labels =
        "{service=\"" + state.m_service.str() + "\",organisation=\"" + name + "\"} ";
    const auto cores = [](const resources& amount) {
        return std::to_string(static_cast<double>(amount.m_cpu_millis) / 1000.0) + "\n";
    };
    return "guavabay_organisation_runs" + labels + std::to_string(quota.m_runs) + "\n" +
           "guavabay_organisation_used_cores" + labels + cores(quota.m_used) +
           "guavabay_organisation_held_cores" + labels + cores(quota.m_held) +
           "guavabay_organisation_blocked_cores" + labels + cores(quota.m_blocked);
}

/// Capacity of the workers that may still have a former owner's runs, or have runs of unknown size.
resources hidden_capacity(const shard& state)
{
    resources largest;
    for (const auto& [id, worker] : state.m_workers) {
        largest = component_max(largest, worker->m_info.m_capacity);
    }
    resources hidden;
    for (const worker_id& id : state.m_awaited_workers) {
        const auto found = state.m_workers.find(id);
        const bool is_known =
            found != state.m_workers.end() && found->second->m_info.m_capacity != resources{};
        hidden = hidden + (is_known ? found->second->m_info.m_capacity : largest);
    }
    for (const auto& [id, worker] : state.m_workers) {
        if (worker->m_unknown_demands > 0 && !state.m_awaited_workers.contains(id)) {
            hidden = hidden + worker->m_info.m_capacity;
        }
    }
    return hidden;
}

/// Demand of the tasks of an inherited submission that no known worker runs: a former owner may
/// have started them on workers that have not reported yet. At most the given amount.
resources unplaced_demand(const submission_record& record, const resources& most)
{
    const std::uint32_t not_created = record.m_due_occurrences - record.m_next_occurrence;
    const std::vector<submission_step>& steps = record.m_definition.m_steps;
    resources demand;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        std::int64_t open = std::int64_t{not_created} * steps[i].m_task_count;
        for (const auto& [number, occurrence] : record.m_occurrences) {
            const step_tasks& tasks = occurrence.m_steps[i];
            open += tasks.m_unfinished - count_placed(tasks);
        }
        demand =
            component_min(most, demand + component_min(most, multiply(steps[i].m_demand, open)));
    }
    return demand;
}

/// What runs that this owner does not know of may use of each organisation's cap, at most: the open
/// tasks that it has inherited, and no more than the workers can hold that have not reported.
std::map<organisation_id, resources> find_hidden_use(const shard& state)
{
    std::map<organisation_id, resources> hidden;
    const resources capacity = hidden_capacity(state);
    if (capacity == resources{}) {
        return hidden;
    }
    for (const submission_record* open : state.m_open_submissions) {
        if (open->m_inherited && !open->m_organisation.empty()) {
            resources& sum = hidden[open->m_organisation];
            sum = component_min(capacity, sum + unplaced_demand(*open, capacity));
        }
    }
    return hidden;
}

resources positive_difference(const resources& left, const resources& right)
{
    return component_max(left - right, resources{});
}

/// What the shard needs of an organisation's cap: what runs, and what could start now.
resources current_need(const organisation_quota& quota)
{
    return quota.m_used + quota.m_blocked;
}

/// Gives back what exceeds the largest need since the last time.
void give_back_unused(organisation_quota& quota, time_point now)
{
    quota.m_peak_need = component_max(quota.m_peak_need, current_need(quota));
    if (now - quota.m_peak_since >= unused_quota_time) {
        quota.m_held = component_min(quota.m_held, quota.m_peak_need);
        quota.m_peak_need = current_need(quota);
        quota.m_peak_since = now;
    }
}

bool is_idle(const organisation_quota& quota)
{
    return quota.m_used == resources{} && quota.m_held == resources{} &&
           quota.m_blocked == resources{};
}

} // namespace

bool has_quota(const shard& state, const organisation_id& organisation, const resources& demand)
{
    const auto terms = state.m_organisations.find(organisation);
    if (terms == state.m_organisations.end() || terms->second.m_cap == unlimited_resources) {
        return true;
    }
    const auto quota = state.m_quotas.find(organisation);
    const organisation_quota none;
    const organisation_quota& current = quota == state.m_quotas.end() ? none : quota->second;
    return fits(current.m_used + demand,
                current.m_held + ungranted_part(state, terms->second.m_cap));
}

void note_blocked_by_quota(shard& state, const organisation_id& organisation,
                           const resources& demand, std::uint32_t tasks)
{
    organisation_quota& quota = state.m_quotas[organisation];
    quota.m_largest_blocked = component_max(quota.m_largest_blocked, demand);
    const std::int64_t count = tasks;
    quota.m_blocked = quota.m_blocked + multiply(demand, count);
}

void clear_blocked_by_quota(shard& state)
{
    for (auto& [id, quota] : state.m_quotas) {
        quota.m_blocked = {};
        quota.m_largest_blocked = {};
    }
}

void add_usage(shard& state, const run_slot& slot)
{
    if (!slot.m_organisation.empty()) {
        organisation_quota& quota = state.m_quotas[slot.m_organisation];
        quota.m_used = quota.m_used + slot.m_counted;
        ++quota.m_runs;
    }
}

void remove_usage(shard& state, const run_slot& slot)
{
    if (!slot.m_organisation.empty()) {
        organisation_quota& quota = state.m_quotas[slot.m_organisation];
        quota.m_used = quota.m_used - slot.m_counted;
        --quota.m_runs;
    }
}

std::optional<quota_request> next_quota_request(shard& state, time_point now)
{
    const duration since = now - state.m_quota_asked_at;
    if (!state.m_loaded || state.m_lost || since < min_request_interval) {
        return std::nullopt;
    }
    const std::map<organisation_id, resources> hidden = find_hidden_use(state);
    quota_request request{state.m_service, state.m_token, 0, {}};
    bool is_urgent = false;
    for (const auto& [id, terms] : state.m_organisations) {
        if (terms.m_cap == unlimited_resources) {
            continue;
        }
        organisation_quota& quota = state.m_quotas[id];
        give_back_unused(quota, now);
        const auto unknown = hidden.find(id);
        const resources hidden_use = unknown == hidden.end() ? resources{} : unknown->second;
        if (is_idle(quota) && hidden_use == resources{}) {
            continue;
        }
        const resources wanted = positive_difference(
            component_max(quota.m_peak_need, current_need(quota)), quota.m_used);
        request.m_needs.push_back(
            {id, quota.m_used, hidden_use, quota.m_held, wanted, quota.m_largest_blocked});
        is_urgent = is_urgent || quota.m_blocked != resources{};
    }
    const bool is_first = state.m_quota_sequence == 0;
    const bool had_needs = state.m_quota_reported_needs;
    if (request.m_needs.empty() && !had_needs && !is_first) {
        return std::nullopt;
    }
    if (!is_urgent && !is_first && since < max_request_interval) {
        return std::nullopt;
    }
    state.m_quota_asked_at = now;
    request.m_sequence = ++state.m_quota_sequence;
    state.m_quota_reported_needs = !request.m_needs.empty();
    return request;
}

void apply_quota_reply(shard& state, const quota_reply& reply, time_point now)
{
    if (reply.m_sequence != state.m_quota_sequence || reply.m_token < state.m_quota_allocator ||
        reply.m_token == fencing_token() || now - state.m_quota_asked_at > reply_validity) {
        return;
    }
    if (reply.m_token != state.m_quota_allocator) {
        state.m_log_lines.push_back("quota: new allocator token=" +
                                    std::to_string(reply.m_token.get()));
        state.m_quota_allocator = reply.m_token;
    }
    for (const quota_grant& grant : reply.m_grants) {
        state.m_quotas[grant.m_organisation].m_held = grant.m_granted;
    }
}

std::string format_quota_metrics(const shard& state)
{
    std::vector<std::pair<std::string, const organisation_quota*>> sorted;
    for (const auto& [id, quota] : state.m_quotas) {
        if (!is_idle(quota)) {
            sorted.emplace_back(id.str(), &quota);
        }
    }
    std::sort(sorted.begin(), sorted.end(), [](const auto& left, const auto& right) {
        return left.second->m_used.m_cpu_millis > right.second->m_used.m_cpu_millis;
    });
    std::string text;
    organisation_quota others;
    for (std::size_t i = 0; i < sorted.size(); ++i) {
        const organisation_quota& quota = *sorted[i].second;
        if (i < max_organisations_in_metrics) {
            text += format_quota(state, sorted[i].first, quota);
            continue;
        }
        others.m_runs += quota.m_runs;
        others.m_used = others.m_used + quota.m_used;
        others.m_held = others.m_held + quota.m_held;
        others.m_blocked = others.m_blocked + quota.m_blocked;
    }
    if (sorted.size() > max_organisations_in_metrics) {
        text += format_quota(state, "other", others);
    }
    return text;
}

} // namespace guavabay
