#include "node/contract_changes.h"

#include <algorithm>
#include <boost/json.hpp>

#include "contract/contract_parser.h"
#include "node/config_sync.h"
#include "node/operator_answers.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr std::size_t history_length = 16;
constexpr milliseconds retry_interval{100};
constexpr milliseconds spread_interval{200};

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

/// Tells the operator that a change is accepted as the version that its record has.
void answer_change(const pending_change& change, node_output& out)
{
    const revision accepted = change.m_record.m_revision;
    if (change.m_summary.empty()) {
        answer_accepted(change.m_request, accepted, true, out);
        return;
    }
    answer(change.m_request, {{"accepted", change.m_summary}, {"version", accepted.get()}}, out);
}

void answer_conflict(const operator_request& request, const config_record& record, node_output& out)
{
    const std::optional<contract_record> current = parse_contract_record(record.m_value);
    const std::string who = current ? current->m_operator : std::string("unknown");
    answer_error(request.m_number, error_kind::version_conflict,
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

/// Has a change that is in force here confirmed elsewhere. True when it is done.
bool begin_confirmation(node_state& node, pending_change& change, time_point now, node_output& out)
{
    out.m_log.push_back(
        {log_level::info, "config: change accepted key=" + change.m_record.m_key +
                              " version=" + std::to_string(change.m_record.m_revision.get())});
    if (!needs_confirmation(node, now)) {
        answer_change(change, out);
        return true;
    }
    change.m_stage = pending_change::stage::spreading;
    change.m_next_try = now + spread_interval;
    spread(node, change.m_record, now, out);
    return false;
}

/// Puts an accepted change in force here and has it confirmed elsewhere. True when it is done.
bool begin_spreading(node_state& node, pending_change& change, time_point now, wall_time wall,
                     node_output& out)
{
    merge_records(node, {change.m_record}, now, wall, out);
    return begin_confirmation(node, change, now, out);
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

/// Repeats what a change waits for. True when its time is up.
bool advance_waiting_change(node_state& node, pending_change& change, time_point now,
                            node_output& out)
{
    if (now >= change.m_deadline) {
        const bool spreading = change.m_stage == pending_change::stage::spreading;
        answer_error(change.m_request.m_number, error_kind::outcome_unknown,
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

void begin_apply(node_state& node, const operator_request& request, time_point now, wall_time wall,
                 node_output& out)
{
    std::vector<contract_fault> faults;
    std::optional<contract> terms = parse_contract(request.m_body, faults);
    if (!terms) {
        answer_error(request.m_number, error_kind::invalid_contract, describe(faults), out);
        return;
    }
    if (terms->m_customer != request.m_customer) {
        answer_error(request.m_number, error_kind::invalid_contract,
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
        answer_error(request.m_number, error_kind::not_found,
                     "no contract " + request.m_customer.str(), out);
        return;
    }
    if (terms->m_record.m_ended) {
        answer_accepted(request, terms->m_revision, false, out);
        return;
    }
    begin_change(node, request, terms->m_record.m_terms, true, now, wall, out);
}

void begin_wave_confirmation(node_state& node, std::uint64_t operator_call, config_record record,
                             std::string summary, time_point now, node_output& out)
{
    pending_change change;
    change.m_request.m_number = operator_call;
    change.m_summary = std::move(summary);
    change.m_record = std::move(record);
    change.m_deadline = now + node.m_settings.m_accept_patience;
    if (!begin_confirmation(node, change, now, out)) {
        node.m_changes.push_back(std::move(change));
    }
}

bool on_change_result(node_state& node, const store_result& result, time_point now, wall_time wall,
                      node_output& out)
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
        answer_change(change, out);
        return true;
    });
}

void on_change_tick(node_state& node, time_point now, node_output& out)
{
    std::erase_if(node.m_changes, [&](pending_change& change) {
        return advance_waiting_change(node, change, now, out);
    });
}

} // namespace guavabay
