#include "node/config_sync.h"

#include <set>

#include "node/fleet_records.h"
#include "node/slot_client.h"

namespace guavabay {

namespace {

constexpr milliseconds digest_interval{200};
constexpr milliseconds sync_interval{200};
constexpr milliseconds peer_patience{1000}; ///< Wait for a serving peer before the store suffices.
constexpr std::size_t sync_fanout = 3;
constexpr std::size_t records_per_message = 200;

void send_records(const node_state& node, const host_id& to, const std::vector<std::string>& keys,
                  node_output& out)
{
    record_message message;
    for (const std::string& key : keys) {
        const config_record* record = node.m_config.find_any(key);
        if (record == nullptr) {
            continue;
        }
        message.m_records.push_back(*record);
        if (message.m_records.size() == records_per_message) {
            out.m_sends.emplace_back(to, message);
            message.m_records.clear();
        }
    }
    if (!message.m_records.empty()) {
        out.m_sends.emplace_back(to, std::move(message));
    }
}

void refresh_listings(node_state& node)
{
    node.m_listings.clear();
    node.m_config.for_each(std::string(endpoint_prefix), [&node](const config_record& record) {
        std::optional<endpoint_listing> listing = parse_endpoint(record.m_key, record.m_value);
        if (listing) {
            node.m_listings[listing->m_service].push_back(std::move(*listing));
        }
    });
    for (auto& [service, broker] : node.m_brokers) {
        apply_listings(broker.m_endpoints, node.m_listings[service]);
    }
}

void refuse_ended_in_brokers(node_state& node, node_output& out)
{
    broker_output sends;
    for (const auto& [customer, terms] : node.m_view->m_contracts) {
        if (!terms.m_record.m_ended) {
            continue;
        }
        for (auto& [service, broker] : node.m_brokers) {
            on_customer_ended(broker, customer, sends);
        }
    }
    for (auto& send : sends.m_sends) {
        out.m_sends.push_back(std::move(send));
    }
}

bool is_serving_peer(const node_state& node, const host_id& host)
{
    const member_entry* entry = node.m_members.find(host);
    return entry != nullptr && entry->m_member.m_phase == member_phase::serving;
}

/// Records that this process knows and a full view of the store does not show were removed,
/// unless the view is older than what is known. Contracts are never removed.
std::vector<config_record> removed_since(const node_state& node, const store_update& update)
{
    std::vector<config_record> removed;
    if (!update.m_full || update.m_revision < node.m_config.newest()) {
        return removed;
    }
    for (const std::string_view prefix : {endpoint_prefix, member_prefix}) {
        node.m_config.for_each(std::string(prefix), [&](const config_record& record) {
            if (!contains_key(update.m_shown, record.m_key)) {
                removed.push_back({record.m_key, update.m_revision, ""});
            }
        });
    }
    return removed;
}

} // namespace

bool merge_records(node_state& node, const std::vector<config_record>& records, time_point now,
                   wall_time wall, node_output& out)
{
    (void)now;
    bool contracts_changed = false;
    bool endpoints_changed = false;
    bool changed = false;
    for (const config_record& record : records) {
        if (take_fleet_record(node, record, out)) {
            continue;
        }
        const bool is_contract = record.m_key.starts_with(contract_prefix);
        if (is_contract && record.m_value.empty()) {
            out.m_log.push_back(
                {log_level::error, "config: removal of a contract ignored key=" + record.m_key});
            continue;
        }
        const bool was_quarantined = node.m_config.quarantined().contains(record.m_key);
        const merge_outcome outcome = node.m_config.merge(record);
        if (outcome == merge_outcome::quarantined && !was_quarantined) {
            out.m_log.push_back(
                {log_level::error,
                 "config: unreadable record kept out key=" + record.m_key +
                     " reason=" + node.m_config.quarantined().at(record.m_key).m_reason});
        }
        if (outcome == merge_outcome::applied) {
            changed = true;
            contracts_changed = contracts_changed || is_contract;
            endpoints_changed = endpoints_changed || record.m_key.starts_with(endpoint_prefix);
            follow_wave_record(node, record);
        }
    }
    if (contracts_changed) {
        node.m_view = make_config_view(node.m_config, node.m_view.get());
        follow_contracts(node);
        out.m_view_changed = true;
        deny_ended_customers(node, wall, out);
        refuse_ended_in_brokers(node, out);
    }
    if (endpoints_changed) {
        refresh_listings(node);
    }
    return changed;
}

void on_store_update(node_state& node, const store_update& update, time_point now, wall_time wall,
                     node_output& out)
{
    node.m_last_outside_contact = now;
    const std::vector<config_record> removed = removed_since(node, update);
    merge_records(node, update.m_records, now, wall, out);
    merge_records(node, removed, now, wall, out);
    if (update.m_full) {
        node.m_sync.m_store_read = true;
        if (update.m_revision >= node.m_full_reading) {
            forget_unlisted_hosts(node, update.m_shown);
        }
        node.m_full_reading = std::max(node.m_full_reading, update.m_revision);
    }
}

void on_store_reachability(node_state& node, const store_reachability& state, node_output& out)
{
    if (node.m_store_reachable == state.m_reachable) {
        return;
    }
    node.m_store_reachable = state.m_reachable;
    out.m_log.push_back({state.m_reachable ? log_level::info : log_level::warning,
                         state.m_reachable ? "store: reachable" : "store: unreachable"});
}

void on_records(node_state& node, const host_id& from, const record_message& message,
                time_point now, wall_time wall, node_output& out)
{
    merge_records(node, message.m_records, now, wall, out);
    if (!message.m_acknowledge) {
        return;
    }
    record_ack_message ack;
    for (const config_record& record : message.m_records) {
        ack.m_versions.push_back({record.m_key, node.m_config.revision_of(record.m_key)});
    }
    out.m_sends.emplace_back(from, std::move(ack));
}

void on_digest(node_state& node, const host_id& from, const digest_message& message,
               node_output& out)
{
    version_message answer;
    answer.m_versions = node.m_config.versions_where_differs(message.m_digest);
    answer.m_total_digest = node.m_config.total_digest();
    out.m_sends.emplace_back(from, std::move(answer));
}

void on_versions(node_state& node, const host_id& from, const version_message& message,
                 time_point now, node_output& out)
{
    if (message.m_total_digest == node.m_config.total_digest()) {
        node.m_sync.m_peer_agreed = node.m_sync.m_peer_agreed || is_serving_peer(node, from);
        return;
    }
    (void)now;
    record_ask_message ask;
    std::set<std::string> listed;
    std::vector<std::string> newer_here;
    for (const config_version& version : message.m_versions) {
        listed.insert(version.m_key);
        const revision known = node.m_config.revision_of(version.m_key);
        if (known < version.m_revision) {
            ask.m_keys.push_back(version.m_key);
        }
        else if (known > version.m_revision) {
            newer_here.push_back(version.m_key);
        }
    }
    if (!ask.m_keys.empty()) {
        out.m_sends.emplace_back(from, std::move(ask));
    }
    send_records(node, from, newer_here, out);
}

void on_record_ask(node_state& node, const host_id& from, const record_ask_message& message,
                   node_output& out)
{
    send_records(node, from, message.m_keys, out);
}

void compare_digests(node_state& node, const host_id& from, std::uint64_t digest, time_point now,
                     node_output& out)
{
    if (digest == node.m_config.total_digest()) {
        node.m_sync.m_peer_agreed = node.m_sync.m_peer_agreed || is_serving_peer(node, from);
        return;
    }
    time_point& last = node.m_last_digest_sent[from];
    if (last != time_point{} && now - last < digest_interval) {
        return;
    }
    last = now;
    out.m_sends.emplace_back(from, digest_message{node.m_config.digest()});
}

void need_sync(node_state& node, time_point now, node_output& out)
{
    node.m_sync = {};
    node.m_sync.m_since = now;
    call_store(node, store_resync{}, out);
}

void on_sync_tick(node_state& node, time_point now, node_output& out)
{
    sync_state& sync = node.m_sync;
    if (!sync.m_needed) {
        return;
    }
    const bool peers_had_time = now - sync.m_since >= peer_patience;
    if (sync.m_peer_agreed || (sync.m_store_read && peers_had_time)) {
        sync.m_needed = false;
        out.m_log.push_back({log_level::info, "config: newest configuration in force"});
        return;
    }
    if (now < sync.m_next_ask) {
        return;
    }
    sync.m_next_ask = now + sync_interval;
    std::size_t asked = 0;
    for (const host_id& host : node.m_members.serving(now)) {
        if (host != node.m_settings.m_self.m_host && asked < sync_fanout) {
            out.m_sends.emplace_back(host, digest_message{node.m_config.digest()});
            ++asked;
        }
    }
}

} // namespace guavabay
