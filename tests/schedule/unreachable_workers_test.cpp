#include <catch2/catch.hpp>

#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr resources worker_size{16000, 32768, 0};
constexpr resources small_task{2000, 1000, 0};

} // namespace

// Guards against a wrong count of waiting submissions: a start that no worker had received counted
// as the beginning of its submission.
TEST_CASE("a submission whose starts find no connection still waits", "[unreachable_workers]")
{
    virtual_pool pool(2, worker_size, 61);
    pool.run_for(milliseconds(200));
    pool.crash_worker(0);
    pool.crash_worker(1);
    pool.submit("a", make_submission({2}, small_task, milliseconds(300)));
    pool.run_for(milliseconds(500));
    CHECK(pending_count(pool.current_owner().m_shard, pool.m_contract.m_queue) == 1);
    CHECK(pool.state("a") == submission_state::pending);
    pool.restart_worker(0, milliseconds(0));
    pool.run_for(milliseconds(200));
    CHECK(pending_count(pool.current_owner().m_shard, pool.m_contract.m_queue) == 0);
    CHECK(pool.state("a") == submission_state::running);
    pool.run_for(milliseconds(1000));
    CHECK(pool.state("a") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

// Guards against starts that are repeated as fast as an owner can plan: a worker that takes no
// connections kept its free capacity and was chosen again for each task that waited.
TEST_CASE("a worker that takes no connections gets no starts until it answers",
          "[unreachable_workers]")
{
    virtual_pool pool(3, worker_size, 62);
    pool.run_for(milliseconds(200));
    pool.crash_worker(0);
    pool.submit("a", make_submission({60}, small_task, milliseconds(400)));
    const shard& state = pool.current_owner().m_shard;
    pool.run_for(milliseconds(1000));
    // Each worker has room for 8 tasks. Two sound ones start at most three rounds in this time.
    constexpr std::uint64_t max_starts = 8 + 2 * 3 * 8;
    CHECK(state.m_starts <= max_starts);
    pool.restart_worker(0, milliseconds(0));
    pool.run_for(milliseconds(300));
    CHECK_FALSE(pool.m_workers[0].m_runs.empty());
    pool.run_for(milliseconds(6000));
    CHECK(pool.state("a") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

} // namespace guavabay
