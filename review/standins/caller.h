#pragma once

#include <string>

#include "asio.h"
#include "record.h"

namespace review {

/// Answer of an entry host; the status is 0 if there was none in time.
struct caller_answer {
    unsigned m_status = 0;
    std::string m_body;
};

/// Sends one request of a caller, whose route has the host name `jobs.example`.
asio::awaitable<caller_answer> call_host(asio::io_context& context, record& log,
                                         std::string address, std::string method,
                                         std::string target, std::string body,
                                         milliseconds time_budget);

} // namespace review
