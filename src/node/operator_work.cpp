#include "node/operator_work.h"

#include <algorithm>
#include <boost/json.hpp>

#include "contract/contract_parser.h"
#include "core/result.h"
#include "node/config_sync.h"
#include "node/departure_proof.h"
#include "node/fleet_duties.h"
#include "node/node.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr std::size_t history_length = 16;
constexpr milliseconds retry_interval{100};
constexpr milliseconds spread_interval{200};
constexpr milliseconds status_patience{600};
constexpr milliseconds status_interval{100};

void answer(const operator_request& request, const json::object& body, node_output& out)
{
    out.m_operators.push_back({request.m_number, std::nullopt, json::serialize(body)});
}

void answer_error(const operator_request& request, error_kind kind, std::string reason,
                  node_output& out)
{
    out.m_operators.push_back({request.m_number, kind, std::move(reason)});
}

/// Finds the revision at which an operation took effect in a record; empty when it did not.
std::optional<revision> revision_of_operation(const contract_record& record, revision current,
                                              const operation_id& operation)
{
    if (record.m_operation == operation) {
        return current;
    }
    for (const contract_change& change : record.m_history) {
        if (change.m_operation == operation) {
            return change.m_revision;
        }
    }
    return std::nullopt;
}

void answer_accepted(const operator_request& request, revision accepted, bool changed,
                     node_output& out)
{
    answer(request,
           {{"customer", request.m_customer.str()},
            {"version", accepted.get()},
            {"changed", changed},
            {"operation", request.m_operation.str()}},
           out);
}

void answer_conflict(const operator_request& request, const config_record& record, node_output& out)
{
    const std::optional<contract_record> current = parse_contract_record(record.m_value);
    const std::string who = current ? current->m_operator : std::string("unknown");
    answer_error(request, error_kind::version_conflict,
                 "changed by " + who + " at version " + std::to_string(record.m_revision.get()),
                 out);
}

void write_change(node_state& node, pending_change& change, time_point now, node_output& out)
{
    change.m_stage = pending_change::stage::writing;
    change.m_next_try = now + retry_interval;
    change.m_call = call_store(
        node, make_swap(change.m_record.m_key, change.m_base, change.m_record.m_value), out);
}

/// True when a peer outside this process's zone, or any peer where there is no such peer, may
/// confirm the change.
bool needs_confirmation(const node_state& node, time_point now)
{
    for (const auto& [host, entry] : node.m_members.entries()) {
        if (host != node.m_settings.m_self.m_host && node.m_members.is_alive(host, now)) {
            return true;
        }
    }
    return false;
}

bool has_peer_elsewhere(const node_state& node, time_point now)
{
    for (const auto& [host, entry] : node.m_members.entries()) {
        const bool elsewhere = entry.m_member.m_zone != node.m_settings.m_self.m_zone;
        if (elsewhere && node.m_members.is_alive(host, now)) {
            return true;
        }
    }
    return false;
}

void spread(const node_state& node, const config_record& record, time_point now, node_output& out)
{
    for (const auto& [host, entry] : node.m_members.entries()) {
        if (host != node.m_settings.m_self.m_host && node.m_members.is_alive(host, now)) {
            out.m_sends.emplace_back(host, record_message{{record}, true});
        }
    }
}

/// Puts an accepted change in force here and has it confirmed elsewhere. True when it is done.
bool begin_spreading(node_state& node, pending_change& change, time_point now, wall_time wall,
                     node_output& out)
{
    merge_records(node, {change.m_record}, now, wall, out);
    out.m_log.push_back(
        {log_level::info, "config: change accepted key=" + change.m_record.m_key +
                              " version=" + std::to_string(change.m_record.m_revision.get())});
    if (!needs_confirmation(node, now)) {
        answer_accepted(change.m_request, change.m_record.m_revision, true, out);
        return true;
    }
    change.m_stage = pending_change::stage::spreading;
    change.m_next_try = now + spread_interval;
    spread(node, change.m_record, now, out);
    return false;
}

/// Decides what a record in the store says about an operation whose own answer was lost or
/// refused. True when the change is done with.
bool settle_change(node_state& node, pending_change& change, const config_record& stored,
                   time_point now, wall_time wall, node_output& out)
{
    const std::optional<contract_record> current = parse_contract_record(stored.m_value);
    std::optional<revision> accepted;
    if (current) {
        accepted = revision_of_operation(*current, stored.m_revision, change.m_request.m_operation);
    }
    if (accepted && *accepted == stored.m_revision) {
        change.m_record.m_revision = *accepted;
        return begin_spreading(node, change, now, wall, out);
    }
    if (accepted) {
        merge_records(node, {stored}, now, wall, out);
        answer_accepted(change.m_request, *accepted, true, out);
        return true;
    }
    if (stored.m_revision == change.m_base) {
        write_change(node, change, now, out);
        return false;
    }
    merge_records(node, {stored}, now, wall, out);
    answer_conflict(change.m_request, stored, out);
    return true;
}

/// Takes the result of a change's store call. True when the change is done with.
bool advance_change(node_state& node, pending_change& change, const store_result& result,
                    time_point now, wall_time wall, node_output& out)
{
    change.m_call = 0;
    if (result.m_outcome == store_outcome::unknown) {
        change.m_stage = pending_change::stage::settling;
        change.m_next_try = now + retry_interval;
        return false;
    }
    const bool written =
        change.m_stage == pending_change::stage::writing && result.m_outcome == store_outcome::done;
    if (written) {
        change.m_record.m_revision = result.m_record.m_revision;
        return begin_spreading(node, change, now, wall, out);
    }
    return settle_change(node, change, result.m_record, now, wall, out);
}

void begin_change(node_state& node, const operator_request& request, contract terms, bool ended,
                  time_point now, wall_time wall, node_output& out)
{
    const std::string key = contract_key(request.m_customer);
    const config_record* known = node.m_config.find(key);
    contract_record next;
    next.m_terms = std::move(terms);
    next.m_ended = ended;
    next.m_operation = request.m_operation;
    next.m_operator = request.m_operator;
    next.m_changed_at = wall;
    pending_change change;
    change.m_request = request;
    if (known != nullptr) {
        const std::optional<contract_record> current = parse_contract_record(known->m_value);
        const std::optional<revision> earlier =
            revision_of_operation(*current, known->m_revision, request.m_operation);
        if (earlier) {
            answer_accepted(request, *earlier, true, out);
            return;
        }
        const bool same = current->m_ended == ended &&
                          format_contract(current->m_terms) == format_contract(next.m_terms);
        if (same) {
            answer_accepted(request, known->m_revision, false, out);
            return;
        }
        next.m_history = current->m_history;
        next.m_history.push_back({current->m_operation, known->m_revision});
        if (next.m_history.size() > history_length) {
            next.m_history.erase(next.m_history.begin());
        }
        change.m_base = known->m_revision;
    }
    if (request.m_expected && *request.m_expected != change.m_base) {
        answer_conflict(request, known == nullptr ? config_record{} : *known, out);
        return;
    }
    change.m_record = {key, {}, format_contract_record(next)};
    change.m_deadline = now + node.m_settings.m_accept_patience;
    write_change(node, change, now, out);
    node.m_changes.push_back(std::move(change));
}

void begin_apply(node_state& node, const operator_request& request, time_point now, wall_time wall,
                 node_output& out)
{
    std::vector<contract_fault> faults;
    std::optional<contract> terms = parse_contract(request.m_body, faults);
    if (!terms) {
        answer_error(request, error_kind::invalid_contract, describe(faults), out);
        return;
    }
    if (terms->m_customer != request.m_customer) {
        answer_error(request, error_kind::invalid_contract,
                     "/customer: differs from the name in the path", out);
        return;
    }
    begin_change(node, request, std::move(*terms), false, now, wall, out);
}

void begin_end(node_state& node, const operator_request& request, time_point now, wall_time wall,
               node_output& out)
{
    const contract_in_force* terms = find_contract(*node.m_view, request.m_customer);
    if (terms == nullptr) {
        answer_error(request, error_kind::not_found, "no contract " + request.m_customer.str(),
                     out);
        return;
    }
    if (terms->m_record.m_ended) {
        answer_accepted(request, terms->m_revision, false, out);
        return;
    }
    begin_change(node, request, terms->m_record.m_terms, true, now, wall, out);
}

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
        answer_error(request, error_kind::not_found, "no contract " + request.m_customer.str(),
                     out);
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

/// Repeats what a change waits for. True when its time is up.
bool advance_waiting_change(node_state& node, pending_change& change, time_point now,
                            node_output& out)
{
    if (now >= change.m_deadline) {
        const bool spreading = change.m_stage == pending_change::stage::spreading;
        answer_error(change.m_request, error_kind::outcome_unknown,
                     spreading ? "written as version " +
                                     std::to_string(change.m_record.m_revision.get()) +
                                     ", but no second host has confirmed it"
                               : "the store did not answer",
                     out);
        return true;
    }
    if (change.m_call != 0 || now < change.m_next_try) {
        return false;
    }
    if (change.m_stage == pending_change::stage::spreading) {
        change.m_next_try = now + spread_interval;
        spread(node, change.m_record, now, out);
        return false;
    }
    change.m_stage = pending_change::stage::settling;
    change.m_call = call_store(node, store_read{change.m_record.m_key}, out);
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
    case operator_verb::status:
    case operator_verb::proof:
        if (find_contract(*node.m_view, request.m_customer) == nullptr) {
            answer_error(request, error_kind::not_found, "no contract " + request.m_customer.str(),
                         out);
            return;
        }
        begin_status(node, request, now, wall);
        break;
    }
}

bool on_operator_store_result(node_state& node, const store_result& result, time_point now,
                              wall_time wall, node_output& out)
{
    for (auto it = node.m_changes.begin(); it != node.m_changes.end(); ++it) {
        if (it->m_call != result.m_number) {
            continue;
        }
        pending_change change = std::move(*it);
        node.m_changes.erase(it);
        if (!advance_change(node, change, result, now, wall, out)) {
            node.m_changes.push_back(std::move(change));
        }
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

void on_record_ack(node_state& node, const host_id& from, const record_ack_message& ack,
                   node_output& out)
{
    const member_entry* entry = node.m_members.find(from);
    if (entry == nullptr) {
        return;
    }
    const bool elsewhere = entry->m_member.m_zone != node.m_settings.m_self.m_zone;
    const time_point now = node.m_last_tick;
    std::erase_if(node.m_changes, [&](const pending_change& change) {
        if (change.m_stage != pending_change::stage::spreading) {
            return false;
        }
        const bool confirmed = std::any_of(
            ack.m_versions.begin(), ack.m_versions.end(), [&change](const config_version& version) {
                return version.m_key == change.m_record.m_key &&
                       version.m_revision >= change.m_record.m_revision;
            });
        if (!confirmed || (!elsewhere && has_peer_elsewhere(node, now))) {
            return false;
        }
        answer_accepted(change.m_request, change.m_record.m_revision, true, out);
        return true;
    });
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
    std::erase_if(node.m_changes, [&](pending_change& change) {
        return advance_waiting_change(node, change, now, out);
    });
    std::erase_if(node.m_statuses,
                  [&](pending_status& status) { return advance_status(node, status, now, out); });
}

} // namespace guavabay
