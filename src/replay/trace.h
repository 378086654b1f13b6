#pragma once

#include <boost/json/object.hpp>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace guavabay {

/// One line of a recorded trace.
struct trace_event {
    time_point m_at{};
    std::string m_kind;
    boost::json::object m_fields;
};

/// What a trace states must come out.
struct stated_outcome {
    std::string m_measure;
    std::string m_over; ///< Second measure by which the first is divided; empty for none.
    std::optional<double> m_at_most;
    std::optional<double> m_at_least;
};

/// A recorded trace: events in the order of virtual time, and the outcomes stated for them.
struct trace {
    std::vector<trace_event> m_events;
    std::vector<stated_outcome> m_outcomes;
};

/// What a replay measured, by name.
using measures = std::map<std::string, double>;

/// How one stated outcome came out.
struct outcome_result {
    std::string m_line; ///< For people: the measure, its value and its bound.
    bool m_holds = false;
};

/// Reads a trace of JSON lines; empty with the line and the reason when malformed.
std::optional<trace> read_trace(std::istream& stream);

/// Compares measures with what was stated. A measure that is missing does not hold.
std::vector<outcome_result> judge(const trace& recorded, const measures& measured);

/// Replays a trace through the decision functions; empty with a reason when it makes no sense.
std::optional<measures> replay(const trace& recorded);

} // namespace guavabay
