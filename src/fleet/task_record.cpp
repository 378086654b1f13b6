#include "fleet/task_record.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

#include "core/json_fields.h"
#include "core/result.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 7> state_names{
    "waiting", "starting", "running", "checkpointing", "done", "cancelled", "refused"};
constexpr std::array<std::string_view, 5> run_state_names{"running", "saved", "done", "failed",
                                                          "stopped"};
constexpr std::array<std::string_view, 6> submission_fields{
    "customer", "kind", "cpu_millis", "memory_mb", "accelerators", "urgent"};
constexpr std::int64_t max_resource_amount = 1'000'000'000;

/// Returns the position of a state name. Returns nullopt and sets the failure reason if it is
/// unknown.
template <std::size_t Size>
std::optional<std::size_t> find_name(const std::array<std::string_view, Size>& names,
                                     const std::string& name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
        return fail("the state '" + name + "' is not known");
    }
    return static_cast<std::size_t>(found - names.begin());
}

void read_request(const json::object& object, task& task_entry)
{
    task_entry.m_customer = customer_id(text_field(object, "customer"));
    task_entry.m_kind = text_field(object, "kind");
    task_entry.m_urgent = flag_field(object, "urgent");
    task_entry.m_declared = read_resources(object);
}

json::object write_request(const task& task_entry)
{
    json::object object{{"customer", task_entry.m_customer.str()}, {"kind", task_entry.m_kind}};
    write_resources(task_entry.m_declared, object);
    if (task_entry.m_urgent) {
        object["urgent"] = true;
    }
    return object;
}

bool in_range(std::int64_t amount)
{
    return amount >= 0 && amount <= max_resource_amount;
}

/// Describes the first invalid member of a submission; empty if all are valid.
std::string find_fault(const json::object& object)
{
    for (const auto& member : object) {
        const std::string_view name(member.key().data(), member.key().size());
        if (std::find(submission_fields.begin(), submission_fields.end(), name) ==
            submission_fields.end()) {
            return "/" + std::string(name) + ": unknown field";
        }
    }
    for (const char* name : {"cpu_millis", "memory_mb", "accelerators"}) {
        const json::value* value = object.if_contains(name);
        if (value != nullptr && (!value->is_int64() || !in_range(value->get_int64()))) {
            return std::string("/") + name + ": must be a whole number from 0 to 1000000000";
        }
    }
    for (const char* name : {"customer", "kind"}) {
        if (text_field(object, name).empty()) {
            return std::string("/") + name + ": missing";
        }
    }
    const json::value* urgent = object.if_contains("urgent");
    if (urgent != nullptr && !urgent->is_bool()) {
        return "/urgent: must be true or false";
    }
    return {};
}

} // namespace

std::optional<task> parse_task(const pool_id& pool, const task_id& id, const std::string& value)
{
    const std::optional<json::object> object = parse_json_object(value);
    if (!object) {
        return std::nullopt;
    }
    const auto state = find_name(state_names, text_field(*object, "state"));
    if (!state) {
        return std::nullopt;
    }
    task task_entry;
    task_entry.m_id = id;
    task_entry.m_pool = pool;
    read_request(*object, task_entry);
    task_entry.m_state = static_cast<task_state>(*state);
    task_entry.m_reason = text_field(*object, "reason");
    task_entry.m_worker = worker_id(text_field(*object, "worker"));
    task_entry.m_attempt = static_cast<std::uint64_t>(number_field(*object, "attempt"));
    task_entry.m_cancel_requested = flag_field(*object, "cancel");
    task_entry.m_throttled = flag_field(*object, "throttled");
    task_entry.m_stopping_on = worker_id(text_field(*object, "stopping_on"));
    const json::value* reserved = object->if_contains("reserved");
    task_entry.m_reserved = reserved != nullptr && reserved->is_object()
                                ? read_resources(reserved->get_object())
                                : task_entry.m_declared;
    const json::value* failed = object->if_contains("failed_on");
    if (failed != nullptr && failed->is_array()) {
        for (const json::value& worker : failed->get_array()) {
            if (worker.is_string()) {
                task_entry.m_failed_on.insert(worker_id(worker.get_string().c_str()));
            }
        }
    }
    return task_entry;
}

std::string format_task(const task& task_entry)
{
    json::object object = write_request(task_entry);
    const bool running = task_entry.m_state == task_state::running;
    object["state"] = to_string(running ? task_state::starting : task_entry.m_state);
    object["attempt"] = static_cast<std::int64_t>(task_entry.m_attempt);
    if (!task_entry.m_reason.empty()) {
        object["reason"] = task_entry.m_reason;
    }
    if (!task_entry.m_worker.empty()) {
        object["worker"] = task_entry.m_worker.str();
        json::object reserved;
        write_resources(task_entry.m_reserved, reserved);
        object["reserved"] = std::move(reserved);
    }
    if (!task_entry.m_stopping_on.empty()) {
        object["stopping_on"] = task_entry.m_stopping_on.str();
    }
    if (task_entry.m_cancel_requested) {
        object["cancel"] = true;
    }
    if (task_entry.m_throttled) {
        object["throttled"] = true;
    }
    if (!task_entry.m_failed_on.empty()) {
        json::array failed;
        for (const worker_id& worker : task_entry.m_failed_on) {
            failed.emplace_back(worker.str());
        }
        object["failed_on"] = std::move(failed);
    }
    return json::serialize(object);
}

std::optional<task> parse_submission(const pool_id& pool, const task_id& id,
                                     const std::string& body)
{
    const std::optional<json::object> object = parse_json_object(body);
    if (!object) {
        return std::nullopt;
    }
    std::string fault = find_fault(*object);
    if (!fault.empty()) {
        return fail(std::move(fault));
    }
    task task_entry;
    task_entry.m_id = id;
    task_entry.m_pool = pool;
    read_request(*object, task_entry);
    return task_entry;
}

bool has_same_request(const task& left, const task& right)
{
    return left.m_customer == right.m_customer && left.m_kind == right.m_kind &&
           left.m_urgent == right.m_urgent && left.m_declared == right.m_declared;
}

std::optional<run_report> parse_run_report(const std::string& value)
{
    const std::optional<json::object> object = parse_json_object(value);
    if (!object) {
        return std::nullopt;
    }
    const auto state = find_name(run_state_names, text_field(*object, "state"));
    if (!state) {
        return std::nullopt;
    }
    run_report report;
    report.m_attempt = static_cast<std::uint64_t>(number_field(*object, "attempt"));
    report.m_state = static_cast<run_state>(*state);
    report.m_used = read_resources(*object);
    return report;
}

std::string format_run_report(const run_report& report)
{
    json::object object{{"attempt", static_cast<std::int64_t>(report.m_attempt)},
                        {"state", run_state_names.at(static_cast<std::size_t>(report.m_state))}};
    write_resources(report.m_used, object);
    return json::serialize(object);
}

std::string to_string(task_state state)
{
    return std::string(state_names.at(static_cast<std::size_t>(state)));
}

resources read_resources(const json::object& object)
{
    const auto amount = [&object](std::string_view name) {
        return std::clamp<std::int64_t>(number_field(object, name), 0, max_resource_amount);
    };
    return {amount("cpu_millis"), amount("memory_mb"), amount("accelerators")};
}

void write_resources(const resources& amounts, json::object& object)
{
    object["cpu_millis"] = amounts.m_cpu_millis;
    object["memory_mb"] = amounts.m_memory_mb;
    if (amounts.m_accelerators != 0) {
        object["accelerators"] = amounts.m_accelerators;
    }
}

} // namespace guavabay
