#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "fleet/wave_plan.h"
#include "support/virtual_hosts.h"

namespace guavabay::test {

/// The platform's side of the fleet in the fake store: drains and reboots hosts as their records
/// say, reports with a lag, and watches that every budget holds at every moment.
class virtual_platform {
public:
    /// Works on the store of the given hosts.
    explicit virtual_platform(virtual_hosts& hosts) : m_hosts(hosts) {}

    /// Adds hosts of one pool, four to a rack, over three zones.
    void add_pool(const std::string& pool, std::uint32_t hosts);

    /// Lets time pass in steps of 100 ms and works in each.
    void run_for(duration length);

    /// Lets time pass until a wave is done; gives the time it took, or zero when it is not done
    /// within the limit.
    duration run_wave(wave_number number, duration limit);

    /// The fleet as the store and the platform's own knowledge say.
    [[nodiscard]] fleet_view actual_fleet() const;

    /// Takes all hosts of a rack down at once.
    void fail_rack(const std::string& zone, const std::string& rack);

    std::map<pool_id, pool_budget> m_budgets;    ///< What must hold.
    std::set<std::string> m_unrecoverable_hosts; ///< Hosts that do not come back from a reboot.
    duration m_drain_time = seconds(2);
    duration m_reboot_time = seconds(5);
    std::uint64_t m_budget_violations = 0; ///< Moments at which a budget was broken.
    std::map<std::string, int> m_reboots;  ///< Reboots of each host.
    std::uint64_t m_pool_changes = 0;
    std::function<bool(const std::string&)> m_is_busy; ///< Whether tasks are left on a host.
    std::uint64_t m_reboots_with_tasks = 0;            ///< Reboots of hosts with tasks.

private:
    struct machine {
        bool m_up = true;
        wave_number m_maintained;
        time_point m_state_since{};
        host_state m_seen_state = host_state::serving;
        std::string m_pool;
    };

    void advance_hosts();
    void advance_host(const std::string& name, machine& simulated);

    virtual_hosts& m_hosts;
    std::map<std::string, machine> m_machines;
    std::uint32_t m_next_rack = 1;
};

} // namespace guavabay::test
