#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

#include "roles.h"

namespace standins {

/// One run as an endpoint recorded it.
struct run_record {
    std::string m_id; ///< The caller's id of the request.
    std::string m_endpoint;
    std::int64_t m_start_ms = 0;
    bool m_idempotent = true;
    std::int64_t m_leaving_since_ms = 0; ///< Zero for an endpoint that was not leaving.
};

/// One request as its caller saw it end.
struct told_record {
    std::string m_id;
    int m_status = 0;         ///< Zero when the connection broke without an answer.
    std::string m_ran;        ///< no, unknown or yes; empty for an endpoint's own answer.
    bool m_own_answer = true; ///< The body belongs to this request and is whole.
    bool m_answered_by_endpoint = false;
    std::string m_key; ///< The idempotency key; empty when there was none.
};

/// What a check found.
struct check_report {
    std::uint64_t m_requests = 0;
    std::uint64_t m_runs = 0;
    std::vector<std::string> m_violations;
};

/// Verifies every single request: each answer is the caller's own and whole; not run means not
/// run; a request that is not idempotent, and a key, runs at most once; an answer means a run;
/// a leaving endpoint starts nothing after the given time.
check_report check_records(const std::vector<run_record>& runs,
                           const std::vector<told_record>& told, std::int64_t leaving_limit_ms);

/// Reads an endpoint's record, one JSON object a line.
std::vector<run_record> read_runs(std::istream& stream);

/// Reads a caller's record, one JSON object a line.
std::vector<told_record> read_told(std::istream& stream);

/// Checks the files --runs A,B,... against --told A,B,... and prints the report.
int run_check(const options& given);

} // namespace standins
