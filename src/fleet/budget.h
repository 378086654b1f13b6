#pragma once

#include <set>
#include <string>
#include <vector>

#include "fleet/fleet_host.h"

namespace guavabay {

/// Number of hosts of a pool that are in service, in total and in the largest failure domain.
struct pool_count {
    std::uint32_t m_in_service = 0;
    /// Hosts lost at most to one failure of the kind that the contracts require to survive.
    std::uint32_t m_largest_domain = 0;
};

/// Counts the hosts of a pool that are in service, without those in `excluded`. Failure domains are
/// hosts, racks or zones, as the pool's contracts require; hosts for a pool without a budget.
pool_count count_pool(const fleet_view& fleet, const pool_id& pool,
                      const std::set<worker_id>& excluded = {});

/// Returns how many further hosts a pool can give up while it still meets its budget after the loss
/// of its largest failure domain. Hosts in `excluded` count as gone already. For a pool without a
/// minimum this is every host in service.
std::uint32_t removable_hosts(const fleet_view& fleet, const pool_id& pool,
                              const std::set<worker_id>& excluded = {});

/// Returns whether a pool without the hosts in `excluded` still meets its budget after the loss of
/// its largest failure domain. Always true for a pool without a minimum.
bool is_budget_met_without(const fleet_view& fleet, const pool_id& pool,
                           const std::set<worker_id>& excluded);

/// Returns one line of text for each pool that has fewer hosts in service than its contracts
/// require, with the customers of these contracts. The text is part of an operator answer.
std::vector<std::string> list_violated_budgets(const fleet_view& fleet);

/// Sums the host grants of all contracts into one budget per pool. A pool has to survive the
/// largest failure that any of its contracts names. The pointers must not be null.
std::map<pool_id, pool_budget> derive_budgets(const std::vector<const contract*>& contracts);

} // namespace guavabay
