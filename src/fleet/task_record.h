#pragma once

#include <boost/json/object.hpp>
#include <optional>
#include <string>

#include "fleet/task_board.h"

namespace guavabay {

/// State of a task's run, as the platform reports it.
enum class run_state : std::uint8_t { running, saved, done, failed, stopped };

/// Report of the platform about one run of a task.
struct run_report {
    std::uint64_t m_attempt = 0;
    run_state m_state = run_state::running;
    resources m_used;
};

/// Parses a task's stored record. Returns nullopt and sets the failure reason if the value is not a
/// JSON object or its state is unknown.
std::optional<task> parse_task(const pool_id& pool, const task_id& id, const std::string& value);

/// Serializes a task for the store. A running task is written as starting, because the platform's
/// report of the run says whether it is running.
std::string format_task(const task& task_entry);

/// Parses a task submission of an operator. Returns nullopt and sets the failure reason, which
/// names the field, if a field is unknown, missing or out of range.
std::optional<task> parse_submission(const pool_id& pool, const task_id& id,
                                     const std::string& body);

/// Returns true if two tasks have the same customer, kind, urgency and declared resources.
bool has_same_request(const task& left, const task& right);

/// Parses a run report. Returns nullopt and sets the failure reason if the value is not a JSON
/// object or its state is unknown.
std::optional<run_report> parse_run_report(const std::string& value);

/// Serializes a run report. Only stand-ins for the platform and tests need it.
std::string format_run_report(const run_report& report);

/// Returns the name of a state as used in stored records and operator answers.
std::string to_string(task_state state);

/// Reads resources from the members of a JSON object. Absent and negative values become zero, and
/// values above the submission limit of 1,000,000,000 are clamped to it.
resources read_resources(const boost::json::object& object);

/// Writes resources as members of a JSON object. The accelerators are left out if zero.
void write_resources(const resources& amounts, boost::json::object& object);

} // namespace guavabay
