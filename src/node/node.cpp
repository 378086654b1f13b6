#include "node/node.h"

#include <algorithm>

#include "node/config_sync.h"
#include "node/fleet_duties.h"
#include "node/key_duties.h"
#include "node/membership_duties.h"
#include "node/message_handler.h"
#include "node/operator_work.h"
#include "node/service_queues.h"
#include "node/slot_client.h"
#include "node/store_duties.h"
#include "node/task_duties.h"

namespace guavabay {

namespace {

constexpr seconds handover_patience{3};
constexpr std::size_t max_local_rounds = 16;

void take_packet(const step_context& context, const peer_packet& packet)
{
    node_state& node = context.m_node;
    const member_entry* entry = node.m_members.find(packet.m_sender);
    const bool outdated = entry != nullptr && packet.m_incarnation < entry->m_member.m_incarnation;
    if (outdated || packet.m_sender == node.m_settings.m_self.m_host) {
        return;
    }
    node.m_members.heard_from(packet.m_sender, packet.m_incarnation, context.m_now);
    node.m_last_outside_contact = context.m_now;
    for (const peer_message& message : packet.m_messages) {
        handle_message(context, packet.m_sender, message);
    }
}

void take_edge_event(const step_context& context, const edge_event& event)
{
    node_state& node = context.m_node;
    ledger_output decided;
    if (const auto* wanted = std::get_if<slot_wanted>(&event)) {
        on_slot_wanted(node, *wanted, context.m_now, context.m_wall, context.m_out);
    }
    else if (const auto* finished = std::get_if<slot_finished>(&event)) {
        on_slot_finished(node, *finished, context.m_now, context.m_wall, context.m_out);
    }
    else if (const auto* key = std::get_if<key_wanted>(&event)) {
        claim_key(node.m_ledger, key->m_record, key->m_allowed, make_ledger_context(context),
                  decided);
    }
    else if (const auto* end = std::get_if<key_finished>(&event)) {
        complete_key(node.m_ledger, end->m_record, make_ledger_context(context), decided);
    }
    append(context, decided);
}

void take_store_event(const step_context& context, const store_event& event)
{
    node_state& node = context.m_node;
    if (const auto* result = std::get_if<store_result>(&event)) {
        if (result->m_outcome != store_outcome::unknown) {
            node.m_last_outside_contact = context.m_now;
        }
        const bool taken = on_lease_result(node, *result, context.m_now, context.m_out) ||
                           on_fleet_result(node, *result, context.m_now, context.m_out) ||
                           on_task_result(node, *result, context.m_now, context.m_out);
        if (!taken) {
            on_operator_store_result(node, *result, context.m_now, context.m_wall, context.m_out);
        }
    }
    else if (const auto* update = std::get_if<store_update>(&event)) {
        on_store_update(node, *update, context.m_now, context.m_wall, context.m_out);
    }
    else if (const auto* state = std::get_if<store_reachability>(&event)) {
        on_store_reachability(node, *state, context.m_out);
    }
}

void begin_stop(const step_context& context)
{
    node_state& node = context.m_node;
    if (node.m_stopping) {
        return;
    }
    node.m_stopping = true;
    node.m_stop_since = context.m_now;
    node.m_members.set_phase(member_phase::leaving);
    drop_lost_ownerships(context);
    announce(node, context.m_now, context.m_out);
    context.m_out.m_log.push_back({log_level::info, "node: stopping"});
}

/// A process that was paused knows that its picture of the others is old.
void notice_pause(const step_context& context)
{
    node_state& node = context.m_node;
    const duration passed = context.m_now - node.m_last_tick;
    if (passed <= pause_limit) {
        return;
    }
    context.m_out.m_log.push_back(
        {log_level::warning, "node: was paused ms=" + std::to_string(passed.count() / 1000)});
    node.m_last_tick = context.m_now;
    node.m_members.grant_grace(context.m_now);
    node.m_brokers.clear();
    need_sync(node, context.m_now, context.m_out);
}

/// Delivers messages that this process sent to itself.
void deliver_local(const step_context& context)
{
    const host_id self = context.m_node.m_settings.m_self.m_host;
    for (std::size_t round = 0; round < max_local_rounds; ++round) {
        std::vector<peer_message> local;
        auto& sends = context.m_out.m_sends;
        const bool any = std::any_of(sends.begin(), sends.end(),
                                     [&self](const auto& send) { return send.first == self; });
        if (!any) {
            return;
        }
        const auto rest = std::stable_partition(
            sends.begin(), sends.end(), [&self](const auto& send) { return send.first != self; });
        for (auto it = rest; it != sends.end(); ++it) {
            local.push_back(std::move(it->second));
        }
        sends.erase(rest, sends.end());
        for (const peer_message& message : local) {
            handle_message(context, self, message);
        }
    }
}

} // namespace

void step(node_state& node, const node_event& event, time_point now, wall_time wall,
          node_output& out)
{
    const step_context context{node, now, wall, out};
    notice_pause(context);
    if (const auto* packet = std::get_if<packet_received>(&event)) {
        take_packet(context, packet->m_packet);
    }
    else if (const auto* edge = std::get_if<edge_event>(&event)) {
        take_edge_event(context, *edge);
    }
    else if (const auto* store = std::get_if<store_event>(&event)) {
        take_store_event(context, *store);
    }
    else if (const auto* request = std::get_if<operator_request>(&event)) {
        on_operator_request(node, *request, now, wall, out);
    }
    else if (std::holds_alternative<stop_wanted>(event)) {
        begin_stop(context);
    }
    else if (std::holds_alternative<edge_idle>(event)) {
        node.m_edge_idle = true;
    }
    follow_epoch_record(context);
    deliver_local(context);
}

void tick(node_state& node, time_point now, wall_time wall, node_output& out)
{
    const step_context context{node, now, wall, out};
    notice_pause(context);
    node.m_last_tick = now;
    on_sync_tick(node, now, out);
    if (!node.m_sync.m_needed && !node.m_stopping &&
        node.m_members.self().m_phase == member_phase::joining) {
        node.m_members.set_phase(member_phase::serving);
        announce(node, now, out);
        out.m_log.push_back({log_level::info, "node: serving"});
    }
    on_heartbeat_tick(node, now, out);
    on_probe_tick(node, now, out);
    on_lease_tick(node, now, out);
    on_epoch_tick(node, now, out);
    on_fleet_tick(node, now, wall, out);
    on_task_tick(node, now, wall, out);
    follow_epoch_record(context);
    deny_ended_customers(node, wall, out);
    on_slot_client_tick(node, now, out);
    tick_brokers(context);
    ledger_output decided;
    on_ledger_tick(node.m_ledger, make_ledger_context(context), decided);
    append(context, decided);
    on_operator_tick(node, now, wall, out);
    deliver_local(context);
}

bool is_fresh(const node_state& node, time_point now)
{
    return !node.m_sync.m_needed && now - node.m_last_tick <= pause_limit;
}

duration isolated_for(const node_state& node, time_point now)
{
    return now - node.m_last_outside_contact;
}

bool has_finished(const node_state& node)
{
    const bool idle = node.m_stopping && node.m_edge_idle && node.m_active.empty() &&
                      node.m_pending.empty() && node.m_changes.empty() && node.m_task_calls.empty();
    if (!idle) {
        return false;
    }
    const std::vector<epoch_member>& members = node.m_ledger.m_epoch.m_members;
    const host_id& self = node.m_settings.m_self.m_host;
    const bool keeps_keys = std::any_of(members.begin(), members.end(), [&](const auto& one) {
        return one.m_host == self && members.size() > 1;
    });
    const bool handed_over = node.m_ledger.m_entries.empty() || !keeps_keys;
    const bool settled = handed_over && node.m_ledger.m_completions.empty();
    return settled || node.m_last_tick - node.m_stop_since > handover_patience;
}

} // namespace guavabay
