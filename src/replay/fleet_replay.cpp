#include "replay/fleet_replay.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "core/json_fields.h"
#include "core/result.h"
#include "fleet/budget.h"
#include "fleet/pool_plan.h"

namespace guavabay {

namespace {

constexpr milliseconds step_length{100};
constexpr seconds rebalance_interval{10};

/// The fleet of a trace, its platform, and what is measured.
class fleet_run {
public:
    /// Takes one event of the trace; false with a reason when it makes no sense.
    bool take(const trace_event& event)
    {
        const boost::json::object& fields = event.m_fields;
        if (event.m_kind == "fleet") {
            m_spare = pool_id(text_field(fields, "spare"));
            m_drain = milliseconds(number_field(fields, "drain_ms"));
            m_reboot = milliseconds(number_field(fields, "reboot_ms"));
            m_weights.m_idle_host_cost = real_field(fields, "buffer_weight", 1);
            m_weights.m_move_cost = real_field(fields, "move_weight", 1);
        }
        else if (event.m_kind == "pool") {
            add_pool(fields);
        }
        else if (event.m_kind == "budget") {
            add_budget(fields);
        }
        else if (event.m_kind == "demand") {
            m_demand[pool_id(text_field(fields, "pool"))] = real_field(fields, "hosts", 0);
        }
        else if (event.m_kind == "wave") {
            begin_wave(fields, event.m_at);
        }
        else if (event.m_kind == "broken") {
            m_broken.insert(worker_id(text_field(fields, "host")));
        }
        else if (event.m_kind == "fail_rack") {
            fail_rack(fields);
        }
        else if (event.m_kind != "end") {
            last_reason() = "unknown event " + event.m_kind;
            return false;
        }
        return true;
    }

    /// Lets time pass until a moment.
    void run_until(time_point until)
    {
        while (m_now < until) {
            m_now += step_length;
            work();
        }
    }

    /// What was measured.
    [[nodiscard]] measures result() const
    {
        measures measured;
        measured["violations"] = m_violations;
        measured["moves"] = m_moves;
        measured["wave_ms"] =
            m_wave_done == time_point{} ? 0 : to_milliseconds(m_wave_done - m_wave_started);
        measured["wave_bound_ms"] = m_bound_ms;
        measured["wave_round_bound_ms"] = m_round_bound_ms;
        measured["wave_done"] = m_wave ? measure_wave(m_fleet, *m_wave).m_done : 0;
        measured["wave_failed"] = m_wave ? measure_wave(m_fleet, *m_wave).m_failed : 0;
        measured["wave_stopped"] = m_wave && !m_wave->m_stop_reason.empty() ? 1 : 0;
        measured["most_reboots"] = m_most_reboots;
        measured["buffer_share"] = m_held == 0 ? 0 : m_idle / m_held;
        measured["short_host_hours"] = m_short_hours;
        measured["cost"] = m_moves * m_weights.m_move_cost + m_idle * m_weights.m_idle_host_cost;
        measured["cost_without_moves"] = m_idle_without_moves * m_weights.m_idle_host_cost;
        return measured;
    }

private:
    struct machine {
        time_point m_since{};
        host_state m_seen = host_state::serving;
        double m_reboots = 0;
    };

    [[nodiscard]] wall_time wall() const
    {
        return wall_time(std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()));
    }

    void add_pool(const boost::json::object& fields)
    {
        const std::int64_t count = number_field(fields, "hosts");
        const std::int64_t rack_size = std::max<std::int64_t>(1, number_field(fields, "rack_size"));
        const std::string name = text_field(fields, "name");
        for (std::int64_t i = 0; i < count; ++i) {
            fleet_host host;
            host.m_id = worker_id(name + "-" + std::to_string(i));
            const std::int64_t rack = m_first_rack + i / rack_size;
            host.m_rack = rack_id("r" + std::to_string(rack));
            host.m_zone = zone_id("z" + std::to_string(rack % 3 + 1));
            host.m_pool = pool_id(name);
            m_fleet.m_reports[host.m_id].m_up = true;
            m_fleet.m_hosts[host.m_id] = host;
        }
        m_first_size[pool_id(name)] = static_cast<double>(count);
        m_first_rack += (count + rack_size - 1) / rack_size;
    }

    void add_budget(const boost::json::object& fields)
    {
        pool_budget& budget = m_fleet.m_budgets[pool_id(text_field(fields, "pool"))];
        budget.m_min = static_cast<std::uint32_t>(number_field(fields, "min"));
        budget.m_max = static_cast<std::uint32_t>(number_field(fields, "max"));
        const std::string survives = text_field(fields, "survives");
        budget.m_survives = survives == "zone"   ? survivable_failure::zone
                            : survives == "rack" ? survivable_failure::rack
                                                 : survivable_failure::host;
        budget.m_customers = {customer_id(text_field(fields, "customer"))};
    }

    void begin_wave(const boost::json::object& fields, time_point at)
    {
        wave_record wave;
        wave.m_number = wave_number(number_field(fields, "number"));
        wave.m_spare_pool = m_spare;
        wave.m_started_at = wall();
        wave.m_longest_absence =
            milliseconds(static_cast<std::int64_t>(real_field(fields, "absence_ms", 600'000)));
        m_wave = wave;
        m_wave_started = at;
        m_bound_ms = 0;
        m_round_bound_ms = 0;
        std::map<pool_id, double> sizes;
        for (const auto& [id, host] : m_fleet.m_hosts) {
            sizes[host.m_pool] += 1;
        }
        const double each = to_milliseconds(m_drain + m_reboot);
        for (const auto& [pool, size] : sizes) {
            const double at_once = std::max(1.0, most_at_once(pool));
            m_bound_ms = std::max(m_bound_ms, size / at_once * each);
            m_round_bound_ms = std::max(m_round_bound_ms, std::ceil(size / at_once) * each);
        }
    }

    /// The largest number of a pool's hosts that its budget lets out at one time.
    [[nodiscard]] double most_at_once(const pool_id& pool) const
    {
        std::set<worker_id> out;
        bool grew = true;
        while (grew) {
            grew = false;
            std::map<std::string, std::vector<worker_id>> racks;
            for (const auto& [id, host] : m_fleet.m_hosts) {
                if (host.m_pool == pool && !out.contains(id)) {
                    racks[host.m_rack.str()].push_back(id);
                }
            }
            const auto fullest = std::max_element(
                racks.begin(), racks.end(), [](const auto& left, const auto& right) {
                    return left.second.size() < right.second.size();
                });
            if (fullest == racks.end()) {
                break;
            }
            out.insert(fullest->second.front());
            grew = is_budget_met_without(m_fleet, pool, out);
            if (!grew) {
                out.erase(fullest->second.front());
            }
        }
        return static_cast<double>(out.size());
    }

    void fail_rack(const boost::json::object& fields)
    {
        for (auto& [id, host] : m_fleet.m_hosts) {
            const bool hit = host.m_zone.str() == text_field(fields, "zone") &&
                             host.m_rack.str() == text_field(fields, "rack");
            if (hit) {
                m_fleet.m_reports[id].m_up = false;
            }
        }
    }

    void work()
    {
        for (auto& [id, host] : m_fleet.m_hosts) {
            work_on(host, m_machines[id], m_fleet.m_reports[id]);
        }
        decide();
        m_violations += list_violated_budgets(m_fleet).empty() ? 0 : 1;
        measure();
    }

    void work_on(const fleet_host& host, machine& one, host_report& report)
    {
        if (host.m_state != one.m_seen) {
            one.m_seen = host.m_state;
            one.m_since = m_now;
            if (host.m_state == host_state::away) {
                report.m_up = false;
                one.m_reboots += 1;
                m_most_reboots = std::max(m_most_reboots, one.m_reboots);
            }
            if (host.m_state == host_state::serving) {
                report.m_empty = false;
            }
        }
        const duration passed = m_now - one.m_since;
        if (host.m_state == host_state::draining && passed >= m_drain) {
            report.m_empty = true;
        }
        const bool back = host.m_state == host_state::away && passed >= m_reboot;
        if (back && !report.m_up && !m_broken.contains(host.m_id)) {
            report.m_up = true;
            report.m_maintained_wave = m_wave->m_number;
        }
    }

    void decide()
    {
        const wave_record* wave = m_wave ? &*m_wave : nullptr;
        if (wave != nullptr && wave->m_stop_reason.empty()) {
            m_wave->m_stop_reason = stop_reason(m_fleet, *wave);
        }
        while (const auto change = plan_change(m_fleet, wave, wall())) {
            apply(*change);
        }
        if (wave != nullptr && m_wave_done == time_point{} &&
            measure_wave(m_fleet, *wave).m_done == m_fleet.m_hosts.size()) {
            m_wave_done = m_now;
        }
        if (m_now < m_next_rebalance) {
            return;
        }
        m_next_rebalance = m_now + rebalance_interval;
        for (const auto& [pool, hosts] : m_demand) {
            observe_demand(m_forecasts, pool, hosts, m_now);
        }
        const auto move = plan_rebalance(m_fleet, m_forecasts, m_spare, m_weights, m_now, wall());
        if (move) {
            apply(*move);
        }
    }

    void apply(const host_change& change)
    {
        fleet_host& host = m_fleet.m_hosts.at(change.m_updated_host.m_id);
        m_moves += host.m_pool != change.m_updated_host.m_pool ? 1 : 0;
        host = change.m_updated_host;
    }

    void measure()
    {
        const double hours = std::chrono::duration<double>(step_length).count() / 3600;
        for (const auto& [pool, wanted] : m_demand) {
            const double held = count_pool(m_fleet, pool).m_in_service;
            m_held += held * hours;
            m_idle += std::max(0.0, held - wanted) * hours;
            m_idle_without_moves += std::max(0.0, m_first_size.at(pool) - wanted) * hours;
            m_short_hours += std::max(0.0, wanted - held) * hours;
        }
    }

    fleet_view m_fleet;
    std::map<worker_id, machine> m_machines;
    std::map<pool_id, double> m_demand;
    demand_forecasts m_forecasts;
    policy_weights m_weights;
    std::set<worker_id> m_broken;
    std::optional<wave_record> m_wave;
    pool_id m_spare;
    duration m_drain{};
    duration m_reboot{};
    time_point m_now{};
    time_point m_next_rebalance{};
    time_point m_wave_started{};
    time_point m_wave_done{};
    std::int64_t m_first_rack = 1;
    double m_bound_ms = 0;       ///< Host time over the largest concurrency.
    double m_round_bound_ms = 0; ///< The same in whole rounds, below which no order can go.
    double m_violations = 0;
    double m_moves = 0;
    double m_most_reboots = 0;
    double m_held = 0;
    double m_idle = 0;
    double m_short_hours = 0;
    double m_idle_without_moves = 0;
    std::map<pool_id, double> m_first_size; ///< Hosts of each pool at the start.
};

} // namespace

std::optional<measures> replay_fleet(const trace& recorded)
{
    fleet_run run;
    for (const trace_event& event : recorded.m_events) {
        run.run_until(event.m_at);
        if (!run.take(event)) {
            return std::nullopt;
        }
    }
    return run.result();
}

} // namespace guavabay
