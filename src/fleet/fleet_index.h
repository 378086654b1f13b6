#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet_host.h"

namespace guavabay {

/// Counts hosts by failure domain and keeps the size of the largest domain up to date, so that
/// reading it does not scan all domains.
class domain_counts {
public:
    /// Adds one host to a domain.
    void add(const std::string& domain);

    /// Returns the number of hosts in a domain; 0 for an unknown one.
    [[nodiscard]] std::uint32_t size_of(const std::string& domain) const;

    /// Returns the number of hosts in the largest domain; 0 when there is none.
    [[nodiscard]] std::uint32_t largest() const;

    /// Returns the number of hosts in the largest domain after one host leaves the given domain.
    [[nodiscard]] std::uint32_t largest_without(const std::string& domain) const;

private:
    std::map<std::string, std::uint32_t> m_sizes;             ///< Number of hosts by domain.
    std::map<std::uint32_t, std::uint32_t> m_domains_by_size; ///< Number of domains of each size.
};

/// Numbers of hosts of one pool.
struct pool_statistics {
    std::uint32_t m_in_service = 0;
    std::uint32_t m_done = 0;    ///< Hosts that the wave has maintained.
    std::uint32_t m_out = 0;     ///< Hosts that are draining or away for the wave.
    std::uint32_t m_failed = 0;  ///< Hosts that did not return from maintenance.
    std::uint32_t m_joining = 0; ///< Hosts that are about to join this pool.
    domain_counts m_domains;     ///< In service, by the failure that the pool must survive.
    domain_counts m_racks;       ///< In service, by rack.
};

/// Counts and host lists that fleet decisions need, computed in one pass over the hosts. It points
/// into the `fleet_view` that it was made from and must not outlive it.
struct fleet_index {
    std::map<pool_id, pool_statistics> m_pools;
    std::vector<const fleet_host*> m_due;           ///< Serving and not yet maintained by the wave.
    std::vector<const fleet_host*> m_in_transition; ///< Draining, away or failed.
};

/// Computes the index of a fleet for a wave; the number is 0 when no wave exists.
fleet_index index_fleet(const fleet_view& fleet, wave_number wave);

/// Returns whether the pool of a host still meets its budget without this host after the loss of
/// its largest failure domain. Also true for a host that is not in service and for a pool without a
/// minimum. The index must be that of the same fleet.
bool can_leave_pool(const fleet_view& fleet, const fleet_index& index, const fleet_host& host);

/// Returns the name of the failure domain of a host: its id, `zone/rack` or zone.
std::string domain_of(const fleet_host& host, survivable_failure failure);

} // namespace guavabay
