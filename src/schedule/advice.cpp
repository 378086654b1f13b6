#include "schedule/advice.h"

#include <algorithm>

#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

/// Workers that are asked about at a time: each costs the service time, and the answer is waited
/// for, but too few good ones cost another question. The platform takes a hundred.
constexpr std::size_t least_asked = 4;
constexpr std::size_t most_asked = 24;

/// A question without an answer is asked again after this time.
constexpr milliseconds ask_pause{200};

/// A ticket has to hold for this long after a start is decided, which is about the time that an
/// order takes; one that is about to end is renewed earlier.
constexpr milliseconds ticket_margin{150};
constexpr milliseconds renew_margin{600};

task_name step_of(const task_name& task)
{
    return {task.m_submission, task.m_occurrence, task.m_step, 0};
}

/// A step whose tasks start now, or as soon as those that are under way have ended.
bool is_soon(const submission_step& step, const occurrence_state& occurrence, bool ready_only)
{
    return std::all_of(step.m_after.begin(), step.m_after.end(), [&](std::uint32_t earlier) {
        const std::vector<scheduled_task>& tasks = occurrence.m_steps[earlier];
        return std::all_of(tasks.begin(), tasks.end(), [&](const scheduled_task& task) {
            return task.m_phase == task_phase::done ||
                   (!ready_only && task.m_phase == task_phase::placed);
        });
    });
}

std::size_t waiting_tasks(const std::vector<scheduled_task>& tasks)
{
    return static_cast<std::size_t>(
        std::count_if(tasks.begin(), tasks.end(), [](const scheduled_task& task) {
            return task.m_phase == task_phase::ready || task.m_phase == task_phase::blocked;
        }));
}

/// Workers to ask about for a step: those with most room that were not asked about, and those
/// whose ticket ends.
std::vector<worker_id> choose_asked(const shard& state, const submission_step& step,
                                    const step_advice* known, std::size_t tasks, time_point now)
{
    std::size_t usable = 0;
    std::vector<const worker_record*> open;
    for (const auto& [id, worker] : state.m_workers) {
        if (!accepts_starts(*worker, now) || !fits(step.m_demand, worker->m_info.m_capacity)) {
            continue;
        }
        if (known != nullptr) {
            const auto ticket = known->m_tickets.find(id);
            if (ticket != known->m_tickets.end() &&
                ticket->second.m_expires_at > now + renew_margin) {
                ++usable;
                continue;
            }
            if (ticket == known->m_tickets.end() && known->m_denied.contains(id)) {
                continue;
            }
        }
        open.push_back(worker.get());
    }
    std::vector<worker_id> asked;
    if (usable >= tasks) {
        return asked;
    }
    std::stable_sort(open.begin(), open.end(),
                     [](const worker_record* left, const worker_record* right) {
                         return (left->m_info.m_capacity - left->m_reserved).m_cpu_millis >
                                (right->m_info.m_capacity - right->m_reserved).m_cpu_millis;
                     });
    const std::size_t count = std::clamp(tasks - usable, least_asked, most_asked);
    for (const worker_record* worker : open) {
        if (asked.size() == count) {
            break;
        }
        asked.push_back(worker->m_info.m_id);
    }
    return asked;
}

} // namespace

std::optional<advice_request> next_advice(shard& state, time_point now)
{
    if (state.m_advice_pending || now < state.m_next_advice || !state.m_may_start) {
        return std::nullopt;
    }
    for (const bool ready_only : {true, false}) {
        for (const submission_record* record : state.m_ranked) {
            if (!contract_of(state, *record).m_needs_advice || record->m_final_decided) {
                continue;
            }
            for (std::uint32_t k = 0; k < record->m_occurrences.size(); ++k) {
                const occurrence_state& occurrence = record->m_occurrences[k];
                for (std::uint32_t s = 0; s < occurrence.m_steps.size(); ++s) {
                    const submission_step& step = record->m_definition.m_steps[s];
                    const std::size_t tasks = waiting_tasks(occurrence.m_steps[s]);
                    if (!occurrence.m_created || tasks == 0 ||
                        !is_soon(step, occurrence, ready_only)) {
                        continue;
                    }
                    advice_request request{{record->m_id, k, s, 0}, {}};
                    const auto known = state.m_advice.find(request.m_step);
                    request.m_workers = choose_asked(
                        state, step, known == state.m_advice.end() ? nullptr : &known->second,
                        tasks, now);
                    if (!request.m_workers.empty()) {
                        state.m_advice_pending = true;
                        return request;
                    }
                }
            }
        }
    }
    return std::nullopt;
}

void take_advice(shard& state, const advice_request& request,
                 const std::optional<advice_reply>& reply, time_point now)
{
    state.m_advice_pending = false;
    if (!reply) {
        state.m_next_advice = now + ask_pause;
        return;
    }
    const auto record = state.m_submissions.find(request.m_step.m_submission);
    if (record == state.m_submissions.end() || record->second->m_final_decided) {
        return;
    }
    const milliseconds validity = reply->m_validity > milliseconds(0)
                                      ? reply->m_validity
                                      : contract_of(state, *record->second).m_advice_validity;
    step_advice& known = state.m_advice[request.m_step];
    known.m_denied.insert(request.m_workers.begin(), request.m_workers.end());
    for (const worker_ticket& good : reply->m_good) {
        known.m_denied.erase(good.m_worker);
        known.m_tickets[good.m_worker] = {good.m_ticket, now + validity};
    }
    state.m_log_lines.push_back("advice taken: step=" + to_string(request.m_step) +
                                " asked=" + std::to_string(request.m_workers.size()) +
                                " good=" + std::to_string(reply->m_good.size()));
}

const std::string* find_ticket(const shard& state, const task_name& task, const worker_id& worker,
                               time_point now)
{
    const auto known = state.m_advice.find(step_of(task));
    if (known == state.m_advice.end()) {
        return nullptr;
    }
    const auto ticket = known->second.m_tickets.find(worker);
    if (ticket == known->second.m_tickets.end() ||
        ticket->second.m_expires_at < now + ticket_margin) {
        return nullptr;
    }
    return &ticket->second.m_ticket;
}

void drop_ticket(shard& state, const task_name& task, const worker_id& worker)
{
    const auto known = state.m_advice.find(step_of(task));
    if (known != state.m_advice.end()) {
        known->second.m_tickets.erase(worker);
        known->second.m_denied.erase(worker);
    }
}

void forget_advice(shard& state, const submission_id& id)
{
    auto it = state.m_advice.lower_bound({id, 0, 0, 0});
    while (it != state.m_advice.end() && it->first.m_submission == id) {
        it = state.m_advice.erase(it);
    }
}

} // namespace guavabay
