#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "contract/organisation.h"
#include "schedule/shard.h"

// Work of organisations that the configuration no longer has. It continues; an operator has to see
// when none of it runs any more.
namespace guavabay {

/// Work that one shard has of an organisation that left.
struct departed_organisation {
    std::size_t m_open_submissions = 0;
    std::size_t m_runs = 0;    ///< Also runs that are being stopped and starts without an answer.
    std::size_t m_workers = 0; ///< With such runs.
    time_point m_left_at{};    ///< When this owner first found that it had left.
    std::optional<time_point> m_idle_since{}; ///< Empty while one of its tasks runs or may run.
};

/// Organisations that left while they had work in one shard.
struct departures {
    std::set<organisation_id> m_configured;
    std::map<organisation_id, departed_organisation> m_left;
    time_point m_search_until{}; ///< Until then more work of organisations that left may appear.
    time_point m_counted_at{};
};

/// Sets the organisations that the configuration has. One that returns has not left.
void set_configured(departures& known, const organisation_directory& organisations, time_point now);

/// True if runs may exist that this owner does not know of, or that belong to a submission which it
/// does not know.
bool may_have_unknown_runs(const shard& state);

/// Counts the work of organisations that left, at most once per second, and returns log lines about
/// what has changed. Does nothing while no organisation has left.
std::vector<std::string> update_departures(departures& known, const shard& state, time_point now);

/// Metrics of the organisations that left, one line each.
std::string format_departure_metrics(const departures& known, const service_id& service,
                                     time_point now);

} // namespace guavabay
