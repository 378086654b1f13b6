#include "node/store_duties.h"

#include <algorithm>
#include <boost/json.hpp>

#include "node/node.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr milliseconds lease_retry{1000};
constexpr milliseconds call_patience{4000};
constexpr seconds lease_margin{2};
constexpr milliseconds epoch_settle{1000};
constexpr std::uint64_t epoch_duty_hash = 0x65706f6368ULL;

std::string member_key(const host_id& host)
{
    return std::string(member_prefix) + host.str();
}

std::string describe_self(const member& self)
{
    json::object object{{"zone", self.m_zone.str()},
                        {"peer_address", self.m_peer_address},
                        {"incarnation", self.m_incarnation.get()}};
    return json::serialize(object);
}

bool listed_in_store(const node_state& node, const epoch_member& one)
{
    return node.m_config.find(member_key(one.m_host)) != nullptr;
}

/// True when a member of the current epoch must stay in the next one.
bool stays(const node_state& node, const epoch_member& one)
{
    const member_entry* entry = node.m_members.find(one.m_host);
    const bool replaced = entry != nullptr && entry->m_member.m_incarnation != one.m_incarnation;
    const bool departing = entry != nullptr && (entry->m_member.m_phase == member_phase::leaving ||
                                                entry->m_member.m_phase == member_phase::left);
    return !replaced && !departing && listed_in_store(node, one);
}

std::vector<epoch_member> desired_members(const node_state& node, time_point now)
{
    std::vector<epoch_member> members;
    for (const host_id& host : node.m_members.serving(now)) {
        const member& one = node.m_members.find(host)->m_member;
        members.push_back({one.m_host, one.m_zone, one.m_incarnation});
    }
    for (const epoch_member& one : node.m_ledger.m_epoch.m_members) {
        const bool listed = std::find(members.begin(), members.end(), one) != members.end();
        if (!listed && stays(node, one)) {
            members.push_back(one);
        }
    }
    std::sort(members.begin(), members.end());
    return members;
}

} // namespace

void on_lease_tick(node_state& node, time_point now, node_output& out)
{
    store_lease& lease = node.m_lease;
    const bool waiting = lease.m_call != 0 && now - lease.m_call_sent < call_patience;
    if (waiting || now < lease.m_next_try || node.m_stopping) {
        return;
    }
    lease.m_call_sent = now;
    lease.m_next_try = now + lease_retry;
    if (lease.m_lease == lease_id{}) {
        lease.m_registered = false;
        lease.m_call =
            call_store(node, store_grant_lease{node.m_settings.m_lease_time.count()}, out);
        return;
    }
    if (!lease.m_registered) {
        const std::string key = member_key(node.m_settings.m_self.m_host);
        lease.m_call = call_store(node,
                                  make_swap(key, node.m_config.revision_of(key),
                                            describe_self(node.m_settings.m_self), lease.m_lease),
                                  out);
        return;
    }
    lease.m_next_try = now + node.m_settings.m_lease_time / 3;
    lease.m_call = call_store(node, store_keep_lease{lease.m_lease}, out);
}

bool on_lease_result(node_state& node, const store_result& result, time_point now, node_output& out)
{
    store_lease& lease = node.m_lease;
    if (lease.m_call == 0 || lease.m_call != result.m_number) {
        return false;
    }
    lease.m_call = 0;
    if (result.m_outcome == store_outcome::unknown) {
        return true;
    }
    node.m_last_outside_contact = now;
    const bool granting = lease.m_lease == lease_id{};
    if (granting && result.m_outcome == store_outcome::done) {
        lease.m_lease = result.m_lease;
        lease.m_valid_until = lease.m_call_sent + node.m_settings.m_lease_time;
        lease.m_next_try = now;
        return true;
    }
    if (!granting && !lease.m_registered) {
        const bool stored = result.m_outcome == store_outcome::done;
        const bool ours = result.m_record.m_value == describe_self(node.m_settings.m_self);
        lease.m_registered = stored || ours;
        if (!lease.m_registered) {
            node.m_config.merge(result.m_record);
            lease.m_next_try = now;
        }
        return true;
    }
    if (result.m_outcome == store_outcome::refused) {
        out.m_log.push_back({log_level::warning, "store: lease lapsed, asking for a new one"});
        lease = {};
        return true;
    }
    lease.m_valid_until = lease.m_call_sent + node.m_settings.m_lease_time;
    return true;
}

void on_epoch_tick(node_state& node, time_point now, node_output& out)
{
    const host_id& self = node.m_settings.m_self.m_host;
    const std::optional<host_id> proposer =
        rendezvous_owner(node.m_members.serving(now), epoch_duty_hash);
    const bool may_propose = node.m_store_reachable && is_fresh(node, now) && proposer == self;
    const std::vector<epoch_member> desired = desired_members(node, now);
    std::vector<epoch_member> current = node.m_ledger.m_epoch.m_members;
    std::sort(current.begin(), current.end());
    if (!may_propose || desired == current || desired.empty()) {
        node.m_epoch_changed_since = time_point{};
        return;
    }
    if (node.m_epoch_changed_since == time_point{}) {
        node.m_epoch_changed_since = now;
    }
    if (now - node.m_epoch_changed_since < epoch_settle) {
        return;
    }
    node.m_epoch_changed_since = now;
    epoch_record next;
    next.m_number = epoch(node.m_ledger.m_epoch.m_number.get() + 1);
    next.m_members = desired;
    next.m_previous = node.m_ledger.m_epoch.m_members;
    const std::string key(epoch_key);
    call_store(node, make_swap(key, node.m_config.revision_of(key), format_epoch(next)), out);
    out.m_log.push_back(
        {log_level::info, "epoch: proposed number=" + std::to_string(next.m_number.get()) +
                              " members=" + std::to_string(next.m_members.size())});
}

bool epoch_is_valid(const node_state& node, time_point now)
{
    const member& self = node.m_settings.m_self;
    const std::vector<epoch_member>& members = node.m_ledger.m_epoch.m_members;
    const bool listed =
        std::any_of(members.begin(), members.end(), [&self](const epoch_member& one) {
            return one.m_host == self.m_host && one.m_incarnation == self.m_incarnation;
        });
    if (!listed || !is_fresh(node, now)) {
        return false;
    }
    if (node.m_lease.m_registered && now + lease_margin < node.m_lease.m_valid_until) {
        return true;
    }
    const auto alive = std::count_if(members.begin(), members.end(), [&](const epoch_member& one) {
        return node.m_members.is_alive(one.m_host, now);
    });
    return static_cast<std::size_t>(alive) * 2 > members.size();
}

} // namespace guavabay
