#include <catch2/catch.hpp>
#include <vector>

#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr std::size_t worker_count = 8;
constexpr resources worker_size{16000, 32768, 0};
constexpr resources task_size{2000, 2000, 0};
constexpr milliseconds task_time{800};

/// A caller tries again this often after it was refused.
constexpr int max_retries = 4;

/// A submission whose caller follows the advised times of return.
struct returning_caller {
    std::string m_id;
    time_point m_next_attempt{};
    int m_attempts = 0;
    bool m_accepted = false;
};

submission make_work()
{
    return make_submission({8}, task_size, task_time);
}

/// Lets callers arrive at a multiple of the pool's rate for a while, then no more, and lets all of
/// them follow the advice. Returns the callers.
std::vector<returning_caller> run_peak(virtual_pool& pool, double load, milliseconds length)
{
    std::vector<returning_caller> callers;
    const double cores = worker_count * 16;
    const double core_ms = 8 * 2 * static_cast<double>(task_time.count());
    double owed = 0;
    const time_point peak_end = pool.now() + length;
    const time_point end = peak_end + seconds(25);
    while (pool.now() < end) {
        owed += pool.now() < peak_end ? 10 * load * cores : 0;
        while (owed >= core_ms) {
            owed -= core_ms;
            callers.push_back({"a" + std::to_string(callers.size()), pool.now()});
        }
        for (returning_caller& caller : callers) {
            const bool due = !caller.m_accepted && caller.m_attempts <= max_retries &&
                             caller.m_next_attempt <= pool.now();
            if (!due) {
                continue;
            }
            const admission_result result = pool.submit(caller.m_id, make_work());
            ++caller.m_attempts;
            caller.m_accepted = result.m_answer == admission::accepted;
            caller.m_next_attempt = pool.now() + result.m_retry_after;
        }
        pool.run_for(milliseconds(10));
    }
    return callers;
}

} // namespace

// Guards against callers that are refused for good because all of them were told to return at the
// same time, while the pool was still full, and were then too late to be accepted at all.
TEST_CASE("callers refused in a peak find room within their retries", "[returning_callers]")
{
    const double load = GENERATE(2.5, 4.0);
    virtual_pool pool(worker_count, worker_size, 7);
    pool.run_for(milliseconds(200));
    const std::vector<returning_caller> callers = run_peak(pool, load, milliseconds(4000));
    int refused_at_first = 0;
    int refused_for_good = 0;
    int finished = 0;
    for (const returning_caller& caller : callers) {
        refused_at_first += caller.m_attempts > 1 ? 1 : 0;
        refused_for_good += caller.m_accepted ? 0 : 1;
        finished += pool.state(caller.m_id) == submission_state::succeeded ? 1 : 0;
    }
    CAPTURE(load, callers.size(), refused_at_first, refused_for_good, finished);
    CHECK(refused_at_first > 0);
    CHECK(refused_for_good == 0);
    CHECK(finished == static_cast<int>(callers.size()));
    CHECK(pool.violations().empty());
}

// The time of return is that of the work accepted before, and of the callers that were refused
// before.
TEST_CASE("callers refused one after the other are told to return one after the other",
          "[returning_callers]")
{
    virtual_pool pool(worker_count, worker_size, 7);
    pool.run_for(milliseconds(200));
    std::vector<seconds> advised;
    for (int i = 0; i < 400; ++i) {
        const admission_result result = pool.submit("a" + std::to_string(i), make_work());
        if (result.m_answer == admission::refused) {
            advised.push_back(result.m_retry_after);
        }
    }
    REQUIRE(advised.size() > 100);
    CHECK(std::is_sorted(advised.begin(), advised.end()));
    CHECK(advised.front() >= seconds(2));
    CHECK(advised.back() > advised.front());
}

// A caller that was refused in a peak and returns late is served once the pool is idle, although
// its submission can no longer be on time.
TEST_CASE("a submission that is late in any case is accepted by an idle pool",
          "[returning_callers]")
{
    virtual_pool pool(worker_count, worker_size, 7);
    pool.run_for(milliseconds(200));
    std::string refused;
    for (int i = 0; i < 400 && refused.empty(); ++i) {
        const std::string id = "a" + std::to_string(i);
        if (pool.submit(id, make_work()).m_answer == admission::refused) {
            refused = id;
        }
    }
    REQUIRE_FALSE(refused.empty());
    pool.run_for(milliseconds(15000));
    CHECK(pool.submit(refused, make_work()).m_answer == admission::accepted);
    pool.run_for(milliseconds(3000));
    CHECK(pool.state(refused) == submission_state::succeeded);
}

// Guards against machines that stay with a queue whose turn is over and whose work is late anyway,
// while the work of the next queue could still be on time.
TEST_CASE("work that is late in any case asks for fewer machines than work that is not",
          "[returning_callers]")
{
    virtual_pool pool(worker_count, worker_size, 7);
    pool.run_for(milliseconds(200));
    for (int i = 0; i < 60; ++i) {
        pool.submit("a" + std::to_string(i), make_work());
    }
    pool.run_for(milliseconds(50));
    const shard& state = pool.current_owner().m_shard;
    const double needed_in_time = machines_needed(state, pool.now());
    // No worker accepts starts, so the work becomes late.
    for (virtual_worker& worker : pool.m_workers) {
        worker.m_up = false;
    }
    pool.run_for(milliseconds(4000));
    const double needed_late = machines_needed(state, pool.now());
    CAPTURE(needed_in_time, needed_late);
    CHECK(needed_late < needed_in_time * 0.75);
    CHECK(needed_late > 0);
}

} // namespace guavabay
