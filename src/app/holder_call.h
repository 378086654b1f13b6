#pragma once

#include <string>

#include "app/operator_client.h"

namespace guavabay {

/// Sends a call to each host until the one that has the duty takes it, trying for as long as the
/// operator waits; prints the answer, and gives its body in `body`. Gives the exit status.
int send_to_holder(const setting_values& values, const operator_call& call, std::string& body);

/// The same for callers that do not need the body.
int send_to_holder(const setting_values& values, const operator_call& call);

} // namespace guavabay
