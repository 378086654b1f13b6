#include "dispatch/worker_relays.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "core/result.h"

namespace guavabay {

namespace {

/// A choice is made anew after this time, so that hosts that have joined get their share.
constexpr seconds choice_validity{10};

/// A choice that is this old belongs to a worker that is no longer called.
constexpr seconds choice_expiry{30};

/// How long a host that did not relay a call in time is avoided.
constexpr seconds avoidance_time{5};

/// Lower bound of a host's capacity, which avoids a division by zero.
constexpr double min_capacity = 0.01;

bool is_eligible(const worker_relays& relays, const host_record& host,
                 const std::map<service_id, owner_record>& owners, const host_id& self,
                 time_point now)
{
    const auto avoided = relays.m_avoided_until.find(host.m_host);
    return !host.m_leaving && host.m_host != self &&
           (avoided == relays.m_avoided_until.end() || avoided->second <= now) &&
           std::none_of(owners.begin(), owners.end(), [&](const auto& entry) {
               return entry.second.m_host.m_host == host.m_host;
           });
}

/// Cost of a host for a worker in weighted rendezvous hashing: the host with the lowest cost is
/// chosen, so that hosts get shares in proportion to their capacities, and a host that leaves
/// changes the choices of its own workers only.
double rendezvous_cost(const host_record& host, std::uint64_t worker_hash)
{
    const std::uint64_t hash = mix(worker_hash, stable_hash(host.m_host.str()));
    const double uniform =
        (static_cast<double>(hash >> 1U) + 1) /
        (static_cast<double>(std::numeric_limits<std::uint64_t>::max() >> 1U) + 2);
    return -std::log(uniform) / std::max(host.m_capacity, min_capacity);
}

} // namespace

std::optional<std::string> select_relay(worker_relays& relays, const worker_id& worker,
                                        const zone_id& zone,
                                        const std::map<host_id, host_record>& members,
                                        const std::map<service_id, owner_record>& owners,
                                        const host_id& self, time_point now)
{
    const auto known = relays.m_choices.find(worker);
    if (known != relays.m_choices.end() && now - known->second.m_chosen_at < choice_validity) {
        const auto host = members.find(known->second.m_host);
        if (host != members.end() && host->second.m_peer_address == known->second.m_address &&
            is_eligible(relays, host->second, owners, self, now)) {
            return known->second.m_address;
        }
    }
    const std::uint64_t worker_hash = stable_hash(worker.str());
    const host_record* best = nullptr;
    bool best_is_near = false;
    double best_cost = 0;
    for (const auto& [host, record] : members) {
        if (!is_eligible(relays, record, owners, self, now)) {
            continue;
        }
        const bool is_near = record.m_zone == zone;
        const double cost = rendezvous_cost(record, worker_hash);
        if (best == nullptr || (is_near && !best_is_near) ||
            (is_near == best_is_near && cost < best_cost)) {
            best = &record;
            best_is_near = is_near;
            best_cost = cost;
        }
    }
    if (best == nullptr) {
        return fail("no host can relay calls to workers");
    }
    std::erase_if(relays.m_choices, [now](const auto& entry) {
        return now - entry.second.m_chosen_at > choice_expiry;
    });
    relays.m_choices[worker] = {best->m_peer_address, best->m_host, now};
    return best->m_peer_address;
}

void avoid_relay(worker_relays& relays, const std::string& address, time_point now)
{
    std::erase_if(relays.m_avoided_until, [now](const auto& entry) { return entry.second <= now; });
    for (const auto& [worker, choice] : relays.m_choices) {
        if (choice.m_address == address) {
            relays.m_avoided_until[choice.m_host] = now + avoidance_time;
            return;
        }
    }
}

} // namespace guavabay
