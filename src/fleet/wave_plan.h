#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_host.h"

namespace guavabay {

/// Record of a maintenance wave over all hosts, as the store holds it.
struct wave_record {
    wave_number m_number;
    bool m_paused = false;
    std::string m_stop_reason; ///< Why the system stopped the wave; empty when it did not.
    pool_id m_spare_pool;      ///< Pool whose hosts replace those that do not return.
    wall_time m_started_at{};  ///< Hosts that failed before do not count against the wave.
    milliseconds m_longest_absence{600'000}; ///< A host that is away for longer has failed.
    std::uint32_t m_failure_limit = 2;       ///< Number of failed hosts at which the wave stops.
};

/// Parses the JSON of a wave record. Returns nothing and sets the last reason (core/result.h) when
/// it is malformed. Limits that are missing or not positive keep their defaults.
std::optional<wave_record> parse_wave(const std::string& value);

/// Formats a wave record as JSON.
std::string format_wave(const wave_record& wave);

/// Numbers of hosts in a wave.
struct wave_progress {
    std::uint32_t m_total = 0;  ///< Hosts of the fleet.
    std::uint32_t m_done = 0;   ///< Hosts that the wave has maintained.
    std::uint32_t m_out = 0;    ///< Hosts that are draining or away for the wave.
    std::uint32_t m_failed = 0; ///< Hosts that did not return from maintenance in this wave.
};

/// Counts the hosts of a fleet by their progress in a wave.
wave_progress measure_wave(const fleet_view& fleet, const wave_record& wave);

/// A change to the record of one host, with its reason; the reason is stored with the record.
struct host_change {
    fleet_host m_updated_host; ///< The whole record after the change.
    std::string m_reason;
};

/// Returns the next change that the wave or a move in progress needs, or nothing when none is due.
/// It plans a single change, because each one alters what the budgets allow next. `wave` is null
/// when no wave exists.
std::optional<host_change> plan_change(const fleet_view& fleet, const wave_record* wave,
                                       wall_time now);

/// Returns why a wave must stop, or an empty string when it may continue. The text is stored in the
/// wave's record.
std::string stop_reason(const fleet_view& fleet, const wave_record& wave);

/// Plans the move of a host to another pool; the host drains first. Returns nothing and sets the
/// last reason when the host is unknown, is not serving or is in that pool already, or when the
/// move would break the budget of either pool.
std::optional<host_change> plan_move(const fleet_view& fleet, const worker_id& host,
                                     const pool_id& target, wall_time now);

} // namespace guavabay
