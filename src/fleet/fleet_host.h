#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/config_table.h"
#include "contract/contract.h"
#include "core/ids.h"
#include "core/time.h"
#include "fleet/resources.h"

namespace guavabay {

using worker_id = string_id<struct worker_tag>;

/// Number of a maintenance wave; a host that carries it has been maintained.
using wave_number = number_id<struct wave_tag, std::int64_t>;

/// What a host of the fleet is doing, as decided by this system.
enum class host_state : std::uint8_t {
    serving,  ///< Takes work of its pool.
    draining, ///< Finishes its work and takes no more.
    away,     ///< Is empty and may be rebooted.
    failed,   ///< Did not come back.
};

/// One host of the fleet. Its pool is one field of one record, so it is in one pool at a time.
struct fleet_host {
    worker_id m_id;
    zone_id m_zone;
    rack_id m_rack;
    pool_id m_pool;
    std::optional<pool_id> m_target; ///< Pool that it joins once it is empty.
    host_state m_state = host_state::serving;
    wave_number m_maintained_wave;
    wall_time m_changed_at{}; ///< When the state last changed.
    revision m_revision;      ///< Of the record in the store.
};

/// What the platform says of a host. It lags.
struct host_report {
    bool m_up = false;
    bool m_empty = false; ///< No task and no request is left on it.
    wave_number m_maintained_wave;
    resources m_capacity; ///< What the host offers to tasks.
    revision m_revision;  ///< Of the record in the store.
};

/// Hosts that a pool owes, derived from the contracts that name it.
struct pool_budget {
    std::uint32_t m_min = 0; ///< Hosts in service that must remain at all times.
    std::uint32_t m_max = 0; ///< Hosts that the contracts allow in total.
    survivable_failure m_survives = survivable_failure::host;
    std::vector<customer_id> m_customers; ///< Whose contracts the budget comes from.
};

/// All hosts with their reports and the budgets of their pools.
struct fleet_view {
    std::map<worker_id, fleet_host> m_hosts;
    std::map<worker_id, host_report> m_reports;
    std::map<pool_id, pool_budget> m_budgets;
};

/// True when a host counts towards its pool's capacity.
bool is_in_service(const fleet_view& fleet, const fleet_host& host);

/// Reads a host record; empty with a reason when malformed.
std::optional<fleet_host> parse_fleet_host(const std::string& id, const std::string& value);

/// Writes a host record.
std::string format_fleet_host(const fleet_host& host);

/// Reads a platform's report; empty with a reason when malformed.
std::optional<host_report> parse_host_report(const std::string& value);

/// Writes a report, for stand-ins and tests.
std::string format_host_report(const host_report& report);

/// The word for a state, as records use it.
std::string to_string(host_state state);

} // namespace guavabay
