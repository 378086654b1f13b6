#include "replay/trace.h"

#include <algorithm>
#include <cstdio>

#include "core/json_fields.h"
#include "core/result.h"
#include "replay/fleet_replay.h"
#include "replay/slot_replay.h"
#include "replay/task_replay.h"

namespace guavabay {

namespace json = boost::json;

namespace {

std::optional<double> bound(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    return value->to_number<double>();
}

std::optional<double> value_of(const measures& measured, const stated_outcome& stated)
{
    const auto first = measured.find(stated.m_measure);
    if (first == measured.end()) {
        return std::nullopt;
    }
    if (stated.m_over.empty()) {
        return first->second;
    }
    const auto second = measured.find(stated.m_over);
    if (second == measured.end() || second->second == 0) {
        return std::nullopt;
    }
    return first->second / second->second;
}

std::string describe(const stated_outcome& stated, std::optional<double> value)
{
    std::string name = stated.m_measure;
    name += stated.m_over.empty() ? "" : " / " + stated.m_over;
    char text[64];
    std::snprintf(text, sizeof text, "%.4g", value.value_or(0));
    std::string line = name + " = " + (value ? text : "not measured");
    if (stated.m_at_most) {
        std::snprintf(text, sizeof text, ", at most %.4g", *stated.m_at_most);
        line += text;
    }
    if (stated.m_at_least) {
        std::snprintf(text, sizeof text, ", at least %.4g", *stated.m_at_least);
        line += text;
    }
    return line;
}

} // namespace

std::optional<trace> read_trace(std::istream& stream)
{
    trace recorded;
    std::string line;
    std::size_t number = 0;
    while (std::getline(stream, line)) {
        ++number;
        if (line.empty()) {
            continue;
        }
        const std::string place = "line " + std::to_string(number) + ": ";
        const std::optional<json::object> object = parse_json_object(line);
        if (!object) {
            return fail(place + last_reason());
        }
        const std::string outcome = text_field(*object, "outcome");
        if (!outcome.empty()) {
            stated_outcome stated{outcome, text_field(*object, "over"), bound(*object, "at_most"),
                                  bound(*object, "at_least")};
            if (!stated.m_at_most && !stated.m_at_least) {
                return fail(place + "the outcome has no bound");
            }
            recorded.m_outcomes.push_back(std::move(stated));
            continue;
        }
        trace_event event;
        event.m_kind = text_field(*object, "event");
        if (event.m_kind.empty()) {
            return fail(place + "neither an event nor an outcome");
        }
        const double at_ms = real_field(*object, "at_ms", 0);
        if (at_ms < 0 || at_ms > 1e12) {
            return fail(place + "at_ms is out of range");
        }
        event.m_at = time_point(duration(static_cast<std::int64_t>(at_ms * 1000)));
        event.m_fields = *object;
        recorded.m_events.push_back(std::move(event));
    }
    std::stable_sort(
        recorded.m_events.begin(), recorded.m_events.end(),
        [](const trace_event& left, const trace_event& right) { return left.m_at < right.m_at; });
    return recorded;
}

std::vector<outcome_result> judge(const trace& recorded, const measures& measured)
{
    std::vector<outcome_result> results;
    for (const stated_outcome& stated : recorded.m_outcomes) {
        const std::optional<double> value = value_of(measured, stated);
        const bool low_enough = !stated.m_at_most || (value && *value <= *stated.m_at_most);
        const bool high_enough = !stated.m_at_least || (value && *value >= *stated.m_at_least);
        results.push_back({describe(stated, value), value && low_enough && high_enough});
    }
    return results;
}

std::optional<measures> replay(const trace& recorded)
{
    for (const trace_event& event : recorded.m_events) {
        if (event.m_kind == "slots") {
            return replay_slots(recorded);
        }
        if (event.m_kind == "fleet") {
            return replay_fleet(recorded);
        }
        if (event.m_kind == "tasks") {
            return replay_tasks(recorded);
        }
    }
    return fail("the trace has no event slots, fleet or tasks that says what it is about");
}

} // namespace guavabay
