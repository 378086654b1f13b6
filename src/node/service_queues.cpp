#include "node/service_queues.h"

namespace guavabay {

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

bool owns(const node_state& node, const service_id& service, time_point now)
{
    return rendezvous_owner(node.m_members.serving(now), stable_hash(service.str())) ==
           node.m_settings.m_self.m_host;
}

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

void drop_lost_ownerships(const step_context& context)
{
    node_state& node = context.m_node;
    for (auto it = node.m_brokers.begin(); it != node.m_brokers.end();) {
        if (owns(node, it->first, context.m_now)) {
            ++it;
            continue;
        }
        for (const auto& [request, holder] : list_waiting_requests(it->second)) {
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
        for (const host_id& holder : find_entry_hosts(broker)) {
            if (!context.m_node.m_members.is_alive(holder, context.m_now)) {
                on_entry_host_lost(broker, holder, context.m_now);
            }
        }
        on_broker_tick(broker, make_lookup(context), context.m_now, sends);
    }
    append(context.m_out, sends);
}

} // namespace guavabay
