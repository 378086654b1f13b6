#include "support/virtual_platform.h"

#include "config/records.h"
#include "fleet/budget.h"

namespace guavabay::test {

namespace {

constexpr milliseconds time_step{100};
constexpr std::uint32_t hosts_per_rack = 4;

/// Capacity of each machine for tasks.
constexpr resources machine_capacity{8000, 16000, 0};

host_report make_report(bool up, bool empty, wave_number maintained)
{
    host_report report;
    report.m_up = up;
    report.m_empty = empty;
    report.m_maintained_wave = maintained;
    report.m_capacity = machine_capacity;
    return report;
}

std::string encode_report(bool up, bool empty, wave_number maintained)
{
    return format_host_report(make_report(up, empty, maintained));
}

} // namespace

void virtual_platform::add_pool(const std::string& pool, std::uint32_t hosts)
{
    std::string rack;
    for (std::uint32_t i = 0; i < hosts; ++i) {
        if (i % hosts_per_rack == 0) {
            rack = "r" + std::to_string(m_next_rack++);
        }
        fleet_host host;
        host.m_id = worker_id(pool + "-" + std::to_string(i));
        host.m_zone = zone_id("z" + std::to_string(m_next_rack % 3 + 1));
        host.m_rack = rack_id(rack);
        host.m_pool = pool_id(pool);
        m_hosts.m_store.put("host/" + host.m_id.str(), format_fleet_host(host));
        m_hosts.m_store.put("report/" + host.m_id.str(), encode_report(true, false, {}));
        m_machines[host.m_id.str()].m_pool = pool;
    }
}

fleet_view virtual_platform::actual_fleet() const
{
    fleet_view fleet;
    fleet.m_budgets = m_budgets;
    for (const auto& [name, simulated] : m_machines) {
        const config_record record = m_hosts.m_store.get("host/" + name);
        fleet.m_hosts[worker_id(name)] = *parse_fleet_host(name, record.m_value);
        fleet.m_reports[worker_id(name)] =
            make_report(simulated.m_up, false, simulated.m_maintained);
    }
    return fleet;
}

void virtual_platform::advance_host(const std::string& name, machine& simulated)
{
    const config_record record = m_hosts.m_store.get("host/" + name);
    const fleet_host host = *parse_fleet_host(name, record.m_value);
    const std::string report_key = "report/" + name;
    if (host.m_pool.str() != simulated.m_pool) {
        simulated.m_pool = host.m_pool.str();
        ++m_pool_changes;
    }
    if (host.m_state != simulated.m_seen_state) {
        simulated.m_seen_state = host.m_state;
        simulated.m_state_since = m_hosts.now();
        if (host.m_state == host_state::away) {
            m_reboots_with_tasks += m_is_busy && m_is_busy(name) ? 1 : 0;
            simulated.m_up = false;
            ++m_reboots[name];
            m_hosts.m_store.put(report_key, encode_report(false, true, simulated.m_maintained));
        }
        if (host.m_state == host_state::serving) {
            m_hosts.m_store.put(report_key,
                                encode_report(simulated.m_up, false, simulated.m_maintained));
        }
    }
    const duration passed = m_hosts.now() - simulated.m_state_since;
    const bool busy = m_is_busy && m_is_busy(name);
    const bool drained = host.m_state == host_state::draining && passed >= m_drain_time && !busy;
    const config_record report = m_hosts.m_store.get(report_key);
    if (drained && simulated.m_up && !parse_host_report(report.m_value)->m_empty) {
        m_hosts.m_store.put(report_key, encode_report(true, true, simulated.m_maintained));
    }
    const bool back =
        host.m_state == host_state::away && passed >= m_reboot_time && !simulated.m_up;
    if (back && !m_unrecoverable_hosts.contains(name)) {
        simulated.m_up = true;
        const config_record wave = m_hosts.m_store.get("wave");
        simulated.m_maintained =
            wave.m_value.empty() ? wave_number(0) : parse_wave(wave.m_value)->m_number;
        m_hosts.m_store.put(report_key, encode_report(true, true, simulated.m_maintained));
    }
}

void virtual_platform::advance_hosts()
{
    for (auto& [name, simulated] : m_machines) {
        if (!m_hosts.m_store.m_away) {
            advance_host(name, simulated);
        }
    }
    m_budget_violations += list_violated_budgets(actual_fleet()).empty() ? 0 : 1;
}

void virtual_platform::run_for(duration length)
{
    const time_point until = m_hosts.now() + length;
    while (m_hosts.now() < until) {
        m_hosts.run_for(time_step);
        advance_hosts();
    }
}

duration virtual_platform::run_wave(wave_number number, duration limit)
{
    const time_point start = m_hosts.now();
    while (m_hosts.now() - start < limit) {
        run_for(time_step);
        wave_record wave;
        wave.m_number = number;
        const wave_progress progress = measure_wave(actual_fleet(), wave);
        if (progress.m_done == progress.m_total) {
            return m_hosts.now() - start;
        }
    }
    return duration::zero();
}

void virtual_platform::fail_rack(const std::string& zone, const std::string& rack)
{
    for (auto& [name, simulated] : m_machines) {
        const config_record record = m_hosts.m_store.get("host/" + name);
        const fleet_host host = *parse_fleet_host(name, record.m_value);
        if (host.m_zone.str() == zone && host.m_rack.str() == rack) {
            simulated.m_up = false;
            m_hosts.m_store.put("report/" + name,
                                encode_report(false, true, simulated.m_maintained));
        }
    }
}

} // namespace guavabay::test
