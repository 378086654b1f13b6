#include <catch2/catch.hpp>
#include <sstream>

#include "checker.h"
#include "core/error_kind.h"

using namespace standins;

namespace {

const run_record post_run{"c-1", "e1", 1000, false, 0};
const told_record answered{"c-1", 200, "", true, true, ""};

} // namespace

TEST_CASE("a sound record has no violation")
{
    const check_report report = check_records({post_run}, {answered}, 3000);
    CHECK(report.m_violations.empty());
    CHECK(report.m_requests == 1);
}

TEST_CASE("each kind of violation in a doctored record is found")
{
    CHECK(check_records({post_run, post_run}, {answered}, 3000).m_violations.size() == 1);
    const told_record not_run{"c-1", 503, "no", true, false, ""};
    CHECK(check_records({post_run}, {not_run}, 3000).m_violations.size() == 1);
    const told_record foreign{"c-1", 200, "", false, true, ""};
    CHECK(check_records({post_run}, {foreign}, 3000).m_violations.size() == 1);
    CHECK(check_records({}, {answered}, 3000).m_violations.size() == 1);
    const run_record late{"c-1", "e1", 9000, true, 5000};
    CHECK(check_records({late}, {answered}, 3000).m_violations.size() == 1);
    const run_record other_run{"c-2", "e2", 1000, false, 0};
    const told_record keyed{"c-1", 200, "", true, true, "k"};
    const told_record keyed_again{"c-2", 200, "", true, true, "k"};
    CHECK(check_records({post_run, other_run}, {keyed, keyed_again}, 3000).m_violations.size() ==
          1);
}

TEST_CASE("records are read as the stand-ins write them")
{
    std::istringstream runs(
        R"({"id":"c-1","endpoint":"e1","start_ms":7,"idempotent":true,"leaving_since_ms":0})");
    CHECK(read_runs(runs).at(0).m_start_ms == 7);
    std::istringstream told(
        R"({"id":"c-1","status":503,"ran":"no","own":true,"by_endpoint":false,"key":"k"})");
    CHECK(read_told(told).at(0).m_ran == "no");
}

TEST_CASE("no answer that allows a retry without thought may have run")
{
    for (const guavabay::error_answer& row : guavabay::error_answers()) {
        const bool says_not_run = row.m_ran == guavabay::ran_state::no;
        const bool conflict = row.m_http_status == 409 || row.m_http_status == 504;
        CHECK((row.m_retry_after_seconds == 0 || says_not_run || conflict));
    }
}
