#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace guavabay {

/// A call over HTTP to a system around this one.
struct http_call {
    std::string m_method;
    std::string m_target;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;
    /// Checked when the connection is open, right before the call is sent; nothing is sent if it
    /// returns false. Empty for a call that is always sent.
    std::function<bool()> m_may_send = nullptr;
};

/// How far a call came.
enum class call_progress : std::uint8_t {
    answered,
    not_sent, ///< No connection; the other side has not seen the call.
    unknown,  ///< No whole answer; the call may be carried out, also later.
};

/// What came of a call.
struct http_answer {
    call_progress m_progress = call_progress::unknown;
    unsigned m_status = 0;
    std::string m_body;
    std::size_t m_received_bytes = 0; ///< Of the body, also if the answer is not complete.
};

} // namespace guavabay
