#pragma once

#include <set>
#include <string>
#include <vector>

#include "fleet/fleet_host.h"

namespace guavabay {

/// How many hosts of a pool are in service, in total and by failure domain.
struct pool_count {
    std::uint32_t m_in_service = 0;
    std::uint32_t m_largest_domain = 0; ///< Hosts that one survivable failure takes at most.
};

/// Counts the hosts of a pool, leaving out the given ones.
pool_count count_pool(const fleet_view& fleet, const pool_id& pool,
                      const std::set<worker_id>& excluded = {});

/// Hosts that may leave a pool now so that its budget holds even if the largest failure that the
/// contracts name happens while they are out.
std::uint32_t removable_hosts(const fleet_view& fleet, const pool_id& pool,
                              const std::set<worker_id>& excluded = {});

/// True when a pool keeps its budget without the given hosts, through one more failure.
bool is_budget_met_without(const fleet_view& fleet, const pool_id& pool,
                           const std::set<worker_id>& excluded);

/// Names each pool whose hosts in service are fewer than its contracts require, with the
/// customers to whom they are owed.
std::vector<std::string> list_violated_budgets(const fleet_view& fleet);

/// Adds up the contracts into the budgets of the pools that they name.
std::map<pool_id, pool_budget> derive_budgets(const std::vector<const contract*>& contracts);

} // namespace guavabay
