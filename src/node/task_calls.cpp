#include "node/task_calls.h"

#include <algorithm>
#include <boost/json.hpp>

#include "core/json_fields.h"
#include "core/result.h"
#include "fleet/task_accounting.h"
#include "fleet/task_record.h"
#include "node/operator_answers.h"
#include "node/task_duties.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr milliseconds retry_interval{200};
constexpr std::size_t most_listed = 1000;
constexpr std::size_t longest_name = 64;

bool is_name(const std::string& text)
{
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.size() <= longest_name &&
           text.find_first_not_of(allowed) == std::string::npos;
}

/// Capacities of the hosts of a pool, as last reported.
std::vector<resources> capacities_of(const node_state& node, const pool_id& pool)
{
    std::vector<resources> capacities;
    for (const auto& [id, host] : node.m_fleet.m_hosts) {
        const auto report = node.m_fleet.m_reports.find(id);
        if (host.m_pool == pool && report != node.m_fleet.m_reports.end()) {
            capacities.push_back(report->second.m_capacity);
        }
    }
    return capacities;
}

void answer_task(const operator_request& request, const task& one, node_output& out)
{
    answer(request,
           {{"task", request.m_task.str()},
            {"pool", request.m_pool.str()},
            {"state", one.m_cancel_requested && !is_final(one.m_state) ? "cancelled"
                                                                       : to_string(one.m_state)},
            {"reason", one.m_reason}},
           out);
}

void write(node_state& node, task_call& call, time_point now, node_output& out)
{
    call.m_reading = false;
    call.m_next_try = now + retry_interval;
    call.m_call = call_store(node,
                             make_swap(task_key(call.m_request.m_pool, call.m_request.m_task),
                                       call.m_wanted.m_revision, format_task(call.m_wanted)),
                             out);
}

void read(node_state& node, task_call& call, time_point now, node_output& out)
{
    call.m_reading = true;
    call.m_next_try = now + retry_interval;
    call.m_call =
        call_store(node, store_read{task_key(call.m_request.m_pool, call.m_request.m_task)}, out);
}

void hint_holder(node_state& node, const pool_id& pool, time_point now, node_output& out)
{
    const std::optional<host_id> owner = task_duty_owner(node, pool, now);
    if (owner) {
        out.m_sends.emplace_back(*owner, task_hint_message{pool});
    }
}

/// Why a submission is refused at once; empty with no kind when it is not.
std::optional<error_kind> refusal_of(const node_state& node, const task& wanted, wall_time wall,
                                     std::string& reason)
{
    const contract_in_force* terms = find_contract(*node.m_view, wanted.m_customer);
    if (terms == nullptr) {
        reason = "no contract " + wanted.m_customer.str();
        return error_kind::no_contract;
    }
    const std::optional<error_kind> access = access_refusal(*terms, wall);
    if (access) {
        reason = wanted.m_customer.str();
        return access;
    }
    reason = find_impossible_reason(wanted, terms->m_record.m_terms.m_tasks,
                                    capacities_of(node, wanted.m_pool));
    return reason.empty() ? std::nullopt : std::optional(error_kind::task_impossible);
}

void begin_submit(node_state& node, const operator_request& request, time_point now, wall_time wall,
                  node_output& out)
{
    std::optional<task> wanted = parse_submission(request.m_pool, request.m_task, request.m_body);
    if (!wanted) {
        answer_error(request.m_number, error_kind::bad_request, last_reason(), out);
        return;
    }
    std::string reason;
    const std::optional<error_kind> refusal = refusal_of(node, *wanted, wall, reason);
    if (refusal) {
        answer_error(request.m_number, *refusal, reason, out);
        return;
    }
    task_call call;
    call.m_request = request;
    call.m_wanted = std::move(*wanted);
    call.m_deadline = now + node.m_settings.m_accept_patience;
    write(node, call, now, out);
    node.m_task_calls.push_back(std::move(call));
}

void begin_cancel(node_state& node, const operator_request& request, time_point now,
                  node_output& out)
{
    task_call call;
    call.m_request = request;
    call.m_deadline = now + node.m_settings.m_accept_patience;
    read(node, call, now, out);
    node.m_task_calls.push_back(std::move(call));
}

/// Goes on with a submission after its write. True when it is answered.
bool settle_submit(task_call& call, const store_result& result, node_output& out)
{
    if (result.m_outcome == store_outcome::done) {
        answer_task(call.m_request, call.m_wanted, out);
        return true;
    }
    const operator_request& request = call.m_request;
    const auto stored = parse_task(request.m_pool, request.m_task, result.m_record.m_value);
    if (!stored) {
        return false;
    }
    if (has_same_request(*stored, call.m_wanted)) {
        answer_task(request, *stored, out);
    }
    else {
        answer_error(request.m_number, error_kind::task_differs, request.m_task.str(), out);
    }
    return true;
}

/// Goes on with a cancellation. True when it is answered.
bool settle_cancel(node_state& node, task_call& call, const store_result& result, time_point now,
                   node_output& out)
{
    const operator_request& request = call.m_request;
    if (!call.m_reading && result.m_outcome == store_outcome::done) {
        answer_task(request, call.m_wanted, out);
        return true;
    }
    if (result.m_record.m_value.empty()) {
        answer_error(request.m_number, error_kind::not_found, "no task " + request.m_task.str(),
                     out);
        return true;
    }
    std::optional<task> stored =
        parse_task(request.m_pool, request.m_task, result.m_record.m_value);
    if (!stored) {
        answer_error(request.m_number, error_kind::bad_request,
                     "the record is unreadable: " + last_reason(), out);
        return true;
    }
    if (is_final(stored->m_state) || stored->m_cancel_requested) {
        answer_task(request, *stored, out);
        return true;
    }
    call.m_wanted = std::move(*stored);
    call.m_wanted.m_revision = result.m_record.m_revision;
    call.m_wanted.m_cancel_requested = true;
    write(node, call, now, out);
    return false;
}

/// Takes the result of the store call of one task call. True when it is answered.
bool advance_call(node_state& node, task_call& call, const store_result& result, time_point now,
                  node_output& out)
{
    call.m_call = 0;
    if (result.m_outcome == store_outcome::unknown) {
        return false;
    }
    const bool answered = call.m_request.m_verb == operator_verb::task_submit
                              ? settle_submit(call, result, out)
                              : settle_cancel(node, call, result, now, out);
    if (answered) {
        hint_holder(node, call.m_request.m_pool, now, out);
    }
    return answered;
}

void answer_list(const task_duty& duty, const operator_request& request, node_output& out)
{
    std::map<std::string, std::int64_t> counts;
    std::map<task_id, const task*> sorted;
    for (const auto& [id, one] : duty.m_board.m_tasks) {
        ++counts[to_string(one.m_state)];
        sorted[id] = &one;
    }
    json::array tasks;
    for (const auto& [id, one] : sorted) {
        if (tasks.size() == most_listed) {
            break;
        }
        tasks.push_back({{"task", id.str()},
                         {"customer", one->m_customer.str()},
                         {"state", to_string(one->m_state)},
                         {"worker", one->m_worker.str()},
                         {"reason", one->m_reason}});
    }
    json::object states;
    for (const auto& [state, count] : counts) {
        states[state] = count;
    }
    answer(request,
           {{"pool", request.m_pool.str()},
            {"workers", static_cast<std::int64_t>(duty.m_board.m_workers.size())},
            {"states", std::move(states)},
            {"tasks", std::move(tasks)}},
           out);
}

void answer_from_board(const node_state& node, const operator_request& request, node_output& out)
{
    const task_duty* duty = find_ready_duty(node, request.m_pool);
    if (duty == nullptr) {
        const config_record* record = node.m_config.find(task_duty_key(request.m_pool));
        const auto holder = record == nullptr ? std::nullopt : parse_json_object(record->m_value);
        answer_error(request.m_number, error_kind::owner_unreachable,
                     "the tasks of pool " + request.m_pool.str() + " are with " +
                         (holder ? text_field(*holder, "holder") : std::string("nobody")),
                     out);
        return;
    }
    if (request.m_verb == operator_verb::task_list) {
        answer_list(*duty, request, out);
        return;
    }
    const auto found = duty->m_board.m_tasks.find(request.m_task);
    if (found == duty->m_board.m_tasks.end()) {
        answer_error(request.m_number, error_kind::not_found, "no task " + request.m_task.str(),
                     out);
        return;
    }
    answer(request,
           {{"task", request.m_task.str()},
            {"pool", request.m_pool.str()},
            {"customer", found->second.m_customer.str()},
            {"attempt", static_cast<std::int64_t>(found->second.m_attempt)},
            {"state", to_string(found->second.m_state)},
            {"explanation", explain_task(duty->m_board, request.m_task)}},
           out);
}

} // namespace

void on_task_request(node_state& node, const operator_request& request, time_point now,
                     wall_time wall, node_output& out)
{
    const bool names_task = request.m_verb != operator_verb::task_list;
    if (!is_name(request.m_pool.str()) || (names_task && !is_name(request.m_task.str()))) {
        answer_error(request.m_number, error_kind::bad_request,
                     "a pool or task is named by up to 64 letters, digits, '-', '_' and '.'", out);
        return;
    }
    if (request.m_verb == operator_verb::task_submit) {
        begin_submit(node, request, now, wall, out);
    }
    else if (request.m_verb == operator_verb::task_cancel) {
        begin_cancel(node, request, now, out);
    }
    else {
        answer_from_board(node, request, out);
    }
}

bool on_task_call_result(node_state& node, const store_result& result, time_point now,
                         node_output& out)
{
    const auto found =
        std::find_if(node.m_task_calls.begin(), node.m_task_calls.end(),
                     [&result](const task_call& call) { return call.m_call == result.m_number; });
    if (found == node.m_task_calls.end()) {
        return false;
    }
    if (advance_call(node, *found, result, now, out)) {
        node.m_task_calls.erase(found);
    }
    return true;
}

void on_task_call_tick(node_state& node, time_point now, node_output& out)
{
    std::erase_if(node.m_task_calls, [&](task_call& call) {
        if (now >= call.m_deadline) {
            answer_error(call.m_request.m_number, error_kind::outcome_unknown,
                         "the store did not answer", out);
            return true;
        }
        if (call.m_call != 0 || now < call.m_next_try) {
            return false;
        }
        const bool submits = call.m_request.m_verb == operator_verb::task_submit;
        if (submits) {
            write(node, call, now, out);
        }
        else {
            read(node, call, now, out);
        }
        return false;
    });
}

} // namespace guavabay
