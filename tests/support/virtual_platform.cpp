#include "support/virtual_platform.h"

#include "config/records.h"
#include "fleet/budget.h"

namespace guavabay::test {

namespace {

constexpr milliseconds work_interval{100};
constexpr std::uint32_t hosts_per_rack = 4;

/// What each machine offers to tasks.
constexpr resources machine_capacity{8000, 16000, 0};

host_report report_of(bool up, bool empty, wave_number maintained)
{
    host_report report;
    report.m_up = up;
    report.m_empty = empty;
    report.m_maintained_wave = maintained;
    report.m_capacity = machine_capacity;
    return report;
}

std::string describe(bool up, bool empty, wave_number maintained)
{
    return format_host_report(report_of(up, empty, maintained));
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
        m_hosts.m_store.put("report/" + host.m_id.str(), describe(true, false, {}));
        m_machines[host.m_id.str()].m_pool = pool;
    }
}

fleet_view virtual_platform::truth() const
{
    fleet_view fleet;
    fleet.m_budgets = m_budgets;
    for (const auto& [name, one] : m_machines) {
        const config_record record = m_hosts.m_store.get("host/" + name);
        fleet.m_hosts[worker_id(name)] = *parse_fleet_host(name, record.m_value);
        fleet.m_reports[worker_id(name)] = report_of(one.m_up, false, one.m_maintained);
    }
    return fleet;
}

void virtual_platform::work_on(const std::string& name, machine& one)
{
    const config_record record = m_hosts.m_store.get("host/" + name);
    const fleet_host host = *parse_fleet_host(name, record.m_value);
    const std::string report_key = "report/" + name;
    if (host.m_pool.str() != one.m_pool) {
        one.m_pool = host.m_pool.str();
        ++m_pool_changes;
    }
    if (host.m_state != one.m_seen) {
        one.m_seen = host.m_state;
        one.m_since = m_hosts.now();
        if (host.m_state == host_state::away) {
            m_cut_off += m_is_busy && m_is_busy(name) ? 1 : 0;
            one.m_up = false;
            ++m_reboots[name];
            m_hosts.m_store.put(report_key, describe(false, true, one.m_maintained));
        }
        if (host.m_state == host_state::serving) {
            m_hosts.m_store.put(report_key, describe(one.m_up, false, one.m_maintained));
        }
    }
    const duration passed = m_hosts.now() - one.m_since;
    const bool busy = m_is_busy && m_is_busy(name);
    const bool drained = host.m_state == host_state::draining && passed >= m_drain_time && !busy;
    const config_record report = m_hosts.m_store.get(report_key);
    if (drained && one.m_up && !parse_host_report(report.m_value)->m_empty) {
        m_hosts.m_store.put(report_key, describe(true, true, one.m_maintained));
    }
    const bool back = host.m_state == host_state::away && passed >= m_reboot_time && !one.m_up;
    if (back && !m_broken.contains(name)) {
        one.m_up = true;
        const config_record wave = m_hosts.m_store.get("wave");
        one.m_maintained =
            wave.m_value.empty() ? wave_number(0) : parse_wave(wave.m_value)->m_number;
        m_hosts.m_store.put(report_key, describe(true, true, one.m_maintained));
    }
}

void virtual_platform::work()
{
    for (auto& [name, one] : m_machines) {
        if (!m_hosts.m_store.m_away) {
            work_on(name, one);
        }
    }
    m_violations += list_violated_budgets(truth()).empty() ? 0 : 1;
}

void virtual_platform::run_for(duration length)
{
    const time_point until = m_hosts.now() + length;
    while (m_hosts.now() < until) {
        m_hosts.run_for(work_interval);
        work();
    }
}

duration virtual_platform::run_wave(wave_number number, duration limit)
{
    const time_point start = m_hosts.now();
    while (m_hosts.now() - start < limit) {
        run_for(work_interval);
        wave_record wave;
        wave.m_number = number;
        const wave_progress progress = measure_wave(truth(), wave);
        if (progress.m_done == progress.m_total) {
            return m_hosts.now() - start;
        }
    }
    return duration::zero();
}

void virtual_platform::fail_rack(const std::string& zone, const std::string& rack)
{
    for (auto& [name, one] : m_machines) {
        const config_record record = m_hosts.m_store.get("host/" + name);
        const fleet_host host = *parse_fleet_host(name, record.m_value);
        if (host.m_zone.str() == zone && host.m_rack.str() == rack) {
            one.m_up = false;
            m_hosts.m_store.put("report/" + name, describe(false, true, one.m_maintained));
        }
    }
}

} // namespace guavabay::test
