#pragma once

#include <string>
#include <vector>

#include "app/setting.h"
#include "core/ids.h"
#include "dispatch/key_revocation.h"
#include "net/address.h"
#include "schedule/shard.h"

namespace guavabay {

/// Settings of an entry host, from flags, environment variables and the settings file.
struct host_settings {
    host_id m_host;
    zone_id m_zone;
    ip_address m_caller_address;
    ip_address m_readiness_address;
    ip_address m_peer_address;
    ip_address m_store_address;
    std::optional<ip_address> m_machines_address; ///< The platform's interface for machines.
    std::optional<ip_address> m_advice_address;   ///< Service that permits steps to run on workers.
    std::optional<ip_address> m_metrics_address;  ///< Without it no metrics are served.
    std::vector<std::string> m_seeds;     ///< Peer addresses to contact first; may be stale.
    milliseconds m_min_store_lease{1000}; ///< Shortest lease that the store grants.
    milliseconds m_grace_period{6000};    ///< From the stop signal to the forced kill.
    milliseconds m_upkeep_duration{2000}; ///< Of one machine.
    milliseconds m_move_duration{1500};   ///< Of one machine to another pool.
    double m_machine_orders_per_s = 16;   ///< Rate of machine orders that the platform accepts.
    double m_capacity = 1;         ///< Load that this host can take, relative to other hosts.
    std::size_t m_memory_mb = 160; ///< Memory of this host.
    std::size_t m_max_descriptors = 4100; ///< Descriptors that this process may open.
    bool m_first_start = false;           ///< The whole system is starting for the first time.
    revocation_rule m_revocation;         ///< How long keys are trusted without contact.
    schedule_bounds m_bounds;             ///< Times and factors that the scheduler relies on.
};

/// Declares all settings of an entry host with their defaults, ranges and help texts.
std::vector<setting> declare_host_settings();

/// Converts values that passed the checks of their declarations. Returns nothing, with the error in
/// last_reason(), if a number with a fraction is malformed or out of range.
std::optional<host_settings> make_host_settings(const setting_values& values);

/// Reads a JSON object of setting names and string values from a file. Sets the environment
/// variable of each setting that has a non-empty value, unless the variable is already set. Returns
/// false, with the error in last_reason(), if the file cannot be read or parsed.
bool apply_settings_file(const std::string& path);

} // namespace guavabay
