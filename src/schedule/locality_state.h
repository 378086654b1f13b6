#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "schedule/locality.h"
#include "submission/submission.h"

namespace guavabay {

/// A task, or a gang under the name of its first member, that waits for its place.
struct place_wait {
    std::string m_place; ///< Rack.
    time_point m_since{};
    time_point m_until{};          ///< When it takes the second-best place.
    time_point m_seen_at{};        ///< When the wait was last decided.
    duration m_expected{0};        ///< Length of the wait as first expected.
    duration m_longer{0};          ///< Time that a run elsewhere would take longer.
    std::int64_t m_cpu_millis = 0; ///< Cores that it leaves idle elsewhere, in thousandths.
};

/// Counts of decisions about places, for metrics.
struct locality_counts {
    std::uint64_t m_waits_paid = 0;      ///< Ended at the place, sooner than a run elsewhere.
    std::uint64_t m_waits_unpaid = 0;    ///< Ended elsewhere, or later than a run elsewhere.
    std::uint64_t m_starts_at_place = 0; ///< Tasks and gangs that started at their place.
    std::uint64_t m_starts_elsewhere = 0;
    std::uint64_t m_unlogged_waits = 0; ///< Waits whose log line exceeded the bound.
    double m_wait_seconds = 0;          ///< Sum of all ended waits.
    double m_idle_core_seconds = 0;     ///< Cores declined by waiting tasks, summed over time.
};

/// What an owner has learned about waits for places. A new owner starts from priors.
struct locality_state {
    wait_rule m_rule = wait_rule::expected_gain;
    duration m_fixed_wait{0}; ///< For the rule of this name.
    /// For comparisons: the true remaining time of a run in place of the expected one.
    std::function<duration(const task_name&, time_point)> m_known_remaining;
    bool m_is_active = false; ///< Work that names a place has been seen.
    overrun_history m_overruns;
    std::map<std::string, wait_history> m_wait_histories; ///< By rack.
    std::map<task_name, place_wait> m_waits;
    std::set<submission_id> m_logged; ///< Open submissions whose wait the log has stated.
    time_point m_log_window{};        ///< Start of the present second of the log's bound.
    std::uint32_t m_log_lines = 0;    ///< Lines in that second.
    time_point m_next_review{};       ///< Earliest next search for waits that are over.
    locality_counts m_counts;
};

} // namespace guavabay
