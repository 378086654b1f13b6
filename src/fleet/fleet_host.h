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

/// Number of a maintenance wave. A host record holds the number of the last wave that maintained
/// the host.
using wave_number = number_id<struct wave_tag, std::int64_t>;

/// State of a host as decided by this system. Records in the store hold the names of the values.
enum class host_state : std::uint8_t {
    serving,  ///< Accepts work of its pool.
    draining, ///< Finishes its current work and accepts no more.
    away,     ///< Has no work left and may be rebooted.
    failed,   ///< Did not return from maintenance in time.
};

/// Record of one host. The pool is a single field of a single record, so that a host cannot be in
/// two pools at a time.
struct fleet_host {
    worker_id m_id;
    zone_id m_zone;
    rack_id m_rack;
    pool_id m_pool;
    std::optional<pool_id> m_target; ///< Pool that the host joins when its work has ended.
    host_state m_state = host_state::serving;
    wave_number m_maintained_wave; ///< Last wave that maintained the host; 0 for none.
    wall_time m_changed_at{};      ///< Time of the last change of state.
    revision m_revision;           ///< Revision of the record in the store.
};

/// Report of the platform about a host. It can be older than the host's record.
struct host_report {
    bool m_up = false;
    bool m_empty = false;          ///< The host runs no task and serves no request.
    wave_number m_maintained_wave; ///< Last wave that maintained the host; 0 for none.
    resources m_capacity;          ///< Resources that the host offers to tasks.
    revision m_revision;           ///< Revision of the record in the store.
};

/// Limits on the number of hosts of a pool, summed over the contracts that name it.
struct pool_budget {
    std::uint32_t m_min = 0; ///< Hosts that must be in service at all times.
    std::uint32_t m_max = 0; ///< Hosts that the pool may have at most.
    survivable_failure m_survives = survivable_failure::host; ///< Failure that must not break it.
    std::vector<customer_id> m_customers; ///< Customers of the contracts, one entry per grant.
};

/// Snapshot of all hosts with the platform's reports and the budgets of the pools.
struct fleet_view {
    std::map<worker_id, fleet_host> m_hosts;
    std::map<worker_id, host_report> m_reports;
    std::map<pool_id, pool_budget> m_budgets;
};

/// Returns whether a host counts towards the capacity of its pool: its state is `serving` and the
/// platform reports it as up.
bool is_in_service(const fleet_view& fleet, const fleet_host& host);

/// Parses the JSON of a host record. Returns nothing and sets the last reason (core/result.h) when
/// it is malformed. A missing `changed_at` reads as the epoch.
std::optional<fleet_host> parse_fleet_host(const std::string& id, const std::string& value);

/// Formats a host record as JSON. The id and the revision are not part of it.
std::string format_fleet_host(const fleet_host& host);

/// Parses the JSON of a platform report; missing fields keep their defaults. Returns nothing and
/// sets the last reason when the value is not a JSON object.
std::optional<host_report> parse_host_report(const std::string& value);

/// Formats a platform report as JSON, for the stand-ins and the tests.
std::string format_host_report(const host_report& report);

/// Returns the name of a state as records hold it.
std::string to_string(host_state state);

} // namespace guavabay
