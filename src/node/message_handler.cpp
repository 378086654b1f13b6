#include "node/message_handler.h"

#include "node/config_sync.h"
#include "node/contract_changes.h"
#include "node/fleet_duties.h"
#include "node/key_duties.h"
#include "node/membership_duties.h"
#include "node/operator_work.h"
#include "node/service_queues.h"
#include "node/slot_client.h"
#include "node/task_duties.h"

namespace guavabay {

namespace {

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
    void operator()(const task_hint_message& message) const
    {
        on_task_hint(node(), message.m_pool);
    }
    void operator()(const pool_demand_message& message) const
    {
        on_pool_demand(node(), message, now());
    }

private:
    [[nodiscard]] node_state& node() const { return m_context.m_node; }
    [[nodiscard]] key_ledger& ledger() const { return m_context.m_node.m_ledger; }
    [[nodiscard]] time_point now() const { return m_context.m_now; }
    [[nodiscard]] node_output& out() const { return m_context.m_out; }
};

} // namespace

void handle_message(const step_context& context, const host_id& from, const peer_message& message)
{
    std::visit(message_handler{context, from}, message);
}

} // namespace guavabay
