#include <catch2/catch.hpp>

#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr resources worker_size{16000, 32768, 0};
constexpr resources small_task{2000, 1000, 0};

/// Time without any run after which an accepted submission that has room counts as lost.
constexpr milliseconds max_stand_still{3000};

/// A submission of long-running tasks.
submission make_long_running(std::uint32_t tasks, std::int64_t cpu_millis)
{
    submission what = make_submission({tasks}, {cpu_millis, 1000, 0}, milliseconds(500));
    what.m_steps[0].m_long_running = true;
    return what;
}

/// A pool that accepts work however late it will be done.
struct patient_pool : virtual_pool {
    patient_pool(std::size_t workers, std::uint64_t seed) : virtual_pool(workers, worker_size, seed)
    {
        m_contract.m_target = seconds(600);
        set_queues(current_owner().m_shard, {m_contract});
        run_for(milliseconds(200));
    }
};

/// Hands in a submission that has to be accepted.
void accept(virtual_pool& pool, const std::string& id, const submission& what)
{
    REQUIRE(pool.submit(id, what).m_answer == admission::accepted);
}

/// Runs a pool until a task has started; returns the time that this took, at most `limit`.
milliseconds run_until_start(virtual_pool& pool, const std::string& task, milliseconds limit)
{
    milliseconds elapsed{0};
    while (pool.m_starts[task] == 0 && elapsed < limit) {
        pool.run_for(milliseconds(10));
        elapsed += milliseconds(10);
    }
    return elapsed;
}

/// Hands in short tasks at a rate that is a multiple of the pool's cores, for as long as it runs.
class short_task_stream {
public:
    short_task_stream(virtual_pool& pool, double load, resources each, milliseconds estimate)
        : m_pool(pool), m_load(load), m_each(each), m_estimate(estimate)
    {
    }

    /// Runs the pool and hands in tasks until `task` has started; returns the time that this took,
    /// at most `limit`.
    milliseconds run_until_start(const std::string& task, milliseconds limit)
    {
        milliseconds elapsed{0};
        while (m_pool.m_starts[task] == 0 && elapsed < limit) {
            run_for(milliseconds(10));
            elapsed += milliseconds(10);
        }
        return elapsed;
    }

    void run_for(milliseconds length)
    {
        const time_point end = m_pool.now() + length;
        while (m_pool.now() < end) {
            m_owed_ms += m_load * 10 * static_cast<double>(m_pool.m_workers.size()) *
                         static_cast<double>(worker_size.m_cpu_millis);
            const double each_ms =
                static_cast<double>(m_estimate.count()) * static_cast<double>(m_each.m_cpu_millis);
            for (; m_owed_ms > 0; m_owed_ms -= each_ms) {
                m_pool.submit("s" + std::to_string(m_count++),
                              make_submission({1}, m_each, m_estimate));
            }
            m_pool.run_for(milliseconds(10));
        }
    }

private:
    virtual_pool& m_pool;
    double m_load;
    resources m_each;
    milliseconds m_estimate;
    double m_owed_ms = 0;
    int m_count = 0;
};

} // namespace

// Guards against LOST work: long-running tasks that no worker will ever have room for reserved all
// workers of a small pool, so that nothing else started.
TEST_CASE("long-running tasks without room hold back no other work", "[reserved_workers]")
{
    const std::size_t workers = GENERATE(1, 2, 3, 4);
    CAPTURE(workers);
    virtual_pool pool(workers, worker_size, 71);
    pool.run_for(milliseconds(200));
    for (std::size_t i = 0; i < workers; ++i) {
        pool.submit("base" + std::to_string(i), make_long_running(1, 9000));
    }
    pool.run_for(milliseconds(500));
    for (int i = 0; i < 3; ++i) {
        pool.submit("large" + std::to_string(i), make_long_running(1, 12000));
    }
    pool.run_for(milliseconds(1000));
    pool.submit("a", make_submission({2}, small_task, milliseconds(300)));
    CHECK(run_until_start(pool, "a.0.0.0", seconds(10)) < max_stand_still);
    pool.run_for(milliseconds(1000));
    CHECK(pool.state("a") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

// Guards against the same by tasks that wait for a worker in the rack of their data: they reserved
// workers of other racks, where they were not going to start.
TEST_CASE("tasks that wait for the rack of their data hold back no other rack",
          "[reserved_workers]")
{
    patient_pool pool(5, 72);   // Four workers in one rack, one in the other.
    pool.set_remote_factor(10); // So that waiting for the rack pays for all of them.
    submission base = make_submission({1}, {14000, 1000, 0}, seconds(60));
    base.m_steps[0].m_data_rack = "r1";
    accept(pool, "base", base);
    pool.run_for(milliseconds(300));
    for (int i = 0; i < 4; ++i) {
        submission what = make_submission({1}, {10000, 1000, 0}, seconds(60));
        what.m_steps[0].m_data_rack = "r1";
        accept(pool, "near" + std::to_string(i), what);
    }
    pool.run_for(milliseconds(300));
    REQUIRE(pool.m_starts.size() == 1);
    accept(pool, "a", make_submission({20}, small_task, seconds(5)));
    CHECK(run_until_start(pool, "a.0.0.19", seconds(10)) < milliseconds(200));
    CHECK(pool.violations().empty());
}

// Guards against LOST work: tasks that wait for the end of long runs reserved all workers of a
// small pool.
TEST_CASE("tasks that wait for long runs to end hold back no other work", "[reserved_workers]")
{
    const std::size_t workers = GENERATE(1, 2, 3);
    const bool large_is_long_running = GENERATE(false, true);
    CAPTURE(workers, large_is_long_running);
    patient_pool pool(workers, 73);
    accept(pool, "base",
           make_submission({static_cast<std::uint32_t>(workers)}, {7000, 1000, 0}, seconds(60)));
    pool.run_for(milliseconds(300));
    REQUIRE(pool.m_starts.size() == workers);
    for (int i = 0; i < 3; ++i) {
        submission large = make_submission({1}, {12000, 1000, 0}, seconds(60));
        large.m_steps[0].m_long_running = large_is_long_running;
        accept(pool, "large" + std::to_string(i), large);
    }
    pool.run_for(milliseconds(300));

    SECTION("short ones, which end earlier, start at once")
    {
        accept(pool, "a", make_submission({1}, small_task, milliseconds(300)));
        CHECK(run_until_start(pool, "a.0.0.0", seconds(10)) < milliseconds(200));
    }
    SECTION("long ones start in time")
    {
        accept(pool, "a", make_submission({1}, small_task, seconds(90)));
        CHECK(run_until_start(pool, "a.0.0.0", seconds(10)) < max_stand_still);
    }
    SECTION("long-running ones start in time")
    {
        accept(pool, "a", make_long_running(1, 2000));
        CHECK(run_until_start(pool, "a.0.0.0", seconds(10)) < max_stand_still);
    }
    CHECK(pool.violations().empty());
}

// Guards against starvation: without reservations small tasks take the room that ends of runs leave
// before it suffices for a large one.
TEST_CASE("a large task starts among many small ones", "[reserved_workers]")
{
    const std::size_t workers = GENERATE(1, 2, 3, 6);
    const double load = GENERATE(0.7, 1.0, 1.5);
    const std::uint64_t seed = GENERATE(1, 2, 3);
    virtual_pool pool(workers, worker_size, seed);
    pool.m_duration_sigma = 0.2;
    pool.run_for(milliseconds(200));
    short_task_stream stream(pool, load, {3000, 1000, 0}, milliseconds(600));
    stream.run_for(seconds(2));

    // Work that others rank before gets its room after the time without a run that counts as lost.
    milliseconds bound = 2 * max_stand_still;
    SECTION("a large task of its own")
    {
        accept(pool, "large", make_submission({1}, {16000, 1000, 0}, milliseconds(600)));
    }
    SECTION("a large long-running task")
    {
        bound = max_stand_still;
        accept(pool, "large", make_long_running(1, 16000));
    }
    CAPTURE(workers, load, seed);
    CHECK(stream.run_until_start("large.0.0.0", seconds(10)) < bound);
    CHECK(pool.violations().empty());
}

// Guards against starvation behind long-running tasks: those that can have no room took the places
// of all reservations, and large tasks that can have room got none.
TEST_CASE("a large task starts beside long-running tasks without room", "[reserved_workers]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(seed);
    virtual_pool pool(4, worker_size, seed);
    pool.m_duration_sigma = 0.2;
    pool.run_for(milliseconds(200));
    pool.submit("base", make_long_running(4, 4000));
    pool.run_for(milliseconds(500));
    pool.submit("never", make_long_running(3, 16000));
    short_task_stream stream(pool, 0.7, {3000, 1000, 0}, milliseconds(600));
    stream.run_for(seconds(2));
    accept(pool, "large", make_submission({1}, {12000, 1000, 0}, milliseconds(600)));
    CHECK(stream.run_until_start("large.0.0.0", seconds(10)) < max_stand_still);
    CHECK(pool.violations().empty());
}

// Guards against LOST work for all mixes of sizes and durations: no submission that fits twice into
// the free cores of one worker stands still while less than half of the pool is in use.
TEST_CASE("random work does not stand still beside idle cores", "[reserved_workers]")
{
    const std::uint64_t seed = GENERATE(range(1, 21));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto pick = [&](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random);
    };
    const auto workers = static_cast<std::size_t>(pick(1, 6));
    virtual_pool pool(workers, worker_size, seed);
    pool.m_duration_sigma = 0.3;
    pool.run_for(milliseconds(200));
    struct open_work {
        std::int64_t m_cpu = 0;
        milliseconds m_standing{0};
    };
    std::map<std::string, open_work> open;
    milliseconds longest_standing{0};
    constexpr milliseconds tick{20};
    for (int elapsed = 0; elapsed < 30000; elapsed += static_cast<int>(tick.count())) {
        if (elapsed < 20000 && pick(0, 9) == 0) {
            const bool is_large = pick(0, 4) == 0;
            const std::int64_t cpu = (is_large ? pick(9, 16) : pick(1, 4)) * 1000L;
            const bool lasts = open.size() < workers && pick(0, 9) == 0;
            submission what = make_submission({1}, {cpu, 1000, 0},
                                              milliseconds(pick(100, is_large ? 900 : 3000)));
            what.m_steps[0].m_long_running = lasts;
            const std::string id = "a" + std::to_string(elapsed);
            if (pool.submit(id, what).m_answer == admission::accepted) {
                open[id].m_cpu = cpu;
            }
        }
        pool.run_for(tick);
        std::int64_t used = 0;
        std::int64_t most_free = 0;
        for (const virtual_worker& worker : pool.m_workers) {
            std::int64_t here = 0;
            for (const auto& [key, run] : worker.m_runs) {
                here += open[key.first.m_submission.str()].m_cpu;
            }
            used += here;
            most_free = std::max(most_free, worker_size.m_cpu_millis - here);
        }
        const bool is_idle =
            used * 2 < static_cast<std::int64_t>(workers) * worker_size.m_cpu_millis;
        for (auto& [id, work] : open) {
            const bool started = pool.m_starts[id + ".0.0.0"] > 0;
            const bool has_room = is_idle && work.m_cpu * 2 <= most_free;
            work.m_standing = started || !has_room ? milliseconds(0) : work.m_standing + tick;
            longest_standing = std::max(longest_standing, work.m_standing);
        }
    }
    CHECK(longest_standing < max_stand_still);
    CHECK(pool.violations().empty());
}

} // namespace guavabay
