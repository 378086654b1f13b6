#include "node/departure_proof.h"

#include <algorithm>
#include <boost/json.hpp>

#include "contract/contract_parser.h"
#include "node/isolation.h"

namespace guavabay {

namespace json = boost::json;

namespace {

wall_time from_milliseconds(std::int64_t count)
{
    return wall_time(milliseconds(count));
}

json::object describe_answer(const host_id& host, const status_tell_message& tell)
{
    json::array endpoints;
    for (const endpoint_trace& trace : tell.m_endpoints) {
        endpoints.push_back(
            {{"endpoint", trace.m_endpoint.str()},
             {"last_end", format_wall_time(from_milliseconds(trace.m_last_end_ms))}});
    }
    return {{"host", host.str()},
            {"version_in_force", tell.m_in_force.get()},
            {"access", tell.m_access_open ? "open" : "closed"},
            {"waiting", static_cast<std::int64_t>(tell.m_waiting)},
            {"running", static_cast<std::int64_t>(tell.m_running)},
            {"confirmed_at", format_wall_time(from_milliseconds(tell.m_confirmed_at_ms))},
            {"endpoints", std::move(endpoints)}};
}

/// True when a silent member can no longer start a request of the customer: it left, the
/// operator vouches for it, or it has been cut off for longer than the contract lets it serve.
bool cannot_serve(const pending_status& status, const member_entry& entry,
                  const contract_in_force& terms, time_point now)
{
    const std::vector<host_id>& gone = status.m_request.m_assumed_gone;
    if (entry.m_member.m_phase == member_phase::left) {
        return true;
    }
    if (std::find(gone.begin(), gone.end(), entry.m_member.m_host) != gone.end()) {
        return true;
    }
    const duration silent = now - entry.m_last_evidence;
    const duration longest_run = longest_run_limit(terms.m_record.m_terms);
    return silent > isolation_limit(terms.m_record.m_terms) + longest_run;
}

/// What one member's answer leaves open; empty when nothing.
std::string missing_from(const host_id& host, const status_tell_message& tell,
                         const contract_in_force& terms, bool departure)
{
    if (tell.m_in_force < terms.m_revision) {
        return host.str() + ": has version " + std::to_string(tell.m_in_force.get());
    }
    if (departure && tell.m_access_open) {
        return host.str() + ": access is open";
    }
    if (departure && tell.m_waiting + tell.m_running > 0) {
        return host.str() + ": " + std::to_string(tell.m_waiting) + " waiting, " +
               std::to_string(tell.m_running) + " running";
    }
    return {};
}

/// Names each pool in which the customer still has tasks, or whose tasks nobody has counted.
void append_missing_pools(const node_state& node, const pending_status& status,
                          json::array& missing)
{
    std::map<pool_id, std::uint32_t> open;
    for (const auto& [host, tell] : status.m_answers) {
        for (const pool_trace& trace : tell.m_pools) {
            open[trace.m_pool] += trace.m_open_tasks;
        }
    }
    for (const pool_id& pool : node.m_pools) {
        const auto counted = open.find(pool);
        if (counted == open.end()) {
            missing.emplace_back("pool " + pool.str() + ": nobody has counted its tasks");
        }
        else if (counted->second > 0) {
            missing.emplace_back("pool " + pool.str() + ": " + std::to_string(counted->second) +
                                 " tasks");
        }
    }
}

} // namespace

bool finish_status(node_state& node, pending_status& status, time_point now, node_output& out)
{
    const operator_request& request = status.m_request;
    const contract_in_force* terms = find_contract(*node.m_view, request.m_customer);
    if (terms == nullptr) {
        out.m_operators.push_back({request.m_number, error_kind::not_found, "no such contract"});
        return true;
    }
    const bool departure = request.m_verb == operator_verb::proof;
    json::array hosts;
    json::array missing;
    for (const auto& [host, entry] : node.m_members.entries()) {
        const auto found = status.m_answers.find(host);
        if (found != status.m_answers.end()) {
            hosts.push_back(describe_answer(host, found->second));
            const std::string open = missing_from(host, found->second, *terms, departure);
            if (!open.empty()) {
                missing.emplace_back(open);
            }
        }
        else if (cannot_serve(status, entry, *terms, now)) {
            hosts.push_back({{"host", host.str()}, {"unable_to_serve", true}});
        }
        else {
            const double silent = to_milliseconds(now - entry.m_last_evidence);
            missing.emplace_back(host.str() + ": silent for " +
                                 std::to_string(static_cast<std::int64_t>(silent)) + " ms");
        }
    }
    if (departure) {
        append_missing_pools(node, status, missing);
    }
    if (departure && !terms->m_record.m_ended) {
        missing.emplace_back("the contract has not been ended");
    }
    const bool complete = missing.empty();
    json::object body{{"customer", request.m_customer.str()},
                      {"version", terms->m_revision.get()},
                      {"state", terms->m_record.m_ended ? "ended" : "active"},
                      {"changed_at", format_wall_time(terms->m_record.m_changed_at)},
                      {"in_force_everywhere", complete},
                      {"answered_by", node.m_settings.m_self.m_host.str()},
                      {"hosts", std::move(hosts)},
                      {"missing", std::move(missing)}};
    if (!departure || !complete) {
        if (departure) {
            body["proved"] = false;
        }
        out.m_operators.push_back({request.m_number, std::nullopt, json::serialize(body)});
        return true;
    }
    const std::string key = std::string(proof_prefix) + request.m_customer.str();
    const config_record* kept = node.m_config.find(key);
    if (kept != nullptr && json::parse(kept->m_value).as_object()["version"] == body["version"]) {
        out.m_operators.push_back({request.m_number, std::nullopt, kept->m_value});
        return true;
    }
    body["proved"] = true;
    status.m_proof = json::serialize(body);
    status.m_proof_call =
        call_store(node, make_swap(key, node.m_config.revision_of(key), status.m_proof), out);
    return false;
}

void finish_proof(const pending_status& status, const store_result& result, node_output& out)
{
    const std::uint64_t number = status.m_request.m_number;
    if (result.m_outcome == store_outcome::done) {
        out.m_operators.push_back({number, std::nullopt, status.m_proof});
        return;
    }
    const bool refused = result.m_outcome == store_outcome::refused;
    out.m_operators.push_back(
        {number, refused ? error_kind::version_conflict : error_kind::store_unavailable,
         "the proof is complete but is not kept in the store yet"});
}

} // namespace guavabay
