#include "node/node.h"

#include <algorithm>

#include "node/config_sync.h"
#include "node/fleet_duties.h"
#include "node/membership_duties.h"
#include "node/operator_work.h"
#include "node/slot_client.h"
#include "node/store_duties.h"

namespace guavabay {

namespace {

constexpr seconds handover_patience{3};
constexpr std::size_t max_local_rounds = 16;

/// The moment and the place of output that every handler of one step shares.
struct step_context {
    node_state& m_node;
    time_point m_now;
    wall_time m_wall;
    node_output& m_out;
};

contract_lookup make_lookup(const step_context& context)
{
    return [&context](const customer_id& customer) -> const contract* {
        const contract_in_force* terms = find_contract(*context.m_node.m_view, customer);
        const bool open = terms != nullptr && !access_refusal(*terms, context.m_wall);
        return open ? &terms->m_record.m_terms : nullptr;
    };
}

void append(node_output& out, broker_output& sends)
{
    for (auto& send : sends.m_sends) {
        out.m_sends.push_back(std::move(send));
    }
}

/// Finds this process's queue of a service, and takes the ownership up when it is new.
slot_broker& own_broker(const step_context& context, const service_id& service)
{
    node_state& node = context.m_node;
    const auto [it, added] = node.m_brokers.try_emplace(service);
    slot_broker& broker = it->second;
    if (added) {
        broker.m_service = service;
        apply_listings(broker.m_endpoints, node.m_listings[service]);
        std::vector<host_id> others;
        for (const auto& [host, entry] : node.m_members.entries()) {
            const bool alive = node.m_members.is_alive(host, context.m_now);
            if (alive && !entry.m_suspected && host != node.m_settings.m_self.m_host) {
                others.push_back(host);
            }
        }
        others.push_back(node.m_settings.m_self.m_host);
        broker_output sends;
        begin_ownership(broker, others, context.m_now, sends);
        append(context.m_out, sends);
        context.m_out.m_log.push_back(
            {log_level::info, "broker: ownership taken service=" + service.str()});
    }
    return broker;
}

bool owns(const node_state& node, const service_id& service, time_point now)
{
    return rendezvous_owner(node.m_members.serving(now), stable_hash(service.str())) ==
           node.m_settings.m_self.m_host;
}

ledger_context make_ledger_context(const step_context& context)
{
    const node_state& node = context.m_node;
    ledger_context result;
    result.m_self = node.m_settings.m_self.m_host;
    result.m_incarnation = node.m_settings.m_self.m_incarnation;
    result.m_now = context.m_now;
    result.m_epoch_valid = epoch_is_valid(node, context.m_now);
    result.m_origin_alive = [&node, now = context.m_now](std::uint64_t origin) {
        for (const auto& [host, entry] : node.m_members.entries()) {
            const std::uint64_t candidate = process_origin(host, entry.m_member.m_incarnation);
            if (candidate == origin) {
                return node.m_members.is_alive(host, now);
            }
        }
        return false;
    };
    return result;
}

void append(const step_context& context, ledger_output& decided)
{
    for (auto& send : decided.m_sends) {
        context.m_out.m_sends.push_back(std::move(send));
    }
    for (const claim_verdict& verdict : decided.m_verdicts) {
        context.m_out.m_edge.emplace_back(key_decided{verdict.m_request, verdict.m_kind,
                                                      verdict.m_http_status, verdict.m_valid_until,
                                                      context.m_node.m_ledger.m_epoch.m_number});
    }
}

void follow_epoch_record(const step_context& context)
{
    node_state& node = context.m_node;
    const config_record* record = node.m_config.find(std::string(epoch_key));
    if (record == nullptr || record->m_revision <= node.m_epoch_revision) {
        return;
    }
    node.m_epoch_revision = record->m_revision;
    const std::optional<epoch_record> next = parse_epoch(record->m_value);
    if (next) {
        enter_epoch(node.m_ledger, *next, make_ledger_context(context));
        context.m_out.m_log.push_back(
            {log_level::info, "epoch: entered number=" + std::to_string(next->m_number.get())});
    }
}

/// Handles each message of a packet, one overload for each kind of message.
struct message_handler {
    const step_context& m_context;
    const host_id& m_from;

    void operator()(const heartbeat_message& message) const
    {
        on_heartbeat(node(), m_from, message, now(), out());
    }
    void operator()(const member_ask_message& message) const
    {
        on_member_ask(node(), m_from, message, out());
    }
    void operator()(const member_tell_message& message) const
    {
        for (const member& one : message.m_members) {
            node().m_members.merge(one, now());
        }
    }
    void operator()(const record_message& message) const
    {
        on_records(node(), m_from, message, now(), m_context.m_wall, out());
    }
    void operator()(const record_ack_message& message) const
    {
        on_record_ack(node(), m_from, message, out());
    }
    void operator()(const digest_message& message) const
    {
        on_digest(node(), m_from, message, out());
    }
    void operator()(const version_message& message) const
    {
        on_versions(node(), m_from, message, now(), out());
    }
    void operator()(const record_ask_message& message) const
    {
        on_record_ask(node(), m_from, message, out());
    }
    void operator()(const probe_message& message) const
    {
        out().m_sends.emplace_back(m_from, probe_ack_message{message.m_nonce});
    }
    void operator()(const probe_ack_message& /*message*/) const {}
    void operator()(const slot_ask_message& message) const
    {
        if (!owns(node(), message.m_service, now())) {
            out().m_sends.emplace_back(m_from, slot_not_owner_message{message.m_request});
            const std::optional<host_id> silent = host_by_hash(node(), message.m_silent_owner);
            if (silent && *silent != node().m_settings.m_self.m_host) {
                probe_host(node(), *silent, now(), out());
            }
            return;
        }
        broker_output sends;
        slot_broker& broker = own_broker(m_context, message.m_service);
        on_slot_ask(broker, m_from, message, make_lookup(m_context), now(), sends);
        append(out(), sends);
    }
    void operator()(const slot_queued_message& message) const
    {
        on_slot_queued(node(), m_from, message, now());
    }
    void operator()(const slot_grant_message& message) const
    {
        on_slot_grant(node(), m_from, message, out());
    }
    void operator()(const slot_refusal_message& message) const
    {
        on_slot_refusal(node(), message, out());
    }
    void operator()(const slot_not_owner_message& message) const
    {
        on_slot_not_owner(node(), message, now());
    }
    void operator()(const slot_release_message& message) const
    {
        const auto broker = node().m_brokers.find(message.m_service);
        if (broker == node().m_brokers.end()) {
            return;
        }
        broker_output sends;
        on_slot_release(broker->second, message, make_lookup(m_context), now(), sends);
        append(out(), sends);
    }
    void operator()(const holdings_ask_message& message) const
    {
        out().m_sends.emplace_back(m_from, list_holdings(node(), message));
    }
    void operator()(const holdings_message& message) const
    {
        const auto broker = node().m_brokers.find(message.m_service);
        if (broker == node().m_brokers.end()) {
            return;
        }
        broker_output sends;
        on_holdings(broker->second, m_from, message, make_lookup(m_context), now(), sends);
        append(out(), sends);
    }
    void operator()(const status_ask_message& message) const
    {
        out().m_sends.emplace_back(
            m_from, describe_customer(node(), message.m_customer, message.m_ask, m_context.m_wall));
    }
    void operator()(const status_tell_message& message) const
    {
        on_status_tell(node(), m_from, message);
    }
    void operator()(const key_claim_message& message) const
    {
        ledger_output decided;
        on_key_claim(ledger(), m_from, message, make_ledger_context(m_context), decided);
        append(m_context, decided);
    }
    void operator()(const key_copy_message& message) const
    {
        ledger_output decided;
        on_key_copy(ledger(), m_from, message, make_ledger_context(m_context), decided);
        append(m_context, decided);
    }
    void operator()(const key_copied_message& message) const
    {
        ledger_output decided;
        on_key_copied(ledger(), m_from, message, decided);
        append(m_context, decided);
    }
    void operator()(const key_verdict_message& message) const
    {
        ledger_output decided;
        on_key_verdict(ledger(), message, decided);
        append(m_context, decided);
    }
    void operator()(const key_transfer_ask_message& message) const
    {
        ledger_output decided;
        on_key_transfer_ask(ledger(), m_from, message, make_ledger_context(m_context), decided);
        append(m_context, decided);
    }
    void operator()(const key_transfer_message& message) const
    {
        on_key_transfer(ledger(), m_from, message, make_ledger_context(m_context));
    }

private:
    [[nodiscard]] node_state& node() const { return m_context.m_node; }
    [[nodiscard]] key_ledger& ledger() const { return m_context.m_node.m_ledger; }
    [[nodiscard]] time_point now() const { return m_context.m_now; }
    [[nodiscard]] node_output& out() const { return m_context.m_out; }
};

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
        std::visit(message_handler{context, packet.m_sender}, message);
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
        finish_key(node.m_ledger, end->m_record, make_ledger_context(context), decided);
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
                           on_fleet_result(node, *result, context.m_now, context.m_out);
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

/// Gives up every queue that another process owns now.
void drop_lost_ownerships(const step_context& context)
{
    node_state& node = context.m_node;
    for (auto it = node.m_brokers.begin(); it != node.m_brokers.end();) {
        if (owns(node, it->first, context.m_now)) {
            ++it;
            continue;
        }
        for (const auto& [request, holder] : waiting_holders(it->second)) {
            context.m_out.m_sends.emplace_back(holder, slot_not_owner_message{request});
        }
        context.m_out.m_log.push_back(
            {log_level::info, "broker: ownership given up service=" + it->first.str()});
        it = node.m_brokers.erase(it);
    }
}

void tick_brokers(const step_context& context)
{
    drop_lost_ownerships(context);
    broker_output sends;
    for (auto& [service, broker] : context.m_node.m_brokers) {
        for (const host_id& holder : holders_of(broker)) {
            if (!context.m_node.m_members.is_alive(holder, context.m_now)) {
                on_holder_gone(broker, holder, context.m_now);
            }
        }
        on_broker_tick(broker, make_lookup(context), context.m_now, sends);
    }
    append(context.m_out, sends);
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
            std::visit(message_handler{context, self}, message);
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
                      node.m_pending.empty() && node.m_changes.empty();
    if (!idle) {
        return false;
    }
    const std::vector<epoch_member>& members = node.m_ledger.m_epoch.m_members;
    const host_id& self = node.m_settings.m_self.m_host;
    const bool keeps_keys = std::any_of(members.begin(), members.end(), [&](const auto& one) {
        return one.m_host == self && members.size() > 1;
    });
    const bool handed_over = node.m_ledger.m_kept.empty() || !keeps_keys;
    const bool settled = handed_over && node.m_ledger.m_finishes.empty();
    return settled || node.m_last_tick - node.m_stop_since > handover_patience;
}

} // namespace guavabay
