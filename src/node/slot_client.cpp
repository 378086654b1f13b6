#include "node/slot_client.h"

#include <algorithm>

#include "node/isolation.h"
#include "node/membership_duties.h"
#include "node/node.h"

namespace guavabay {

namespace {

constexpr milliseconds ask_interval{50};
constexpr milliseconds queued_interval{500};
constexpr milliseconds probe_after{200}; ///< Silence of an owner after which it is probed.

std::optional<host_id> owner_of(const node_state& node, const service_id& service, time_point now)
{
    return rendezvous_owner(node.m_members.serving(now), stable_hash(service.str()));
}

void send_ask(node_state& node, pending_ask& ask, time_point now, node_output& out)
{
    ask.m_next_send = now + ask_interval;
    const std::optional<host_id> owner = owner_of(node, ask.m_wanted.m_service, now);
    if (!owner) {
        return;
    }
    if (ask.m_owner != *owner) {
        ask.m_owner = *owner;
        ask.m_unanswered_since = now;
    }
    else if (ask.m_unanswered_since == time_point{}) {
        ask.m_unanswered_since = now;
    }
    slot_ask_message message;
    message.m_request = ask.m_wanted.m_request;
    message.m_service = ask.m_wanted.m_service;
    message.m_customer = ask.m_wanted.m_customer;
    message.m_zone = node.m_settings.m_self.m_zone;
    message.m_waited_us = (now - ask.m_arrived).count();
    message.m_remaining_us = (ask.m_deadline - now).count();
    message.m_excluded = ask.m_wanted.m_excluded;
    message.m_silent_owner = ask.m_silent_owner;
    out.m_sends.emplace_back(*owner, std::move(message));
}

void deny(node_state& node, const request_id& request, error_kind kind, node_output& out)
{
    const auto found = node.m_pending.find(request);
    if (found == node.m_pending.end()) {
        return;
    }
    --node.m_traces[found->second.m_wanted.m_customer].m_waiting;
    node.m_pending.erase(found);
    out.m_edge.emplace_back(slot_denied{request, kind});
}

void withdraw(const pending_ask& ask, node_output& out)
{
    if (ask.m_owner.empty()) {
        return;
    }
    slot_release_message release;
    release.m_request = ask.m_wanted.m_request;
    release.m_service = ask.m_wanted.m_service;
    release.m_outcome = slot_outcome::unused;
    out.m_sends.emplace_back(ask.m_owner, std::move(release));
}

/// Why a request may not start at this process now; empty when it may.
std::optional<error_kind> refusal_here(const node_state& node, const customer_id& customer,
                                       time_point now, wall_time wall)
{
    if (!is_fresh(node, now)) {
        return error_kind::not_ready;
    }
    const contract_in_force* terms = find_contract(*node.m_view, customer);
    if (terms == nullptr) {
        return error_kind::no_contract;
    }
    const std::optional<error_kind> closed = access_refusal(*terms, wall);
    if (closed) {
        return closed;
    }
    if (stops_when_isolated(terms->m_record.m_terms, isolated_for(node, now))) {
        return error_kind::isolated;
    }
    return std::nullopt;
}

/// Probes an owner that does not answer.
void watch_owner(node_state& node, pending_ask& ask, time_point now, node_output& out)
{
    const host_id& owner = ask.m_owner;
    const bool unanswered = ask.m_unanswered_since != time_point{};
    if (!unanswered || owner == node.m_settings.m_self.m_host ||
        now - ask.m_unanswered_since < probe_after) {
        return;
    }
    ask.m_silent_owner = stable_hash(owner.str());
    probe_host(node, owner, now, out);
}

} // namespace

void on_slot_wanted(node_state& node, const slot_wanted& wanted, time_point now, wall_time wall,
                    node_output& out)
{
    const std::optional<error_kind> refusal = refusal_here(node, wanted.m_customer, now, wall);
    if (refusal) {
        out.m_edge.emplace_back(slot_denied{wanted.m_request, *refusal});
        return;
    }
    pending_ask& ask = node.m_pending[wanted.m_request];
    ask.m_wanted = wanted;
    ask.m_arrived = now;
    ask.m_deadline = now + wanted.m_allowed;
    ++node.m_traces[wanted.m_customer].m_waiting;
    send_ask(node, ask, now, out);
}

void on_slot_finished(node_state& node, const slot_finished& finished, time_point now,
                      wall_time wall, node_output& out)
{
    const auto waiting = node.m_pending.find(finished.m_request);
    if (waiting != node.m_pending.end()) {
        withdraw(waiting->second, out);
        --node.m_traces[waiting->second.m_wanted.m_customer].m_waiting;
        node.m_pending.erase(waiting);
        return;
    }
    const auto found = node.m_active.find(finished.m_request);
    if (found == node.m_active.end()) {
        return;
    }
    const active_slot& slot = found->second;
    customer_trace& trace = node.m_traces[slot.m_wanted.m_customer];
    --trace.m_running;
    if (finished.m_outcome != slot_outcome::unused) {
        trace.m_last_end_ms[slot.m_endpoint] = wall.time_since_epoch().count();
    }
    slot_release_message release;
    release.m_request = finished.m_request;
    release.m_service = slot.m_wanted.m_service;
    release.m_endpoint = slot.m_endpoint;
    release.m_outcome = finished.m_outcome;
    release.m_run_us = finished.m_run.count();
    const host_id owner = owner_of(node, slot.m_wanted.m_service, now).value_or(slot.m_owner);
    out.m_sends.emplace_back(owner, std::move(release));
    node.m_active.erase(found);
}

void on_slot_grant(node_state& node, const host_id& from, const slot_grant_message& grant,
                   node_output& out)
{
    if (node.m_active.contains(grant.m_request)) {
        return;
    }
    const auto found = node.m_pending.find(grant.m_request);
    if (found == node.m_pending.end()) {
        slot_release_message release;
        release.m_request = grant.m_request;
        release.m_service = grant.m_service;
        release.m_endpoint = grant.m_endpoint;
        release.m_outcome = slot_outcome::unused;
        out.m_sends.emplace_back(from, std::move(release));
        return;
    }
    customer_trace& trace = node.m_traces[found->second.m_wanted.m_customer];
    --trace.m_waiting;
    ++trace.m_running;
    node.m_active[grant.m_request] = {std::move(found->second.m_wanted), grant.m_endpoint, from};
    node.m_pending.erase(found);
    out.m_edge.emplace_back(slot_given{grant.m_request, grant.m_endpoint, grant.m_address});
}

void on_slot_refusal(node_state& node, const slot_refusal_message& refusal, node_output& out)
{
    deny(node, refusal.m_request, refusal.m_kind, out);
}

void on_slot_queued(node_state& node, const host_id& from, const slot_queued_message& queued,
                    time_point now)
{
    const auto found = node.m_pending.find(queued.m_request);
    if (found != node.m_pending.end() && found->second.m_owner == from) {
        found->second.m_unanswered_since = time_point{};
        found->second.m_next_send = now + queued_interval;
    }
}

void on_slot_not_owner(node_state& node, const slot_not_owner_message& refusal, time_point now)
{
    const auto found = node.m_pending.find(refusal.m_request);
    if (found != node.m_pending.end()) {
        found->second.m_unanswered_since = time_point{};
        found->second.m_next_send = now + ask_interval;
    }
}

holdings_message list_holdings(const node_state& node, const holdings_ask_message& ask)
{
    holdings_message holdings{ask.m_service, ask.m_asked_at_us, {}};
    for (const auto& [id, slot] : node.m_active) {
        if (slot.m_wanted.m_service == ask.m_service) {
            holdings.m_held.push_back({id, slot.m_wanted.m_customer, slot.m_endpoint});
        }
    }
    return holdings;
}

void on_slot_client_tick(node_state& node, time_point now, node_output& out)
{
    std::vector<request_id> expired;
    for (auto& [id, ask] : node.m_pending) {
        if (ask.m_deadline <= now) {
            expired.push_back(id);
            continue;
        }
        watch_owner(node, ask, now, out);
        const std::optional<host_id> owner = owner_of(node, ask.m_wanted.m_service, now);
        const bool moved = owner && *owner != ask.m_owner;
        if (moved || ask.m_next_send <= now) {
            send_ask(node, ask, now, out);
        }
    }
    std::sort(expired.begin(), expired.end());
    for (const request_id& id : expired) {
        const pending_ask& ask = node.m_pending.at(id);
        withdraw(ask, out);
        const bool silent = ask.m_unanswered_since != time_point{};
        deny(node, id, silent ? error_kind::owner_unreachable : error_kind::deadline_expired, out);
    }
}

void deny_ended_customers(node_state& node, wall_time wall, node_output& out)
{
    std::vector<std::pair<request_id, error_kind>> ended;
    for (const auto& [id, ask] : node.m_pending) {
        const contract_in_force* terms = find_contract(*node.m_view, ask.m_wanted.m_customer);
        const std::optional<error_kind> closed =
            terms == nullptr ? error_kind::no_contract : access_refusal(*terms, wall);
        if (closed) {
            ended.emplace_back(id, *closed);
        }
    }
    for (const auto& [id, kind] : ended) {
        withdraw(node.m_pending.at(id), out);
        deny(node, id, kind, out);
    }
}

} // namespace guavabay
