#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_host.h"

namespace guavabay {

/// A maintenance wave over all hosts, as the store keeps it.
struct wave_record {
    wave_number m_number;
    bool m_paused = false;
    std::string m_stop_reason; ///< Why the wave stopped by itself; empty while it goes on.
    pool_id m_spare_pool;      ///< Pool that replaces hosts which do not come back.
    wall_time m_started_at{};
    milliseconds m_longest_absence{600'000}; ///< A host that is away longer has failed.
    std::uint32_t m_failure_limit = 2;       ///< Failed hosts at which the wave stops.
};

/// Reads a wave record; empty with a reason when malformed.
std::optional<wave_record> parse_wave(const std::string& value);

/// Writes a wave record.
std::string format_wave(const wave_record& wave);

/// How far a wave is.
struct wave_progress {
    std::uint32_t m_total = 0;
    std::uint32_t m_done = 0;
    std::uint32_t m_out = 0;    ///< Draining or away for this wave.
    std::uint32_t m_failed = 0; ///< Hosts that did not come back in this wave.
};

/// Counts how far a wave is.
wave_progress measure_wave(const fleet_view& fleet, const wave_record& wave);

/// One change to a host's record, with the reason for the log.
struct host_change {
    fleet_host m_updated_host;
    std::string m_reason;
};

/// The next change that the wave or an open move needs; empty when there is nothing to do now.
/// Only one change is decided at a time, since each changes what the next may be.
std::optional<host_change> plan_change(const fleet_view& fleet, const wave_record* wave,
                                       wall_time now);

/// Why a wave must stop; empty when it may go on.
std::string stop_reason(const fleet_view& fleet, const wave_record& wave);

/// Plans a move of a host to another pool; empty with a reason that names the budget which the
/// move would break.
std::optional<host_change> plan_move(const fleet_view& fleet, const worker_id& host,
                                     const pool_id& target, wall_time now);

} // namespace guavabay
