#pragma once

#include <boost/json/object.hpp>
#include <optional>
#include <string>

#include "fleet/task_board.h"

namespace guavabay {

/// Where a run of a task is, as the platform reports it.
enum class run_state : std::uint8_t { running, saved, done, failed, stopped };

/// What the platform reports of a task's run.
struct run_report {
    std::uint64_t m_attempt = 0;
    run_state m_state = run_state::running;
    resources m_used;
};

/// Reads a task as the store keeps it; empty with a reason when malformed.
std::optional<task> parse_task(const pool_id& pool, const task_id& id, const std::string& value);

/// Writes a task as the store keeps it. A running task is written as started: the platform's
/// report says that it runs.
std::string format_task(const task& one);

/// Reads what an operator submits; empty with a reason when malformed.
std::optional<task> parse_submission(const pool_id& pool, const task_id& id,
                                     const std::string& body);

/// True when two tasks ask for the same.
bool has_same_request(const task& left, const task& right);

/// Reads a run's report; empty with a reason when malformed.
std::optional<run_report> parse_run_report(const std::string& value);

/// Writes a run's report, for stand-ins and tests.
std::string format_run_report(const run_report& report);

/// The word for a state, as records and operators use it.
std::string to_string(task_state state);

/// Reads amounts from the members of an object; absent and negative ones are zero, and none is
/// larger than what may be submitted.
resources read_resources(const boost::json::object& object);

/// Writes amounts as members of an object.
void write_resources(const resources& amounts, boost::json::object& object);

} // namespace guavabay
