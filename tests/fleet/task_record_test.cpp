#include <catch2/catch.hpp>
#include <random>

#include "core/result.h"
#include "fleet/quota_share.h"
#include "fleet/task_record.h"

using namespace guavabay;

namespace {

task make_task()
{
    task task_entry;
    task_entry.m_id = task_id("t1");
    task_entry.m_pool = pool_id("p");
    task_entry.m_customer = customer_id("a");
    task_entry.m_kind = "convert";
    task_entry.m_declared = {2000, 512, 1};
    task_entry.m_urgent = true;
    task_entry.m_state = task_state::starting;
    task_entry.m_worker = worker_id("w1");
    task_entry.m_reserved = {1500, 400, 1};
    task_entry.m_attempt = 3;
    task_entry.m_failed_on = {worker_id("w7"), worker_id("w8")};
    task_entry.m_throttled = true;
    return task_entry;
}

/// Overwrites up to four random bytes of a text and truncates it in a quarter of the calls.
std::string damage(std::string text, std::mt19937_64& random)
{
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        text[random() % text.size()] = static_cast<char>(random());
    }
    if (random() % 4 == 0) {
        text.resize(random() % (text.size() + 1));
    }
    return text;
}

bool is_bounded(const resources& amounts)
{
    constexpr std::int64_t most = 1'000'000'000;
    const auto within = [](std::int64_t amount) { return amount >= 0 && amount <= most; };
    return within(amounts.m_cpu_millis) && within(amounts.m_memory_mb) &&
           within(amounts.m_accelerators);
}

} // namespace

TEST_CASE("a task record is parsed as it was serialized")
{
    const task task_entry = make_task();
    const std::optional<task> read =
        parse_task(task_entry.m_pool, task_entry.m_id, format_task(task_entry));
    REQUIRE(read);
    CHECK(format_task(*read) == format_task(task_entry));
    CHECK(read->m_attempt == 3);
    CHECK(read->m_failed_on.size() == 2);
    CHECK(has_same_request(*read, task_entry));
}

TEST_CASE("a running task is stored as starting, since the platform reports whether it runs")
{
    task task_entry = make_task();
    task_entry.m_state = task_state::running;
    CHECK(parse_task(task_entry.m_pool, task_entry.m_id, format_task(task_entry))->m_state ==
          task_state::starting);
}

TEST_CASE("out-of-range amounts are clamped when they are parsed")
{
    const auto report = parse_run_report(
        R"({"attempt":1,"state":"running","cpu_millis":9223372036854775807,"memory_mb":-5})");
    REQUIRE(report);
    CHECK(is_bounded(report->m_used));
    const auto quota = parse_quota(R"({"lent":{"p":{"running":-1,"cpu_millis":-7}},"wanted":{}})");
    REQUIRE(quota);
    CHECK(quota->m_allocated.at(pool_id("p")).m_running == 0);
    CHECK(is_bounded(quota->m_allocated.at(pool_id("p")).m_reserved));
}

TEST_CASE("a submission with an invalid field is rejected with the name of the field")
{
    const auto fault = [](const std::string& body) {
        return parse_submission(pool_id("p"), task_id("t"), body) ? std::string() : last_reason();
    };
    CHECK(fault(R"({"customer":"a","kind":"k","cpu_millis":1})").empty());
    CHECK(fault(R"({"customer":"a"})") == "/kind: missing");
    CHECK(fault(R"({"customer":"a","kind":"k","memory_mb":-1})") ==
          "/memory_mb: must be a whole number from 0 to 1000000000");
    CHECK(fault(R"({"customer":"a","kind":"k","urgent":1})") == "/urgent: must be true or false");
    CHECK_FALSE(fault("[1]").empty());
}

TEST_CASE("randomly corrupted records never break the parsers")
{
    std::mt19937_64 random(7);
    const std::string record = format_task(make_task());
    const std::string report = format_run_report({3, run_state::done, {1000, 100, 0}});
    const std::string quota =
        format_quota({{{pool_id("p"), {3, {3000, 2000, 1}}}}, {{pool_id("q"), {1, {1, 1, 1}}}}});
    for (int i = 0; i < 20'000; ++i) {
        const auto task_entry = parse_task(pool_id("p"), task_id("t"), damage(record, random));
        CHECK((!task_entry ||
               (is_bounded(task_entry->m_declared) && is_bounded(task_entry->m_reserved))));
        const auto run = parse_run_report(damage(report, random));
        CHECK((!run || is_bounded(run->m_used)));
        parse_quota(damage(quota, random));
        parse_submission(pool_id("p"), task_id("t"), damage(record, random));
    }
}

TEST_CASE("the usage model learns a bounded number of kinds")
{
    usage_model usage;
    for (int i = 0; i < 10'000; ++i) {
        usage.observe(customer_id("a"), "kind-" + std::to_string(i), {1000, 100, 0}, {10, 1, 0});
    }
    CHECK(usage.size() <= 4096);
    CHECK(usage.has_succeeded(customer_id("a"), "kind-1"));
    CHECK_FALSE(usage.has_succeeded(customer_id("a"), "kind-9999"));
}
