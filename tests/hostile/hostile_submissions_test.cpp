#include <catch2/catch.hpp>

#include "hostile/client_crowd.h"
#include "hostile/hostile_checks.h"
#include "net/http_status.h"
#include "submission/submission_log.h"
#include "support/loopback.h"

using namespace guavabay;
using namespace guavabay::test;

// What accepted submissions and cancellations leave behind in a process, in this life and the next.

namespace {

/// Largest number of steps and of tasks in a step that a submission may have.
constexpr std::size_t max_steps = 256;
const std::string many_tasks = R"({"steps":)" + repeat_json(R"({"count":10000})", max_steps) + "}";
const std::string many_steps = R"({"steps":)" + repeat_json("{}", max_steps) + "}";

/// Repetitions that are all due at once.
const std::string many_repeats = R"({"steps":[{}],"repeat-count":100000,"start-at-ms":1})";

/// The first id that no crowd uses.
constexpr std::uint64_t ordinary_id = 1ULL << 40U;

std::vector<std::string> submit_each(const std::string& body, std::size_t count)
{
    std::vector<std::string> requests;
    for (std::size_t i = 0; i < count; ++i) {
        requests.push_back(submit_request_text(i, body));
    }
    return requests;
}

std::string label_of(std::size_t bytes)
{
    return R"({"steps":[{"image":")" + std::string(bytes, 'i') + R"("}]})";
}

/// Number of submissions that wait for memory, by the metrics.
std::size_t count_deferred(const dispatch_process& host)
{
    const std::string name = "guavabay_deferred_submissions{service=\"service-a\"} ";
    const std::string text = exchange(host.m_metrics, {get_request("/metrics")}, 1).front().m_body;
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 0 : std::stoul(text.substr(at + name.size()));
}

/// Log records of accepted submissions of a number of steps each.
std::vector<std::string> make_log(std::size_t submissions, std::size_t steps)
{
    constexpr std::size_t submissions_per_record = 30;
    std::vector<std::string> records;
    std::vector<log_entry> entries;
    for (std::size_t i = 0; i < submissions; ++i) {
        log_accepted accepted;
        accepted.m_id = submission_id(make_id(i));
        accepted.m_queue = queue_id("queue");
        accepted.m_accepted_ms = 1;
        accepted.m_submission.m_steps.resize(steps);
        entries.emplace_back(std::move(accepted));
        if (entries.size() == submissions_per_record || i + 1 == submissions) {
            records.push_back(encode_log(entries));
            entries.clear();
        }
    }
    return records;
}

} // namespace

TEST_CASE("the tasks of one submission do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    const auto answers = exchange(host.m_callers, submit_each(many_tasks, 1), 1);
    CHECK(answers.front().m_status == http_status::ok);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
    CHECK(host.accepts(ordinary_id));
}

TEST_CASE("tasks without demands do not exhaust descriptors and memory", "[hostile_callers]")
{
    dispatch_process host(descriptor_settings, common_limits, {{}, true});
    REQUIRE(host.answers());
    const auto answers = exchange(host.m_callers, submit_each(many_tasks, 1), 1);
    CHECK(answers.front().m_status == http_status::ok);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
    CHECK(host.accepts(ordinary_id));
}

TEST_CASE("repetitions that are due at once do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 4;
    const auto answers = exchange(host.m_callers, submit_each(many_repeats, count), 1);
    CHECK(count_status(answers, http_status::ok) == count);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
    CHECK(host.accepts(ordinary_id));
}

TEST_CASE("many repeated submissions do not stop a process", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 200;
    const auto answers = exchange(host.m_callers, submit_each(many_repeats, count), 8);
    CHECK(are_accepted_or_refused(answers));
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
    CHECK(host.accepts(ordinary_id));
}

TEST_CASE("accepted submissions together do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 1000;
    const auto answers = exchange(host.m_callers, submit_each(many_steps, count), 16);
    CHECK(are_accepted_or_refused(answers));
    CHECK(answers.front().m_status == http_status::ok);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
    CHECK(host.accepts(ordinary_id));
}

TEST_CASE("lists of earlier steps do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 150;
    constexpr std::size_t list_length = 120000;
    const std::string body = R"({"steps":[{},{"after":)" + repeat_json("0", list_length) + "}]}";
    const auto answers = exchange(host.m_callers, submit_each(body, count), 8);
    CHECK(are_accepted_or_refused(answers));
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
    CHECK(host.accepts(ordinary_id));
}

TEST_CASE("large submissions that wait for the store do not exhaust the memory",
          "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    REQUIRE(host.accepts(ordinary_id));
    host.stall_store();
    constexpr std::size_t count = 60;
    constexpr std::size_t label_bytes = 400000;
    exchange(host.m_callers, submit_each(label_of(label_bytes), count), count);
    check_resources(*host.m_program, max_sockets);
}

TEST_CASE("submissions that are larger together than a record of the store cost no shard",
          "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 12;
    constexpr std::size_t label_bytes = 700000;
    const auto answers = exchange(host.m_callers, submit_each(label_of(label_bytes), count), count);
    CHECK(are_accepted_or_refused(answers));
    CHECK(count_status(answers, http_status::ok) > 0);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
    CHECK(host.accepts(ordinary_id));
}

TEST_CASE("a submission that the store cannot hold is refused for good", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t label_bytes = 1500000;
    const auto answers = exchange(host.m_callers, submit_each(label_of(label_bytes), 1), 1);
    CHECK(answers.front().m_status == http_status::too_large);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
    CHECK(host.accepts(ordinary_id));
}

TEST_CASE("cancellations of unknown ids do not exhaust the memory", "[hostile_callers]")
{
    constexpr std::size_t small_memory_mb = 32;
    dispatch_process host({{"memory-mb", std::to_string(small_memory_mb)}}, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 100000;
    constexpr std::size_t connections = 250;
    std::vector<std::string> requests;
    for (std::size_t i = 0; i < count; ++i) {
        requests.push_back("DELETE /queue/" + make_id(i) +
                           " HTTP/1.1\r\nHost: callers.example\r\n\r\n");
    }
    const auto answers = exchange(host.m_callers, requests, connections);
    CHECK(answers.front().m_status == http_status::gone);
    check_resources(*host.m_program, max_sockets, small_memory_mb);
    CHECK(host.answers());
    CHECK(host.accepts(ordinary_id));
}

TEST_CASE("the tasks of a submission in the log do not exhaust the memory", "[hostile_callers]")
{
    std::vector<log_entry> entries;
    log_accepted accepted;
    accepted.m_id = submission_id(make_id(0));
    accepted.m_queue = queue_id("queue");
    accepted.m_accepted_ms = 1;
    constexpr std::uint32_t max_tasks = 10000;
    submission_step step;
    step.m_task_count = max_tasks;
    accepted.m_submission.m_steps.assign(max_steps, step);
    entries.emplace_back(std::move(accepted));
    dispatch_process host(memory_settings, common_limits, {{encode_log(entries)}, false});
    CHECK(host.answers());
    CHECK(has_status_in_time(host.m_callers, get_request("/queue/" + make_id(0)), http_status::ok));
    check_resources(*host.m_program, max_sockets);
    CHECK(host.accepts(ordinary_id));
}

TEST_CASE("a log with more submissions than the memory holds is taken over", "[hostile_callers]")
{
    constexpr std::size_t count = 2000;
    dispatch_process host(memory_settings, common_limits, {make_log(count, max_steps), false});
    CHECK(host.answers());
    check_resources(*host.m_program, max_sockets);
    // Nothing that was accepted is lost.
    for (const std::uint64_t id : {std::uint64_t{0}, std::uint64_t{count - 1}}) {
        CHECK(has_status_in_time(host.m_callers, get_request("/queue/" + make_id(id)),
                                 http_status::ok));
    }
    CHECK(host.answers());
    // What ends leaves room for others.
    const std::size_t before = count_deferred(host);
    CHECK(before > 0);
    std::vector<std::string> cancellations;
    constexpr std::size_t ended = 100; ///< The oldest ones, which were loaded first.
    for (std::size_t i = 0; i < ended; ++i) {
        cancellations.push_back("DELETE /queue/" + make_id(i) +
                                " HTTP/1.1\r\nHost: callers.example\r\n\r\n");
    }
    CHECK(count_status(exchange(host.m_callers, cancellations, 16), http_status::ok) == ended);
    const time_point end = read_clock() + wait_limit;
    while (count_deferred(host) >= before && read_clock() < end) {
        std::this_thread::sleep_for(milliseconds(100));
    }
    CHECK(count_deferred(host) < before);
    check_resources(*host.m_program, max_sockets);
}

TEST_CASE("demands that fit on no worker do not stop a process", "[hostile_callers]")
{
    constexpr std::size_t memory_mb = 1024;
    dispatch_process host({{"memory-mb", std::to_string(memory_mb)}}, common_limits, {{}, true});
    REQUIRE(host.answers());
    constexpr std::size_t count = 600;
    constexpr std::size_t demands = count * max_steps;
    // No demand is larger than another one in all resources.
    std::vector<std::string> requests;
    std::size_t rank = 0;
    for (std::size_t i = 0; i < count; ++i) {
        std::string steps;
        for (std::size_t step = 0; step < max_steps; ++step, ++rank) {
            steps += (step == 0 ? "" : ",");
            steps += R"({"cpu":)" + std::to_string(1000000 + rank) + R"(,"mem-mb":)" +
                     std::to_string(1000000 + demands - rank) + "}";
        }
        requests.push_back(submit_request_text(i, R"({"steps":[)" + steps + "]}"));
    }
    const auto answers = exchange(host.m_callers, requests, 16);
    CHECK(are_accepted_or_refused(answers));
    check_resources(*host.m_program, max_sockets, memory_mb);
    CHECK(host.answers());
    CHECK(host.accepts(ordinary_id));
}

TEST_CASE("a crowd that has left leaves its connections and its place to others",
          "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t few_sockets = 20; ///< The process's own, and an ordinary caller's.
    constexpr std::size_t count = 200;
    constexpr std::size_t body_bytes = 131072;
    {
        client_crowd clients(host.m_callers, count);
        clients.flood(header_with_length(body_bytes), std::string(4096, 'x'), body_bytes - 8192);
    }
    check_resources(*host.m_program, few_sockets);
    CHECK(host.answers());
    CHECK(host.accepts(ordinary_id));
}
