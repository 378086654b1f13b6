#include <algorithm>
#include <queue>

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

/// A submission with a task that needs most of a worker is put before the others once none of its
/// tasks has started for this long: smaller tasks that rank higher take each room that runs leave.
constexpr milliseconds starvation_time{3000};

/// The unfinished part of an occurrence.
struct remaining_work {
    double m_core_ms = 0;            ///< Core-milliseconds.
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
                              const std::vector<scheduled_task>& tasks, double each_ms,
                              time_point now)
{
    running_tasks running;
    const milliseconds each(static_cast<std::int64_t>(each_ms));
    for (const scheduled_task& task : tasks) {
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
        const std::uint32_t open = occurrence.m_unfinished_tasks[i];
        const double each_ms = factor * static_cast<double>(steps[i].m_estimate.count());
        running_tasks running;
        const bool has_begun = open > occurrence.m_ready_tasks[i] && begin == milliseconds(0);
        if (has_begun && !steps[i].m_long_running) {
            running = measure_running(state, record, occurrence.m_steps[i], each_ms, now);
        }
        const std::uint32_t waiting = open - running.m_count;
        const double longest_ms = std::max(running.m_longest_ms, waiting > 0 ? each_ms : 0);
        ends[i] = begin + milliseconds(static_cast<std::int64_t>(longest_ms));
        left.m_critical_path = std::max(left.m_critical_path, ends[i]);
        left.m_core_ms += static_cast<double>(steps[i].m_demand.m_cpu_millis) / 1000.0 *
                          (static_cast<double>(waiting) * each_ms + running.m_total_ms);
    }
    return left;
}

/// A submission with the keys that determine its rank.
struct ranked_submission {
    submission_record* m_record = nullptr;
    remaining_work m_remaining;
    time_point m_deadline{}; ///< When it has to be finished.
    submission_tier m_tier = submission_tier::on_time;
};

/// Demotes the largest submissions of a tier until the remaining ones can all meet their deadlines
/// with the available cores when they run in deadline order (Moore-Hodgson algorithm).
void demote_overload(shard& state, std::vector<ranked_submission>& items, submission_tier from,
                     submission_tier to, double cores, time_point now)
{
    const pool_capacity& capacity = current_capacity(state, now);
    std::vector<ranked_submission*> sorted;
    for (ranked_submission& item : items) {
        if (item.m_tier == from) {
            sorted.push_back(&item);
        }
    }
    std::sort(sorted.begin(), sorted.end(),
              [](const ranked_submission* left, const ranked_submission* right) {
                  return left->m_deadline < right->m_deadline;
              });
    const auto smaller = [](const ranked_submission* left, const ranked_submission* right) {
        return left->m_remaining.m_core_ms < right->m_remaining.m_core_ms;
    };
    std::priority_queue<ranked_submission*, std::vector<ranked_submission*>, decltype(smaller)>
        kept(smaller);
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

/// True when an occurrence has a task to start that needs more than half of a worker.
bool has_large_ready_task(const submission_record& record, const occurrence_state& occurrence,
                          const resources& worker)
{
    for (std::size_t i = 0; i < occurrence.m_ready_tasks.size(); ++i) {
        const resources& demand = record.m_definition.m_steps[i].m_demand;
        const bool is_large = demand.m_cpu_millis * 2 > worker.m_cpu_millis ||
                              demand.m_memory_mb * 2 > worker.m_memory_mb;
        if (occurrence.m_ready_tasks[i] > 0 && is_large && fits(demand, worker)) {
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
        const auto is_waiting = [&](const occurrence_state& occurrence) {
            return occurrence.m_due && !occurrence.m_done &&
                   has_large_ready_task(record, occurrence, largest_worker);
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
        for (const auto& [key, slot] : worker->m_runs) {
            if (slot.m_long_running) {
                cores -= static_cast<double>(slot.m_reserved.m_cpu_millis) / 1000.0;
            }
        }
    }
    std::vector<ranked_submission> items;
    items.reserve(state.m_open_submissions.size());
    std::vector<milliseconds> step_ends;
    for (submission_record* record : state.m_open_submissions) {
        // No task starts before its submission is stored: a later owner would not know about it.
        if (record->m_cancel_requested || !record->m_accept_stored) {
            continue;
        }
        if (record->m_run_times.m_changed) {
            set_deadlines(state, *record);
        }
        ranked_submission item{record, {}, record->m_objective, submission_tier::on_time};
        bool any = false;
        for (std::uint32_t k = 0; k < record->m_occurrences.size(); ++k) {
            occurrence_state& occurrence = record->m_occurrences[k];
            if (!occurrence.m_due) {
                if (due_ms(record->m_definition, k) > unix_ms(wall)) {
                    continue;
                }
                occurrence.m_due = true;
                if (!occurrence.m_created) {
                    create_occurrence(*record, k);
                }
            }
            if (occurrence.m_done) {
                continue;
            }
            const remaining_work left =
                measure_remaining(state, *record, occurrence, step_ends, now);
            if (!any) {
                item.m_remaining = left;
                if (record->m_definition.m_repeat_count > 0) {
                    const milliseconds late(
                        std::max<std::int64_t>(0, unix_ms(wall) - due_ms(record->m_definition, k)));
                    item.m_deadline = now - late + (record->m_objective - record->m_arrived);
                }
            }
            any = true;
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
    demote_overload(state, items, submission_tier::on_time, submission_tier::late, cores, now);
    std::sort(items.begin(), items.end(),
              [&](const ranked_submission& left, const ranked_submission& right) {
                  if (left.m_tier != right.m_tier) {
                      return left.m_tier < right.m_tier;
                  }
                  if (left.m_tier == submission_tier::on_time &&
                      left.m_deadline != right.m_deadline) {
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
              });
    state.m_ranked.clear();
    for (const ranked_submission& item : items) {
        item.m_record->m_tier = item.m_tier;
        item.m_record->m_starving = false;
        state.m_ranked.push_back(item.m_record);
    }
    promote_starving(state, largest_worker, now);
}

} // namespace guavabay
