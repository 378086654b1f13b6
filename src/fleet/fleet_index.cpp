#include "fleet/fleet_index.h"

#include <algorithm>

namespace guavabay {

namespace {

const pool_budget* find_budget(const fleet_view& fleet, const pool_id& pool)
{
    const auto found = fleet.m_budgets.find(pool);
    return found == fleet.m_budgets.end() ? nullptr : &found->second;
}

void index_host(const fleet_view& fleet, fleet_index& index, const fleet_host& host, bool is_up,
                wave_number wave)
{
    pool_statistics& pool = index.m_pools[host.m_pool];
    const bool done = host.m_maintained_wave >= wave;
    pool.m_done += done ? 1U : 0U;
    if (host.m_target) {
        ++index.m_pools[*host.m_target].m_joining;
    }
    if (host.m_state != host_state::serving) {
        index.m_in_transition.push_back(&host);
        pool.m_failed += host.m_state == host_state::failed ? 1U : 0U;
        const bool out = host.m_state == host_state::away ||
                         (host.m_state == host_state::draining && !host.m_target);
        pool.m_out += out && !done ? 1U : 0U;
        return;
    }
    if (!done) {
        index.m_due.push_back(&host);
    }
    if (!is_up) {
        return;
    }
    const pool_budget* budget = find_budget(fleet, host.m_pool);
    const survivable_failure failure =
        budget == nullptr ? survivable_failure::host : budget->m_survives;
    ++pool.m_in_service;
    pool.m_racks.add(domain_of(host, survivable_failure::rack));
    pool.m_domains.add(domain_of(host, failure));
}

} // namespace

void domain_counts::add(const std::string& domain)
{
    std::uint32_t& size = m_sizes[domain];
    if (size > 0 && --m_domains_by_size[size] == 0) {
        m_domains_by_size.erase(size);
    }
    ++size;
    ++m_domains_by_size[size];
}

std::uint32_t domain_counts::size_of(const std::string& domain) const
{
    const auto found = m_sizes.find(domain);
    return found == m_sizes.end() ? 0 : found->second;
}

std::uint32_t domain_counts::largest() const
{
    return m_domains_by_size.empty() ? 0 : m_domains_by_size.rbegin()->first;
}

std::uint32_t domain_counts::largest_without(const std::string& domain) const
{
    const std::uint32_t largest_size = largest();
    const bool only_largest = largest_size > 0 && size_of(domain) == largest_size &&
                              m_domains_by_size.rbegin()->second == 1;
    return only_largest ? largest_size - 1 : largest_size;
}

fleet_index index_fleet(const fleet_view& fleet, wave_number wave)
{
    fleet_index index;
    auto report = fleet.m_reports.begin();
    for (const auto& [id, host] : fleet.m_hosts) {
        while (report != fleet.m_reports.end() && report->first < id) {
            ++report;
        }
        const bool reported = report != fleet.m_reports.end() && report->first == id;
        index_host(fleet, index, host, reported && report->second.m_up, wave);
    }
    return index;
}

bool can_leave_pool(const fleet_view& fleet, const fleet_index& index, const fleet_host& host)
{
    const pool_budget* budget = find_budget(fleet, host.m_pool);
    if (budget == nullptr || budget->m_min == 0 || !is_in_service(fleet, host)) {
        return true;
    }
    const pool_statistics& pool = index.m_pools.at(host.m_pool);
    const std::string domain = domain_of(host, budget->m_survives);
    return pool.m_in_service > budget->m_min + pool.m_domains.largest_without(domain);
}

std::string domain_of(const fleet_host& host, survivable_failure failure)
{
    switch (failure) {
    case survivable_failure::host:
        return host.m_id.str();
    case survivable_failure::rack:
        return host.m_zone.str() + "/" + host.m_rack.str();
    case survivable_failure::zone:
        return host.m_zone.str();
    }
    return host.m_id.str();
}

} // namespace guavabay
