#include "node/membership_duties.h"

#include <algorithm>
#include <set>

#include "core/json_fields.h"
#include "node/config_sync.h"

namespace guavabay {

namespace {

constexpr milliseconds heartbeat_interval{500};
constexpr milliseconds suspect_after{250}; ///< Silence after a probe that makes a host suspect.
constexpr std::size_t heartbeat_fanout = 3;

heartbeat_message make_heartbeat(const node_state& node, time_point now)
{
    return {node.m_members.self(), node.m_members.liveness_counts(now),
            node.m_config.total_digest()};
}

bool is_known_address(const node_state& node, const std::string& address)
{
    const auto& entries = node.m_members.entries();
    return std::any_of(entries.begin(), entries.end(), [&address](const auto& entry) {
        return entry.second.m_member.m_peer_address == address;
    });
}

/// Every other member that has not left, silent ones included, so that they are found again.
std::vector<host_id> other_members(const node_state& node)
{
    std::vector<host_id> others;
    for (const auto& [host, entry] : node.m_members.entries()) {
        const bool left = entry.m_member.m_phase == member_phase::left;
        if (host != node.m_settings.m_self.m_host && !left) {
            others.push_back(host);
        }
    }
    return others;
}

/// Addresses from the settings and from the store's list of entry hosts at which nobody is known.
std::set<std::string> addresses_to_greet(const node_state& node)
{
    std::set<std::string> addresses(node.m_settings.m_seed_addresses.begin(),
                                    node.m_settings.m_seed_addresses.end());
    node.m_config.for_each(std::string(member_prefix), [&addresses](const config_record& record) {
        const auto fields = parse_json_object(record.m_value);
        addresses.insert(fields ? text_field(*fields, "peer_address") : std::string());
    });
    addresses.erase("");
    std::erase_if(addresses,
                  [&node](const std::string& address) { return is_known_address(node, address); });
    return addresses;
}

} // namespace

void on_heartbeat_tick(node_state& node, time_point now, node_output& out)
{
    if (now < node.m_next_heartbeat) {
        return;
    }
    node.m_next_heartbeat = now + heartbeat_interval;
    node.m_members.beat(now);
    node.m_members.forget_departed(now);
    const heartbeat_message heartbeat = make_heartbeat(node, now);
    const std::vector<host_id> others = other_members(node);
    const std::size_t count = std::min(heartbeat_fanout, others.size());
    for (std::size_t i = 0; i < count; ++i) {
        out.m_sends.emplace_back(others[node.m_heartbeat_turn++ % others.size()], heartbeat);
    }
    for (const std::string& address : addresses_to_greet(node)) {
        out.m_address_sends.emplace_back(address, heartbeat);
    }
}

void announce(node_state& node, time_point now, node_output& out)
{
    const heartbeat_message heartbeat = make_heartbeat(node, now);
    for (const host_id& host : other_members(node)) {
        out.m_sends.emplace_back(host, heartbeat);
    }
}

void on_heartbeat(node_state& node, const host_id& from, const heartbeat_message& heartbeat,
                  time_point now, node_output& out)
{
    const bool is_new = node.m_members.find(from) == nullptr;
    node.m_members.merge(heartbeat.m_self, now);
    node.m_members.heard_from(from, heartbeat.m_self.m_incarnation, now);
    if (is_new) {
        out.m_sends.emplace_back(from, make_heartbeat(node, now));
    }
    member_ask_message ask;
    for (const liveness& count : heartbeat.m_counts) {
        if (!node.m_members.merge_liveness(count, now)) {
            ask.m_processes.push_back(count.m_process);
        }
    }
    if (!ask.m_processes.empty()) {
        out.m_sends.emplace_back(from, std::move(ask));
    }
    compare_digests(node, from, heartbeat.m_config_digest, now, out);
}

void on_member_ask(node_state& node, const host_id& from, const member_ask_message& ask,
                   node_output& out)
{
    member_tell_message tell;
    for (const std::uint32_t tag : ask.m_processes) {
        const member_entry* entry = node.m_members.find_process(tag);
        if (entry != nullptr) {
            tell.m_members.push_back(entry->m_member);
        }
    }
    out.m_sends.emplace_back(from, std::move(tell));
}

void probe_host(node_state& node, const host_id& host, time_point now, node_output& out)
{
    if (node.m_probes.try_emplace(host, now).second) {
        out.m_sends.emplace_back(host, probe_message{take_number(node)});
    }
}

void on_probe_tick(node_state& node, time_point now, node_output& out)
{
    for (auto it = node.m_probes.begin(); it != node.m_probes.end();) {
        const time_point heard = node.m_members.last_evidence(it->first).value_or(time_point{});
        const bool answered = heard > it->second;
        const bool late = now - it->second >= suspect_after;
        if (!answered && late) {
            node.m_members.suspect(it->first);
            out.m_log.push_back(
                {log_level::warning, "membership: host suspected host=" + it->first.str()});
        }
        it = answered || late ? node.m_probes.erase(it) : std::next(it);
    }
}

std::optional<host_id> host_by_hash(const node_state& node, std::uint64_t hash)
{
    for (const auto& [host, entry] : node.m_members.entries()) {
        if (stable_hash(host.str()) == hash) {
            return host;
        }
    }
    return std::nullopt;
}

} // namespace guavabay
