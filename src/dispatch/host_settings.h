#pragma once

#include <string>
#include <vector>

#include "app/setting.h"
#include "core/ids.h"
#include "net/address.h"
#include "schedule/shard.h"

namespace guavabay {

/// Settings of an entry host that takes submissions on the platform.
struct host_settings {
    host_id m_host;
    zone_id m_zone;
    ip_address m_caller_address;
    ip_address m_readiness_address;
    ip_address m_peer_address;
    ip_address m_store_address;
    std::optional<ip_address> m_machines_address;
    std::optional<ip_address> m_advice_address;
    std::optional<ip_address> m_metrics_address;
    std::vector<std::string> m_seeds;     ///< Peer addresses of some other hosts; may be stale.
    milliseconds m_min_store_lease{1000}; ///< Shortest lease that the store grants.
    milliseconds m_grace_period{6000};    ///< Time between the order to stop and the end.
    milliseconds m_upkeep_duration{2000}; ///< How long the upkeep of a machine takes.
    milliseconds m_move_duration{1500};   ///< How long a move of a machine takes.
    double m_machine_orders_per_s = 16;
    double m_capacity = 1;      ///< What this host can carry, relative to others.
    bool m_first_start = false; ///< The whole system starts for the first time.
    schedule_bounds m_bounds;
};

/// All settings with their ranges.
std::vector<setting> declare_host_settings();

/// Turns checked values into settings; empty with a reason when some do not go together.
std::optional<host_settings> make_host_settings(const setting_values& values);

/// Reads a file of settings, a JSON object of names and texts, and puts each value that is not
/// empty into the environment under its variable, unless that is set. Gives false with a reason
/// when the file cannot be read.
bool apply_settings_file(const std::string& path);

} // namespace guavabay
