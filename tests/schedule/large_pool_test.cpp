#include <algorithm>
#include <catch2/catch.hpp>

#include "support/virtual_pool.h"

namespace guavabay {

namespace {

/// The pool of one service of a fleet of about a thousand workers.
constexpr std::size_t worker_count = 266;
constexpr resources worker_size{64000, 262144, 0};

/// Tasks of which seven fill a worker.
constexpr resources task_size{8900, 20000, 0};
constexpr milliseconds task_time{640};

wall_time wall_at(time_point now)
{
    return wall_time(std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) +
                     seconds(1700000000));
}

} // namespace

// Guards against planning rounds that look at every task of every open submission: an owner runs
// hundreds of rounds a second, and a large pool has thousands of tasks under way.
TEST_CASE("a planning round of a large pool examines only tasks that wait to start", "[large_pool]")
{
    virtual_pool pool(worker_count, worker_size, 1);
    pool.run_for(milliseconds(200));
    constexpr std::uint64_t submissions = 150;
    constexpr int tasks_per_submission = 8;
    for (std::uint64_t i = 0; i < submissions; ++i) {
        pool.submit("a" + std::to_string(i),
                    make_submission({tasks_per_submission}, task_size, milliseconds(60000)));
    }
    pool.run_for(milliseconds(300));
    shard& state = pool.current_owner().m_shard;
    REQUIRE(state.m_starts == submissions * tasks_per_submission);
    const std::uint64_t before = state.m_tasks_examined;
    for (int round = 0; round < 100; ++round) {
        plan(state, pool.now(), wall_at(pool.now()));
    }
    CHECK(state.m_tasks_examined == before);
}

// Guards against changes of single entries of the worker list that are taken for the whole list.
TEST_CASE("an entry of the worker list changes one worker of a large pool", "[large_pool]")
{
    virtual_pool pool(worker_count, worker_size, 1);
    pool.run_for(milliseconds(200));
    shard& state = pool.current_owner().m_shard;
    REQUIRE(state.m_workers.size() == worker_count);
    const auto count_listed = [&state] {
        return std::count_if(state.m_workers.begin(), state.m_workers.end(),
                             [](const auto& entry) { return entry.second->m_listed; });
    };
    worker_listing joining = state.m_workers.begin()->second->m_info;
    joining.m_id = worker_id("joining");
    update_worker(state, joining, pool.now());
    CHECK(count_listed() == worker_count + 1);

    worker_listing moved = state.m_workers.rbegin()->second->m_info;
    REQUIRE(moved.m_id != joining.m_id);
    moved.m_service = service_id("another");
    update_worker(state, moved, pool.now());
    CHECK_FALSE(state.m_workers.at(moved.m_id)->m_listed);
    unlist_worker(state, joining.m_id, pool.now());
    CHECK_FALSE(state.m_workers.at(joining.m_id)->m_listed);
    CHECK(count_listed() == worker_count - 1);

    // A repeated removal does not start the waiting time of a departed worker anew.
    const time_point unlisted_since = state.m_workers.at(joining.m_id)->m_unlisted_since;
    pool.run_for(milliseconds(50));
    unlist_worker(state, joining.m_id, pool.now());
    CHECK(state.m_workers.at(joining.m_id)->m_unlisted_since == unlisted_since);
}

// Guards against a count of waiting tasks that disagrees with their phases after failures, stops,
// lost workers and a change of owner: such a task would never start.
TEST_CASE("every task of a large pool ends in spite of failures, lost workers and a new owner",
          "[large_pool]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    virtual_pool pool(worker_count, worker_size, seed);
    pool.m_duration_sigma = 0.2;
    pool.run_for(milliseconds(200));
    for (std::size_t i = 0; i < worker_count; i += 20) {
        pool.m_workers[i].m_failing_share = 0.3;
    }
    std::vector<std::string> accepted;
    for (int i = 0; i < 120; ++i) {
        const std::string id = "a" + std::to_string(i);
        const admission_result result =
            pool.submit(id, make_submission({8, 4}, task_size, task_time));
        if (result.m_answer == admission::accepted) {
            accepted.push_back(id);
        }
        pool.run_for(milliseconds(5));
        if (i == 60) {
            for (std::size_t worker = 100; worker < 112; ++worker) {
                pool.m_workers[worker].m_up = false;
                pool.m_workers[worker].m_listed = false;
            }
        }
        if (i == 80) {
            pool.change_owner();
        }
    }
    pool.run_for(milliseconds(20000));
    CHECK(accepted.size() > 100);
    for (const std::string& id : accepted) {
        CAPTURE(seed, id);
        const std::optional<submission_state> state = pool.state(id);
        REQUIRE(state);
        CHECK(is_final(*state));
    }
    CHECK(pool.violations().empty());
}

// One queue asks for five times its mean, which is one and a half times what its pool holds, for
// two seconds, and for almost nothing afterwards.
TEST_CASE("a large pool finishes most submissions of a peak on time", "[large_pool]")
{
    virtual_pool pool(worker_count, worker_size, 4);
    pool.m_duration_sigma = 0.2;
    pool.run_for(milliseconds(200));
    const double pool_core_ms_per_ms = static_cast<double>(worker_count) * 64;
    const double submission_core_ms = 8 * 8.9 * static_cast<double>(task_time.count());
    const milliseconds objective(static_cast<int>(1.6 * static_cast<double>(task_time.count())) +
                                 600);
    std::map<std::string, time_point> open;
    double owed = 0;
    int offered = 0;
    int on_time = 0;
    const time_point peak_end = pool.now() + milliseconds(2000);
    const time_point end = peak_end + milliseconds(3000);
    while (pool.now() < end) {
        owed += pool.now() < peak_end ? 5 * 1.5 * pool_core_ms_per_ms : 0;
        while (owed >= submission_core_ms) {
            owed -= submission_core_ms;
            const std::string id = "a" + std::to_string(offered++);
            pool.submit(id, make_submission({8}, task_size, task_time));
            open[id] = pool.now() + objective;
        }
        pool.run_for(milliseconds(5));
        std::erase_if(open, [&](const auto& entry) {
            const bool done = pool.state(entry.first) == submission_state::succeeded;
            on_time += done && pool.now() <= entry.second ? 1 : 0;
            return done;
        });
    }
    CAPTURE(offered, on_time);
    // The pool can finish two thirds of the peak plus what it does within the objective after it.
    CHECK(on_time * 10 >= offered * 6);
    CHECK(pool.violations().empty());
}

} // namespace guavabay
