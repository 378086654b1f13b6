#include "app/control_loop.h"

#include "log/log.h"

namespace guavabay {

namespace {

constexpr std::size_t max_messages_per_packet = 32;

void write_log(const log_line& line)
{
    switch (line.m_level) {
    case log_level::info:
        log_info(line.m_text);
        break;
    case log_level::warning:
        log_warning(line.m_text);
        break;
    case log_level::error:
        log_error(line.m_text);
        break;
    }
}

} // namespace

control_loop::control_loop(asio::io_context& context, node_settings settings,
                           const ip_address& peer_address, peer_keys keys, control_outlets outlets,
                           shared_state& shared)
    : m_context(context), m_node(std::move(settings), read_clock()),
      m_link(
          context, peer_address, std::move(keys),
          [this](peer_packet&& packet) { take(packet_received{std::move(packet)}); },
          [this] { carry_out(); }),
      m_outlets(outlets), m_shared(shared)
{
}

void control_loop::start()
{
    asio::co_spawn(m_context, run_clock(), asio::detached);
}

void control_loop::take(node_event&& event)
{
    step(m_node, event, read_clock(), read_wall_clock(), m_out);
}

asio::awaitable<void> control_loop::run_clock()
{
    asio::steady_timer timer(m_context);
    while (!has_finished(m_node)) {
        tick(m_node, read_clock(), read_wall_clock(), m_out);
        carry_out();
        publish();
        timer.expires_after(tick_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
    m_node.m_members.set_phase(member_phase::left);
    for (int i = 0; i < 2; ++i) {
        node_output farewell;
        m_node.m_next_heartbeat = {};
        tick(m_node, read_clock(), read_wall_clock(), farewell);
        m_out = std::move(farewell);
        carry_out();
    }
    if (m_node.m_lease.m_lease != lease_id{}) {
        m_outlets.m_store->try_send(
            {take_number(m_node), store_revoke_lease{m_node.m_lease.m_lease}});
        timer.expires_after(milliseconds(200));
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
    log_info("node: left");
    m_context.stop();
}

void control_loop::carry_out()
{
    for (const log_line& line : m_out.m_log) {
        write_log(line);
    }
    m_view_unsent = m_view_unsent || m_out.m_view_changed;
    if (m_view_unsent) {
        m_view_unsent = !m_outlets.m_edge->try_send(m_node.m_view);
    }
    for (edge_answer& answer : m_out.m_edge) {
        m_outlets.m_edge->try_send(std::move(answer));
    }
    for (store_call& call : m_out.m_store) {
        m_outlets.m_store->try_send(std::move(call));
    }
    for (operator_answer& answer : m_out.m_operators) {
        m_outlets.m_operators->try_send(std::move(answer));
    }
    send_packets();
    send_address_packets();
    m_out.clear();
    if (m_node.m_stopping && !m_stop_sent) {
        m_stop_sent = m_outlets.m_edge->try_send(edge_stop{});
    }
}

void control_loop::send_packets()
{
    const member& self = m_node.m_members.self();
    for (auto& [host, message] : m_out.m_sends) {
        const member_entry* entry = m_node.m_members.find(host);
        if (entry == nullptr) {
            continue;
        }
        peer_packet& packet = m_packets[host];
        packet.m_messages.push_back(std::move(message));
        if (packet.m_messages.size() == max_messages_per_packet) {
            packet.m_sender = self.m_host;
            packet.m_incarnation = self.m_incarnation;
            m_link.send(entry->m_member.m_peer_address, packet);
            packet.m_messages.clear();
        }
    }
    for (auto& [host, packet] : m_packets) {
        if (packet.m_messages.empty()) {
            continue;
        }
        packet.m_sender = self.m_host;
        packet.m_incarnation = self.m_incarnation;
        m_link.send(m_node.m_members.find(host)->m_member.m_peer_address, packet);
        packet.m_messages.clear();
    }
}

void control_loop::send_address_packets()
{
    const member& self = m_node.m_members.self();
    for (auto& [address, message] : m_out.m_address_sends) {
        peer_packet packet{self.m_host, self.m_incarnation, {}};
        packet.m_messages.push_back(std::move(message));
        m_link.send(address, packet);
    }
}

void control_loop::publish()
{
    const peer_link_counts& counts = m_link.counts();
    m_shared.m_peer_sent_bytes.store(counts.m_sent_bytes);
    m_shared.m_peer_received_bytes.store(counts.m_received_bytes);
    m_shared.m_peer_rejected_packets.store(counts.m_rejected_packets);
    const time_point now = read_clock();
    const bool fresh = is_fresh(m_node, now);
    m_shared.m_ready.store(fresh && !m_node.m_stopping);
    if (fresh) {
        m_shared.m_fresh_until_us.store((now + pause_limit).time_since_epoch().count());
    }
}

} // namespace guavabay
