#include "fleet/budget.h"

#include <algorithm>

#include "fleet/fleet_index.h"

namespace guavabay {

namespace {

const pool_budget* find_budget(const fleet_view& fleet, const pool_id& pool)
{
    const auto found = fleet.m_budgets.find(pool);
    return found == fleet.m_budgets.end() ? nullptr : &found->second;
}

} // namespace

pool_count count_pool(const fleet_view& fleet, const pool_id& pool,
                      const std::set<worker_id>& excluded)
{
    const pool_budget* budget = find_budget(fleet, pool);
    const survivable_failure failure =
        budget == nullptr ? survivable_failure::host : budget->m_survives;
    pool_count count;
    std::map<std::string, std::uint32_t> domains;
    for (const auto& [id, host] : fleet.m_hosts) {
        const bool is_counted = host.m_pool == pool && is_in_service(fleet, host);
        if (!is_counted || excluded.contains(id)) {
            continue;
        }
        ++count.m_in_service;
        const std::uint32_t size = ++domains[domain_of(host, failure)];
        count.m_largest_domain = std::max(count.m_largest_domain, size);
    }
    return count;
}

std::uint32_t removable_hosts(const fleet_view& fleet, const pool_id& pool,
                              const std::set<worker_id>& excluded)
{
    const pool_budget* budget = find_budget(fleet, pool);
    const pool_count count = count_pool(fleet, pool, excluded);
    const std::uint32_t required =
        budget == nullptr || budget->m_min == 0 ? 0 : budget->m_min + count.m_largest_domain;
    return count.m_in_service > required ? count.m_in_service - required : 0;
}

bool is_budget_met_without(const fleet_view& fleet, const pool_id& pool,
                           const std::set<worker_id>& excluded)
{
    const pool_budget* budget = find_budget(fleet, pool);
    if (budget == nullptr || budget->m_min == 0) {
        return true;
    }
    const pool_count count = count_pool(fleet, pool, excluded);
    return count.m_in_service >= budget->m_min + count.m_largest_domain;
}

std::vector<std::string> list_violated_budgets(const fleet_view& fleet)
{
    std::vector<std::string> violations;
    for (const auto& [pool, budget] : fleet.m_budgets) {
        const pool_count count = count_pool(fleet, pool);
        if (count.m_in_service >= budget.m_min) {
            continue;
        }
        std::string customers;
        for (const customer_id& customer : budget.m_customers) {
            customers += customers.empty() ? "" : ", ";
            customers += customer.str();
        }
        violations.push_back("pool " + pool.str() + " has " + std::to_string(count.m_in_service) +
                             " hosts in service and owes " + std::to_string(budget.m_min) + " to " +
                             customers);
    }
    return violations;
}

std::map<pool_id, pool_budget> derive_budgets(const std::vector<const contract*>& contracts)
{
    std::map<pool_id, pool_budget> budgets;
    for (const contract* terms : contracts) {
        for (const host_grant& grant : terms->m_hosts) {
            pool_budget& budget = budgets[grant.m_pool];
            budget.m_min += grant.m_min;
            budget.m_max += grant.m_max;
            budget.m_survives = std::max(budget.m_survives, terms->m_survives);
            budget.m_customers.push_back(terms->m_customer);
        }
    }
    return budgets;
}

} // namespace guavabay
