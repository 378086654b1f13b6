#include "node/operator_work.h"

#include <algorithm>
#include <boost/json.hpp>

#include "contract/contract_parser.h"
#include "core/result.h"
#include "node/contract_changes.h"
#include "node/departure_proof.h"
#include "node/fleet_duties.h"
#include "node/node.h"
#include "node/operator_answers.h"
#include "node/task_calls.h"
#include "node/task_duties.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr milliseconds status_patience{600};
constexpr milliseconds status_interval{100};

json::object describe_contract(const contract_in_force& terms)
{
    return {{"customer", terms.m_record.m_terms.m_customer.str()},
            {"version", terms.m_revision.get()},
            {"state", terms.m_record.m_ended ? "ended" : "active"},
            {"changed_by", terms.m_record.m_operator},
            {"changed_at", format_wall_time(terms.m_record.m_changed_at)},
            {"contract", json::parse(format_contract(terms.m_record.m_terms))}};
}

void answer_get(const node_state& node, const operator_request& request, node_output& out)
{
    const contract_in_force* terms = find_contract(*node.m_view, request.m_customer);
    if (terms == nullptr) {
        answer_error(request.m_number, error_kind::not_found,
                     "no contract " + request.m_customer.str(), out);
        return;
    }
    answer(request, describe_contract(*terms), out);
}

void answer_list(const node_state& node, const operator_request& request, node_output& out)
{
    json::array contracts;
    for (const auto& [customer, terms] : node.m_view->m_contracts) {
        contracts.push_back({{"customer", customer.str()},
                             {"version", terms.m_revision.get()},
                             {"state", terms.m_record.m_ended ? "ended" : "active"}});
    }
    json::array quarantined;
    for (const auto& [key, entry] : node.m_config.quarantined()) {
        quarantined.push_back(
            {{"key", key}, {"version", entry.m_revision.get()}, {"reason", entry.m_reason}});
    }
    answer(request, {{"contracts", std::move(contracts)}, {"unreadable", std::move(quarantined)}},
           out);
}

void answer_members(const node_state& node, const operator_request& request, time_point now,
                    node_output& out)
{
    constexpr std::array<const char*, 4> phases{"joining", "serving", "leaving", "left"};
    json::array members;
    for (const auto& [host, entry] : node.m_members.entries()) {
        members.push_back({{"host", host.str()},
                           {"zone", entry.m_member.m_zone.str()},
                           {"phase", phases.at(static_cast<std::size_t>(entry.m_member.m_phase))},
                           {"alive", node.m_members.is_alive(host, now)},
                           {"silent_ms", to_milliseconds(now - entry.m_last_evidence)}});
    }
    answer(request,
           {{"answered_by", node.m_settings.m_self.m_host.str()},
            {"store_reachable", node.m_store_reachable},
            {"fresh", is_fresh(node, now)},
            {"epoch", node.m_ledger.m_epoch.m_number.get()},
            {"members", std::move(members)}},
           out);
}

void begin_status(node_state& node, const operator_request& request, time_point now, wall_time wall)
{
    pending_status status;
    status.m_request = request;
    status.m_request.m_number = request.m_number;
    status.m_deadline = now + status_patience;
    const host_id& self = node.m_settings.m_self.m_host;
    status.m_answers[self] = describe_customer(node, request.m_customer, request.m_number, wall);
    node.m_statuses.push_back(std::move(status));
}

bool all_answered(const node_state& node, const pending_status& status, time_point now)
{
    for (const auto& [host, entry] : node.m_members.entries()) {
        if (node.m_members.is_alive(host, now) && !status.m_answers.contains(host)) {
            return false;
        }
    }
    return true;
}

/// Goes on with one question to all members. True when it is answered.
bool advance_status(node_state& node, pending_status& status, time_point now, node_output& out)
{
    if (status.m_proof_call != 0) {
        return false;
    }
    if (all_answered(node, status, now) || now >= status.m_deadline) {
        return finish_status(node, status, now, out);
    }
    if (now >= status.m_next_ask) {
        status.m_next_ask = now + status_interval;
        for (const auto& [host, entry] : node.m_members.entries()) {
            if (!status.m_answers.contains(host)) {
                out.m_sends.emplace_back(host, status_ask_message{status.m_request.m_number,
                                                                  status.m_request.m_customer});
            }
        }
    }
    return false;
}

} // namespace

void on_operator_request(node_state& node, const operator_request& request, time_point now,
                         wall_time wall, node_output& out)
{
    switch (request.m_verb) {
    case operator_verb::apply:
        begin_apply(node, request, now, wall, out);
        break;
    case operator_verb::end:
        begin_end(node, request, now, wall, out);
        break;
    case operator_verb::get:
        answer_get(node, request, out);
        break;
    case operator_verb::list:
        answer_list(node, request, out);
        break;
    case operator_verb::members:
        answer_members(node, request, now, out);
        break;
    case operator_verb::fleet_status:
    case operator_verb::host_move:
    case operator_verb::wave_start:
    case operator_verb::wave_pause:
    case operator_verb::wave_resume:
    case operator_verb::wave_status:
        on_fleet_request(node, request, wall, out);
        break;
    case operator_verb::task_submit:
    case operator_verb::task_cancel:
    case operator_verb::task_list:
    case operator_verb::task_explain:
        on_task_request(node, request, now, wall, out);
        break;
    case operator_verb::status:
    case operator_verb::proof:
        if (find_contract(*node.m_view, request.m_customer) == nullptr) {
            answer_error(request.m_number, error_kind::not_found,
                         "no contract " + request.m_customer.str(), out);
            return;
        }
        begin_status(node, request, now, wall);
        break;
    }
}

bool on_operator_store_result(node_state& node, const store_result& result, time_point now,
                              wall_time wall, node_output& out)
{
    if (on_change_result(node, result, now, wall, out) ||
        on_task_call_result(node, result, now, out)) {
        return true;
    }
    for (auto it = node.m_statuses.begin(); it != node.m_statuses.end(); ++it) {
        if (it->m_proof_call == result.m_number) {
            finish_proof(*it, result, out);
            node.m_statuses.erase(it);
            return true;
        }
    }
    return false;
}

status_tell_message describe_customer(const node_state& node, const customer_id& customer,
                                      std::uint64_t ask, wall_time wall)
{
    status_tell_message tell;
    tell.m_ask = ask;
    tell.m_confirmed_at_ms = wall.time_since_epoch().count();
    const contract_in_force* terms = find_contract(*node.m_view, customer);
    if (terms != nullptr) {
        tell.m_in_force = terms->m_revision;
        tell.m_access_open = !access_refusal(*terms, wall);
    }
    const auto trace = node.m_traces.find(customer);
    if (trace != node.m_traces.end()) {
        tell.m_waiting = trace->second.m_waiting;
        tell.m_running = trace->second.m_running;
        for (const auto& [endpoint, end] : trace->second.m_last_end_ms) {
            tell.m_endpoints.push_back({endpoint, end});
        }
    }
    tell.m_pools = list_open_tasks(node, customer, tell.m_in_force);
    return tell;
}

void on_status_tell(node_state& node, const host_id& from, const status_tell_message& tell)
{
    for (pending_status& status : node.m_statuses) {
        if (status.m_request.m_number == tell.m_ask) {
            status.m_answers[from] = tell;
        }
    }
}

void on_operator_tick(node_state& node, time_point now, wall_time wall, node_output& out)
{
    (void)wall;
    on_change_tick(node, now, out);
    on_task_call_tick(node, now, out);
    std::erase_if(node.m_statuses,
                  [&](pending_status& status) { return advance_status(node, status, now, out); });
}

} // namespace guavabay
