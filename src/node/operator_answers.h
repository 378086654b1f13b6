#pragma once

#include <boost/json/object.hpp>
#include <string>

#include "node/node_events.h"

namespace guavabay {

/// Answers an operator's call.
void answer(const operator_request& request, const boost::json::object& body, node_output& out);

/// Refuses an operator's call with the reason.
void answer_error(std::uint64_t number, error_kind kind, std::string reason, node_output& out);

} // namespace guavabay
