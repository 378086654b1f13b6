#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet_host.h"

namespace guavabay {

/// Hosts in service by failure domain, with the largest domain known at any time.
class domain_counts {
public:
    /// Counts one more host of a domain.
    void add(const std::string& domain);

    /// The size of a domain.
    [[nodiscard]] std::uint32_t size_of(const std::string& domain) const;

    /// The size of the largest domain.
    [[nodiscard]] std::uint32_t largest() const;

    /// The size of the largest domain once one host of the given domain is gone.
    [[nodiscard]] std::uint32_t largest_without(const std::string& domain) const;

private:
    std::map<std::string, std::uint32_t> m_sizes;
    std::map<std::uint32_t, std::uint32_t> m_domains_by_size;
};

/// One pool's hosts, counted.
struct pool_statistics {
    std::uint32_t m_in_service = 0;
    std::uint32_t m_done = 0; ///< Hosts that carry the wave's number.
    std::uint32_t m_out = 0;  ///< Hosts that are draining or away for the wave.
    std::uint32_t m_failed = 0;
    std::uint32_t m_joining = 0; ///< Hosts of other pools on their way here.
    domain_counts m_domains;     ///< By the failure that the pool's contracts survive.
    domain_counts m_racks;
};

/// Everything that the decisions on a fleet count, gathered in one pass over its hosts.
struct fleet_index {
    std::map<pool_id, pool_statistics> m_pools;
    std::vector<const fleet_host*> m_due;       ///< Serving and not maintained by the wave.
    std::vector<const fleet_host*> m_in_transition; ///< Draining, away or failed.
};

/// Gathers the counts of a fleet for a wave; number zero when there is none.
fleet_index index_fleet(const fleet_view& fleet, wave_number wave);

/// True when the host's pool keeps its budget without it, through one more failure.
bool can_leave_pool(const fleet_view& fleet, const fleet_index& index, const fleet_host& host);

/// The name of the failure domain that a host shares with others.
std::string domain_of(const fleet_host& host, survivable_failure failure);

} // namespace guavabay
