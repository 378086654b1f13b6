#include <algorithm>
#include <queue>
#include <tuple>

#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

/// Minimum time between two rankings: without changes, and after submissions changed. It grows with
/// the number of open submissions, because a ranking looks at all of them.
constexpr milliseconds rank_interval{40};
constexpr milliseconds changed_rank_interval{8};
constexpr microseconds rank_interval_per_submission{20};

/// Share of the cores that is planned for work with a deadline. The rest covers run times that
/// differ from their estimates and capacity that packing leaves unused; see the overload replay in
/// docs/design/schedule.md.
constexpr double plannable_core_share = 0.7;

/// The same for submissions beyond their organisation's rate. They leave a margin, since a plan
/// that is full delays what arrives next by as much as its deadline allows.
constexpr double plannable_excess_share = 0.35;

/// A submission with a task that needs most of a worker is put before the others once none of its
/// tasks has started for this long: smaller tasks that rank higher take each room that runs leave.
constexpr milliseconds starvation_time{3000};

/// The unfinished part of an occurrence.
struct remaining_work {
    double m_core_ms = 0;            ///< Core-milliseconds.
    double m_memory_mb_ms = 0;       ///< Megabyte-milliseconds.
    double m_waiting_core_ms = 0;    ///< Core-milliseconds of tasks that are not placed.
    milliseconds m_critical_path{0}; ///< Longest chain of unfinished steps, by estimates.
    bool m_long_running = false;
};

/// Tasks of a step that are on workers, with the time that their runs are expected to take on.
struct running_tasks {
    std::uint32_t m_count = 0;
    double m_total_ms = 0;
    double m_longest_ms = 0;
};

running_tasks measure_running(const shard& state, const submission_record& record,
                              const step_tasks& tasks, double each_ms, time_point now)
{
    running_tasks running;
    const milliseconds each(static_cast<std::int64_t>(each_ms));
    for (const auto& [index, task] : tasks.m_started) {
        if (task.m_phase != task_phase::placed) {
            continue;
        }
        const time_point end = task.m_expected_end > now
                                   ? task.m_expected_end
                                   : expected_end(state, record, each, task.m_started_at, now);
        const double left_ms = std::max(0.0, to_milliseconds(end - now));
        ++running.m_count;
        running.m_total_ms += left_ms;
        running.m_longest_ms = std::max(running.m_longest_ms, left_ms);
    }
    return running;
}

/// Measures the unfinished part of an occurrence; `ends` is reused between calls.
remaining_work measure_remaining(const shard& state, const submission_record& record,
                                 const occurrence_state& occurrence,
                                 std::vector<milliseconds>& ends, time_point now)
{
    remaining_work left;
    const double factor = estimate_factor(run_times_of(state, record), record.m_run_times);

    const std::vector<submission_step>& steps = record.m_definition.m_steps;
    ends.assign(steps.size(), milliseconds(0));
    for (std::size_t i = 0; i < steps.size(); ++i) {
        left.m_long_running = left.m_long_running || steps[i].m_long_running;
        milliseconds begin{0};
        for (const std::uint32_t earlier : steps[i].m_after) {
            begin = std::max(begin, ends[earlier]);
        }
        const step_tasks& tasks = occurrence.m_steps[i];
        const std::uint32_t open = tasks.m_unfinished;
        const double each_ms = factor * static_cast<double>(steps[i].m_estimate.count());
        running_tasks running;
        const bool has_begun = open > tasks.m_ready && begin == milliseconds(0);
        if (has_begun && !steps[i].m_long_running) {
            running = measure_running(state, record, tasks, each_ms, now);
        }
        const std::uint32_t waiting = open - running.m_count;
        const double longest_ms = std::max(running.m_longest_ms, waiting > 0 ? each_ms : 0);
        ends[i] = begin + milliseconds(static_cast<std::int64_t>(longest_ms));
        left.m_critical_path = std::max(left.m_critical_path, ends[i]);
        const double cores = static_cast<double>(steps[i].m_demand.m_cpu_millis) / 1000.0;
        const double unfinished_ms = static_cast<double>(waiting) * each_ms + running.m_total_ms;
        left.m_core_ms += cores * unfinished_ms;
        left.m_waiting_core_ms += cores * static_cast<double>(waiting) * each_ms;
        left.m_memory_mb_ms += static_cast<double>(steps[i].m_demand.m_memory_mb) * unfinished_ms;
    }
    return left;
}

/// A submission with the keys that determine its rank.
struct ranked_submission {
    submission_record* m_record = nullptr;
    remaining_work m_remaining;
    time_point m_deadline{}; ///< When it has to be finished.
    submission_tier m_tier = submission_tier::on_time;
    std::size_t m_slot = 0;  ///< Of its organisation, where there are any.
    double m_fair_work = 0;  ///< Core-milliseconds by its dominant resource.
    double m_fair_order = 0; ///< Among late and hopeless ones; a lower one is ranked first.
};

struct smaller_work {
    bool operator()(const ranked_submission* left, const ranked_submission* right) const
    {
        return left->m_remaining.m_core_ms < right->m_remaining.m_core_ms;
    }
};

using largest_first =
    std::priority_queue<ranked_submission*, std::vector<ranked_submission*>, smaller_work>;

/// The submissions of a tier in the order of their deadlines.
std::vector<ranked_submission*> sort_by_deadline(std::vector<ranked_submission>& items,
                                                 submission_tier tier)
{
    std::vector<ranked_submission*> sorted;
    for (ranked_submission& item : items) {
        if (item.m_tier == tier) {
            sorted.push_back(&item);
        }
    }
    std::sort(sorted.begin(), sorted.end(),
              [](const ranked_submission* left, const ranked_submission* right) {
                  return left->m_deadline < right->m_deadline;
              });
    return sorted;
}

/// Demotes the largest submissions of a tier until the remaining ones can all meet their deadlines
/// with the available cores when they run in deadline order (Moore-Hodgson algorithm).
void demote_overload(shard& state, std::vector<ranked_submission>& items, submission_tier from,
                     submission_tier to, double cores, time_point now)
{
    const pool_capacity& capacity = current_capacity(state, now);
    const std::vector<ranked_submission*> sorted = sort_by_deadline(items, from);
    largest_first kept;
    double work = 0;
    for (ranked_submission* item : sorted) {
        kept.push(item);
        work += item->m_remaining.m_core_ms;
        const double room =
            plannable_core_share * available_core_ms(capacity, cores, now, item->m_deadline);
        while (work > room && !kept.empty()) {
            ranked_submission* largest = kept.top();
            kept.pop();
            work -= largest->m_remaining.m_core_ms;
            largest->m_tier = to;
        }
    }
}

/// What is planned to be on time for one organisation.
struct planned_share {
    double m_weight = 1;
    double m_max_cores = 0;
    double m_core_ms = 0;
    double m_fair_work = 0;     ///< Core-milliseconds by dominant resources.
    largest_first m_guaranteed; ///< Submissions within the organisation's rate.
    largest_first m_excess;     ///< Those beyond it.
};

bool has_planned_work(const planned_share& share)
{
    return !share.m_excess.empty() || !share.m_guaranteed.empty();
}

/// Demotes the largest submission of an organisation, one beyond its rate first. Returns its
/// core-milliseconds that are not placed.
double demote_largest(planned_share& share, submission_tier to)
{
    largest_first& from = share.m_excess.empty() ? share.m_guaranteed : share.m_excess;
    ranked_submission* largest = from.top();
    from.pop();
    share.m_core_ms -= largest->m_remaining.m_core_ms;
    share.m_fair_work -= largest->m_fair_work;
    largest->m_tier = to;
    return largest->m_remaining.m_waiting_core_ms;
}

/// The submission of an organisation that is demoted next, one beyond its rate first.
const ranked_submission& next_demoted(const planned_share& share)
{
    return *(share.m_excess.empty() ? share.m_guaranteed : share.m_excess).top();
}

/// Planned work of an organisation for its weight, without the submission that is demoted next: a
/// single open submission of a small organisation does not count as more than its share. Among
/// equal ones, as among organisations with a single submission, the largest submission goes first.
std::pair<double, double> planned_level(const planned_share& share)
{
    const double next = next_demoted(share).m_fair_work;
    return {(share.m_fair_work - next) / share.m_weight, next};
}

/// The organisation with the highest planned level, of those with submissions beyond their rate if
/// there is one; null if nothing is planned.
planned_share* find_largest_share(std::vector<planned_share>& shares)
{
    planned_share* largest = nullptr;
    std::pair<double, double> level;
    bool is_excess = false;
    for (planned_share& share : shares) {
        const bool has_excess = !share.m_excess.empty();
        if ((is_excess && !has_excess) || !has_planned_work(share)) {
            continue;
        }
        const std::pair own_level = planned_level(share);
        if (largest == nullptr || has_excess != is_excess || own_level > level) {
            largest = &share;
            level = own_level;
            is_excess = has_excess;
        }
    }
    return largest;
}

/// Sets the slots of the submissions' organisations and their work by the dominant resource.
std::vector<planned_share> begin_shares(shard& state, std::vector<ranked_submission>& items,
                                        double cores_per_mb)
{
    std::vector<planned_share> shares;
    begin_pass(state);
    for (ranked_submission& item : items) {
        organisation_account& account = account_of(state, *item.m_record);
        item.m_slot = slot_of(state, account, shares.size());
        item.m_fair_work =
            std::max(item.m_remaining.m_core_ms, item.m_remaining.m_memory_mb_ms * cores_per_mb);
        if (item.m_slot == shares.size()) {
            shares.emplace_back();
            shares.back().m_weight = account.m_weight;
            shares.back().m_max_cores = account.m_max_cores;
        }
    }
    return shares;
}

/// Like demote_overload(), but takes from the organisation that exceeds its weighted share of the
/// room most, so that one within its share keeps its submissions. Work that an organisation's cap
/// keeps from being on time does not use room of others. Unlike there, only work that is not placed
/// yet counts, and it has to start a critical path before its deadline: without that the last of
/// the planned submissions end late, and those of organisations within their share among them.
void demote_overload_fairly(shard& state, std::vector<ranked_submission>& items,
                            std::vector<planned_share>& shares, double cores, time_point now)
{
    const pool_capacity& capacity = current_capacity(state, now);
    double work = 0;
    for (ranked_submission* item : sort_by_deadline(items, submission_tier::on_time)) {
        planned_share& own = shares[item->m_slot];
        own.m_core_ms += item->m_remaining.m_core_ms;
        own.m_fair_work += item->m_fair_work;
        if (item->m_remaining.m_waiting_core_ms <= 0) {
            continue;
        }
        (item->m_record->m_is_beyond_rate ? own.m_excess : own.m_guaranteed).push(item);
        work += item->m_remaining.m_waiting_core_ms;
        const double left_ms = std::max(1.0, to_milliseconds(item->m_deadline - now));
        while (own.m_core_ms > own.m_max_cores * left_ms && has_planned_work(own)) {
            work -= demote_largest(own, submission_tier::late);
        }
        const time_point latest_start = item->m_deadline - item->m_remaining.m_critical_path;
        const double room = available_core_ms(capacity, cores, now, latest_start);
        while (work > plannable_excess_share * room) {
            planned_share* largest = find_largest_share(shares);
            const bool fits = work <= plannable_core_share * room;
            if (largest == nullptr || (fits && largest->m_excess.empty())) {
                break;
            }
            work -= demote_largest(*largest, submission_tier::late);
        }
    }
}

/// Orders the late and the hopeless submissions of a ranking so that organisations alternate by
/// weight, in each tier first those within their rates. Planned work counts as used. The order
/// within an organisation stays.
void alternate_organisations(std::vector<ranked_submission>& items,
                             const std::vector<planned_share>& shares)
{
    const auto begin = std::find_if(items.begin(), items.end(), [](const ranked_submission& item) {
        return item.m_tier >= submission_tier::late;
    });
    const auto order = [](const ranked_submission& left, const ranked_submission& right) {
        return std::tuple(left.m_tier, left.m_record->m_is_beyond_rate, left.m_fair_order) <
               std::tuple(right.m_tier, right.m_record->m_is_beyond_rate, right.m_fair_order);
    };
    std::stable_sort(begin, items.end(), order);
    std::vector<double> used;
    used.reserve(shares.size());
    for (const planned_share& share : shares) {
        used.push_back(share.m_fair_work / share.m_weight);
    }
    for (auto item = begin; item != items.end(); ++item) {
        item->m_fair_order = used[item->m_slot];
        used[item->m_slot] += item->m_fair_work / shares[item->m_slot].m_weight;
    }
    std::stable_sort(begin, items.end(), order);
}

/// The order of submissions without organisations.
bool ranks_before(const ranked_submission& left, const ranked_submission& right)
{
    if (left.m_tier != right.m_tier) {
        return left.m_tier < right.m_tier;
    }
    if (left.m_tier == submission_tier::on_time && left.m_deadline != right.m_deadline) {
        return left.m_deadline < right.m_deadline;
    }
    if (left.m_tier == submission_tier::late &&
        left.m_remaining.m_core_ms != right.m_remaining.m_core_ms) {
        return left.m_remaining.m_core_ms < right.m_remaining.m_core_ms;
    }
    if (left.m_record->m_arrived != right.m_record->m_arrived) {
        return left.m_record->m_arrived < right.m_record->m_arrived;
    }
    return left.m_record->m_id < right.m_record->m_id;
}

/// Demotes what cannot be on time and sorts the submissions by rank, with fair shares of the
/// organisations.
void rank_fairly(shard& state, std::vector<ranked_submission>& items, double cores,
                 double cores_per_mb, time_point now)
{
    std::vector<planned_share> shares = begin_shares(state, items, cores_per_mb);
    demote_overload_fairly(state, items, shares, cores, now);
    std::sort(items.begin(), items.end(), ranks_before);
    alternate_organisations(items, shares);
}

/// True when an occurrence has a task to start that needs more than half of a worker.
bool has_large_ready_task(const submission_record& record, const occurrence_state& occurrence,
                          const resources& worker)
{
    for (std::size_t i = 0; i < occurrence.m_steps.size(); ++i) {
        const resources& demand = record.m_definition.m_steps[i].m_demand;
        const bool is_large = demand.m_cpu_millis * 2 > worker.m_cpu_millis ||
                              demand.m_memory_mb * 2 > worker.m_memory_mb;
        if (occurrence.m_steps[i].m_ready > 0 && is_large && fits(demand, worker)) {
            return true;
        }
    }
    return false;
}

/// Puts the submission with a large task that has waited longest before all others but the
/// long-running ones, if it is starving.
void promote_starving(shard& state, const resources& largest_worker, time_point now)
{
    if (now < state.m_next_starving_start) {
        return;
    }
    const auto begin = std::find_if(state.m_ranked.begin(), state.m_ranked.end(),
                                    [](const submission_record* record) {
                                        return record->m_tier != submission_tier::long_running;
                                    });
    auto longest = state.m_ranked.end();
    time_point waits_since = now - starvation_time;
    for (auto it = begin; it != state.m_ranked.end(); ++it) {
        const submission_record& record = **it;
        const time_point since = std::max(record.m_arrived, record.m_last_start);
        const auto is_waiting = [&](const auto& entry) {
            return entry.second.m_due && has_large_ready_task(record, entry.second, largest_worker);
        };
        if (since < waits_since &&
            std::any_of(record.m_occurrences.begin(), record.m_occurrences.end(), is_waiting)) {
            waits_since = since;
            longest = it;
        }
    }
    if (longest != state.m_ranked.end()) {
        (*longest)->m_starving = true;
        std::rotate(begin, longest, std::next(longest));
    }
}

} // namespace

void rank_submissions(shard& state, time_point now, wall_time wall)
{
    const duration interval =
        (state.m_ranking_stale ? changed_rank_interval : rank_interval) +
        static_cast<std::int64_t>(state.m_open_submissions.size()) * rank_interval_per_submission;
    if (now - state.m_ranked_at < interval) {
        return;
    }
    state.m_ranking_stale = false;
    state.m_ranked_at = now;
    double cores = 0;
    double memory_mb = 0;
    resources largest_worker;
    for (const auto& [id, worker] : state.m_workers) {
        if (!accepts_starts(*worker, now)) {
            continue;
        }
        const resources& capacity = worker->m_info.m_capacity;
        if (capacity.m_cpu_millis > largest_worker.m_cpu_millis) {
            largest_worker = capacity;
        }
        cores += static_cast<double>(worker->m_info.m_capacity.m_cpu_millis) / 1000.0;
        memory_mb += static_cast<double>(worker->m_info.m_capacity.m_memory_mb);
        for (const auto& [key, slot] : worker->m_runs) {
            if (slot.m_long_running) {
                cores -= static_cast<double>(slot.m_reserved.m_cpu_millis) / 1000.0;
                memory_mb -= static_cast<double>(slot.m_reserved.m_memory_mb);
            }
        }
    }
    std::vector<ranked_submission> items;
    items.reserve(state.m_open_submissions.size());
    std::vector<milliseconds> step_ends;
    for (submission_record* record : state.m_open_submissions) {
        // No task starts before its submission is stored: a later owner would not know about it.
        if (record->m_cancel_requested || !record->m_accept_stored || record->m_is_incomplete) {
            continue;
        }
        if (record->m_run_times.m_changed) {
            set_deadlines(state, *record);
        }
        ranked_submission item{record, {}, record->m_objective, submission_tier::on_time};
        create_due_occurrences(*record, wall);
        // The first one that is not done stands for the submission.
        const auto first = std::find_if(record->m_occurrences.begin(), record->m_occurrences.end(),
                                        [](const auto& entry) { return entry.second.m_due; });
        const bool any = first != record->m_occurrences.end();
        if (any) {
            item.m_remaining = measure_remaining(state, *record, first->second, step_ends, now);
            if (record->m_definition.m_repeat_count > 0) {
                const milliseconds late(std::max<std::int64_t>(
                    0, unix_ms(wall) - due_ms(record->m_definition, first->first)));
                item.m_deadline = now - late + (record->m_objective - record->m_arrived);
            }
        }
        record->m_remaining_core_ms =
            item.m_remaining.m_long_running ? 0 : item.m_remaining.m_core_ms;
        record->m_remaining_critical_path = item.m_remaining.m_critical_path;
        if (!any) {
            continue;
        }
        const time_point late_until =
            item.m_deadline + 2 * (record->m_objective - record->m_arrived);
        if (item.m_remaining.m_long_running) {
            item.m_tier = submission_tier::long_running;
        }
        else if (now + item.m_remaining.m_critical_path > item.m_deadline) {
            item.m_tier = now + item.m_remaining.m_critical_path > late_until
                              ? submission_tier::hopeless
                              : submission_tier::late;
            item.m_deadline = late_until;
        }
        items.push_back(item);
    }
    if (state.m_organisations.empty()) {
        demote_overload(state, items, submission_tier::on_time, submission_tier::late, cores, now);
        std::sort(items.begin(), items.end(), ranks_before);
    }
    else {
        rank_fairly(state, items, cores, memory_mb > 0 ? cores / memory_mb : 0, now);
    }
    state.m_ranked.clear();
    for (const ranked_submission& item : items) {
        item.m_record->m_tier = item.m_tier;
        item.m_record->m_starving = false;
        state.m_ranked.push_back(item.m_record);
    }
    promote_starving(state, largest_worker, now);
}

} // namespace guavabay
