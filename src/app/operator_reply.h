#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <vector>

#include "app/operator_client.h"

namespace guavabay {

/// HTTP status of an answer that is not an error.
inline constexpr unsigned ok_status = 200;

/// The path of a customer's contract, or of a call about it.
std::string path_of(const std::string& customer, const std::string& action = {});

/// What an error answer says, for people.
std::string reason_in(const std::string& body);

/// The kind of an error answer; empty for any other answer.
std::string error_in(const std::string& body);

/// What an answer about a customer lists as missing.
std::vector<std::string> missing_in(const boost::json::object& status);

/// Sends a call and prints the answer as it came. Gives the exit status.
int print_reply(operator_client& client, const operator_call& call);

} // namespace guavabay
