#include "schedule/advice.h"

#include <algorithm>

#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

/// Number of workers per request. Each worker adds to the response time of the service, and the
/// starts wait for the reply; too few permitted workers cost a further request. The platform
/// accepts up to 100 workers.
constexpr std::size_t min_workers_per_request = 4;
constexpr std::size_t max_workers_per_request = 24;

/// Delay before a failed request is repeated.
constexpr milliseconds request_retry_delay{200};

/// A ticket must stay valid for this long after the decision to start, about the time that an order
/// needs to reach the worker.
constexpr milliseconds min_ticket_validity{150};

/// A ticket is renewed when less than this time is left.
constexpr milliseconds ticket_renewal_margin{600};

/// Key of a task's step in shard::m_advice.
task_name step_key(const task_name& task)
{
    return {task.m_submission, task.m_occurrence, task.m_step, 0};
}

/// True when all tasks of the preceding steps are done or, unless `ready_only`, placed on a worker.
bool can_start_soon(const submission_step& step, const occurrence_state& occurrence,
                    bool ready_only)
{
    return std::all_of(step.m_after.begin(), step.m_after.end(), [&](std::uint32_t earlier) {
        const step_tasks& tasks = occurrence.m_steps[earlier];
        return tasks.m_unfinished == (ready_only ? 0 : count_placed(tasks));
    });
}

/// Counts the tasks of a step that have no worker yet.
std::size_t count_waiting_tasks(const step_tasks& tasks)
{
    return tasks.m_unfinished - count_placed(tasks);
}

/// Chooses the workers to request tickets for, those with most free cores first: workers not
/// queried yet, and workers whose ticket needs renewal. Empty when valid tickets cover all `tasks`.
std::vector<worker_id> choose_workers_to_query(const shard& state, const submission_step& step,
                                               const step_advice* advice, std::size_t tasks,
                                               time_point now)
{
    std::size_t valid_tickets = 0;
    std::vector<const worker_record*> candidates;
    for (const auto& [id, worker] : state.m_workers) {
        if (!accepts_starts(*worker, now) || !fits(step.m_demand, worker->m_info.m_capacity)) {
            continue;
        }
        if (advice != nullptr) {
            const auto ticket = advice->m_tickets.find(id);
            if (ticket != advice->m_tickets.end() &&
                ticket->second.m_expires_at > now + ticket_renewal_margin) {
                ++valid_tickets;
                continue;
            }
            if (ticket == advice->m_tickets.end() && advice->m_denied.contains(id)) {
                continue;
            }
        }
        candidates.push_back(worker.get());
    }
    std::vector<worker_id> chosen;
    if (valid_tickets >= tasks) {
        return chosen;
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const worker_record* left, const worker_record* right) {
                         return (left->m_info.m_capacity - left->m_reserved).m_cpu_millis >
                                (right->m_info.m_capacity - right->m_reserved).m_cpu_millis;
                     });
    const std::size_t count =
        std::clamp(tasks - valid_tickets, min_workers_per_request, max_workers_per_request);
    for (const worker_record* worker : candidates) {
        if (chosen.size() == count) {
            break;
        }
        chosen.push_back(worker->m_info.m_id);
    }
    return chosen;
}

} // namespace

std::optional<advice_request> next_advice_request(shard& state, time_point now)
{
    if (state.m_advice_pending || now < state.m_next_advice || !state.m_may_start) {
        return std::nullopt;
    }
    for (const bool ready_only : {true, false}) {
        for (const submission_record* record : state.m_ranked) {
            if (!contract_of(state, *record).m_needs_advice || record->m_final_decided) {
                continue;
            }
            for (const auto& [occurrence_index, occurrence] : record->m_occurrences) {
                for (std::uint32_t step_index = 0; step_index < occurrence.m_steps.size();
                     ++step_index) {
                    const submission_step& step = record->m_definition.m_steps[step_index];
                    const std::size_t tasks = count_waiting_tasks(occurrence.m_steps[step_index]);
                    if (!occurrence.m_due || tasks == 0 ||
                        !can_start_soon(step, occurrence, ready_only)) {
                        continue;
                    }
                    advice_request request{{record->m_id, occurrence_index, step_index, 0}, {}};
                    const auto advice = state.m_advice.find(request.m_step);
                    request.m_workers = choose_workers_to_query(
                        state, step, advice == state.m_advice.end() ? nullptr : &advice->second,
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

void apply_advice_reply(shard& state, const advice_request& request,
                        const std::optional<advice_reply>& reply, time_point now)
{
    state.m_advice_pending = false;
    if (!reply) {
        state.m_next_advice = now + request_retry_delay;
        return;
    }
    const auto record = state.m_submissions.find(request.m_step.m_submission);
    if (record == state.m_submissions.end() || record->second->m_final_decided) {
        return;
    }
    const milliseconds validity = reply->m_validity > milliseconds(0)
                                      ? reply->m_validity
                                      : contract_of(state, *record->second).m_advice_validity;
    step_advice& advice = state.m_advice[request.m_step];
    advice.m_denied.insert(request.m_workers.begin(), request.m_workers.end());
    for (const worker_ticket& permitted : reply->m_permitted) {
        advice.m_denied.erase(permitted.m_worker);
        advice.m_tickets[permitted.m_worker] = {permitted.m_ticket, now + validity};
    }
    state.m_log_lines.push_back("advice received: step=" + to_string(request.m_step) +
                                " requested=" + std::to_string(request.m_workers.size()) +
                                " permitted=" + std::to_string(reply->m_permitted.size()));
}

const std::string* find_ticket(const shard& state, const task_name& task, const worker_id& worker,
                               time_point now)
{
    const auto advice = state.m_advice.find(step_key(task));
    if (advice == state.m_advice.end()) {
        return nullptr;
    }
    const auto ticket = advice->second.m_tickets.find(worker);
    if (ticket == advice->second.m_tickets.end() ||
        ticket->second.m_expires_at < now + min_ticket_validity) {
        return nullptr;
    }
    return &ticket->second.m_ticket;
}

void invalidate_ticket(shard& state, const task_name& task, const worker_id& worker)
{
    const auto advice = state.m_advice.find(step_key(task));
    if (advice != state.m_advice.end()) {
        advice->second.m_tickets.erase(worker);
        advice->second.m_denied.erase(worker);
    }
}

void forget_advice_about(shard& state, const worker_id& worker)
{
    for (auto& [step, advice] : state.m_advice) {
        advice.m_tickets.erase(worker);
        advice.m_denied.erase(worker);
    }
}

void erase_advice(shard& state, const submission_id& id)
{
    auto it = state.m_advice.lower_bound({id, 0, 0, 0});
    while (it != state.m_advice.end() && it->first.m_submission == id) {
        it = state.m_advice.erase(it);
    }
}

} // namespace guavabay
