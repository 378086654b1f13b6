#pragma once

#include <string>

#include "core/error_kind.h"
#include "net/asio.h"

namespace guavabay {

using string_response = http::response<http::string_body>;

/// The answer to a caller whose request failed, as JSON with its kind and whether it ran.
string_response make_error_answer(error_kind kind, const std::string& request_name,
                                  const std::string& detail = {});

/// An answer with a JSON or text body.
string_response make_answer(http::status status, const std::string& content_type, std::string body);

} // namespace guavabay
