#include <catch2/catch.hpp>

#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr resources worker_size{16000, 32768, 0};
constexpr resources small_task{2000, 1000, 0};

submission long_running_submission(std::uint32_t count, std::int32_t max_unavailable)
{
    submission what = make_submission({count}, small_task, milliseconds(0));
    what.m_steps[0].m_long_running = true;
    what.m_steps[0].m_max_per_worker = 1;
    what.m_steps[0].m_max_unavailable = max_unavailable;
    return what;
}

std::size_t worker_with_runs(const virtual_pool& pool)
{
    for (std::size_t i = 0; i < pool.m_workers.size(); ++i) {
        if (!pool.m_workers[i].m_runs.empty()) {
            return i;
        }
    }
    FAIL("no worker has a run");
    return 0;
}

std::vector<machine_id> machines_with_runs(const virtual_pool& pool)
{
    std::vector<machine_id> machines;
    for (const virtual_worker& worker : pool.m_workers) {
        if (!worker.m_runs.empty()) {
            machines.push_back(worker.m_listing.m_machine);
        }
    }
    return machines;
}

template <typename Predicate>
std::size_t count_runs(const virtual_pool& pool, Predicate counts)
{
    std::size_t count = 0;
    for (const virtual_worker& worker : pool.m_workers) {
        for (const auto& [key, run] : worker.m_runs) {
            count += counts(run) ? 1 : 0;
        }
    }
    return count;
}

} // namespace

TEST_CASE("a submission of several steps succeeds", "[schedule]")
{
    virtual_pool pool(4, worker_size, 1);
    pool.run_for(milliseconds(200));
    pool.submit("a", make_submission({3, 5}, small_task, milliseconds(400)));
    pool.run_for(milliseconds(200));
    CHECK(pool.state("a") == submission_state::running);
    pool.run_for(milliseconds(1200));
    CHECK(pool.state("a") == submission_state::succeeded);
    CHECK(pool.m_starts.size() == 8);
    CHECK(pool.violations().empty());
}

// Guards against tasks that stay on a lost worker for ever: each unanswered hold extended the
// assumed lease.
TEST_CASE("the tasks of a lost worker restart elsewhere after its lease has ended", "[schedule]")
{
    virtual_pool pool(4, worker_size, 2);
    pool.run_for(milliseconds(200));
    pool.submit("a", make_submission({4}, small_task, milliseconds(900)));
    pool.run_for(milliseconds(300));
    pool.m_workers[worker_with_runs(pool)].m_up = false;
    pool.run_for(milliseconds(2500));
    CHECK(pool.state("a") == submission_state::running);
    pool.run_for(milliseconds(2500));
    CHECK(pool.state("a") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

TEST_CASE("tasks of an unreachable worker that keeps running restart only after its lease",
          "[schedule]")
{
    virtual_pool pool(4, worker_size, 3);
    pool.run_for(milliseconds(200));
    pool.submit("a", make_submission({4}, small_task, milliseconds(2000)));
    pool.run_for(milliseconds(300));
    virtual_worker& cut = pool.m_workers[worker_with_runs(pool)];
    cut.m_partitioned_owners.insert(0);
    cut.m_clock_speed = 0.98;
    pool.run_for(milliseconds(9000));
    CHECK(pool.state("a") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

// Guards against runs that a later owner does not know about: tasks started while the write of
// their submission was still in progress.
TEST_CASE("no task starts before its submission is stored", "[schedule]")
{
    virtual_pool pool(2, worker_size, 4);
    pool.run_for(milliseconds(200));
    pool.current_owner().m_next_write = pool.now() + seconds(1);
    pool.submit("a", make_submission({2}, small_task, milliseconds(300)));
    pool.run_for(milliseconds(900));
    CHECK(pool.m_starts.empty());
    CHECK_FALSE(pool.state("a").has_value());
    pool.run_for(milliseconds(900));
    CHECK(pool.state("a") == submission_state::succeeded);
}

TEST_CASE("a submission whose write certainly failed is withdrawn", "[schedule]")
{
    virtual_pool pool(2, worker_size, 41);
    pool.run_for(milliseconds(200));
    pool.current_owner().m_has_store = false;
    pool.submit("a", make_submission({2}, small_task, milliseconds(300)));
    pool.run_for(milliseconds(300));
    withdraw(pool.current_owner().m_shard, submission_id("a"));
    pool.current_owner().m_shard.m_pending.m_entries.clear();
    pool.current_owner().m_has_store = true;
    pool.run_for(milliseconds(600));
    CHECK(pool.m_starts.empty());
    CHECK_FALSE(pool.state("a").has_value());
    // A stored submission is not withdrawn.
    pool.submit("b", make_submission({2}, small_task, milliseconds(300)));
    pool.run_for(milliseconds(100));
    withdraw(pool.current_owner().m_shard, submission_id("b"));
    pool.run_for(milliseconds(600));
    CHECK(pool.state("b") == submission_state::succeeded);
}

TEST_CASE("a new owner adopts running tasks", "[schedule]")
{
    virtual_pool pool(4, worker_size, 5);
    pool.run_for(milliseconds(200));
    pool.submit("a", make_submission({4}, small_task, milliseconds(1000)));
    pool.run_for(milliseconds(300));
    pool.current_owner().m_alive = false;
    pool.change_owner();
    pool.run_for(milliseconds(1200));
    CHECK(pool.state("a") == submission_state::succeeded);
    CHECK(pool.m_starts.size() == 4);
    for (const auto& [task, starts] : pool.m_starts) {
        CHECK(starts == 1);
    }
    CHECK(pool.violations().empty());
}

// Guards against duplicate runs: a new owner that had not received the ends of the earlier step
// stopped the runs of the next one and started their tasks again beside them.
TEST_CASE("a run is adopted before the ends of its earlier step are known", "[schedule]")
{
    virtual_pool pool(2, worker_size, 6);
    pool.run_for(milliseconds(200));
    submission what = make_submission({2, 6}, small_task, milliseconds(500));
    what.m_steps[0].m_demand.m_cpu_millis = 9000;
    pool.submit("a", what);
    pool.run_for(milliseconds(480));
    // The ends of the first step are not written, and at first the new owner cannot reach one
    // worker.
    pool.current_owner().m_next_write = pool.now() + seconds(10);
    pool.run_for(milliseconds(250));
    REQUIRE(pool.m_starts.size() == 8);
    pool.current_owner().m_alive = false;
    const std::size_t next = pool.change_owner();
    pool.m_workers[1].m_partitioned_owners.insert(next);
    pool.run_for(milliseconds(150));
    pool.m_workers[1].m_partitioned_owners.clear();
    pool.run_for(milliseconds(1500));
    CHECK(pool.state("a") == submission_state::succeeded);
    for (const auto& [task, starts] : pool.m_starts) {
        CHECK(starts == 1);
    }
    CHECK(pool.violations().empty());
}

// Guards against duplicate runs: the entry of an orderly release hid workers that a later owner had
// used, so that their runs were started again.
TEST_CASE("leases of workers in use are awaited after an orderly release and a lost owner",
          "[schedule]")
{
    virtual_pool pool(4, worker_size, 7);
    pool.run_for(milliseconds(300));
    pool.release();
    pool.change_owner();
    pool.run_for(milliseconds(300));
    pool.submit("a", make_submission({4}, small_task, milliseconds(2500)));
    pool.run_for(milliseconds(300));
    const std::size_t cut = worker_with_runs(pool);
    pool.current_owner().m_has_store = false;
    const std::size_t next = pool.change_owner();
    pool.m_workers[cut].m_partitioned_owners.insert(next);
    pool.run_for(milliseconds(14000));
    CHECK(pool.state("a") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

// Guards against an overcommitted worker: runs whose submission was over counted as needing no
// capacity.
TEST_CASE("no task starts beside a run of unknown demand", "[schedule]")
{
    virtual_pool pool(1, worker_size, 8);
    pool.run_for(milliseconds(200));
    pool.submit("a", make_submission({8}, small_task, milliseconds(2000)));
    pool.run_for(milliseconds(300));
    pool.cancel("a");
    pool.current_owner().m_next_hold = pool.now() + seconds(10);
    pool.run_for(milliseconds(60));
    pool.current_owner().m_alive = false;
    pool.change_owner();
    pool.submit("b", make_submission({8}, small_task, milliseconds(300)));
    pool.run_for(milliseconds(1500));
    CHECK(pool.state("a") == submission_state::canceled);
    CHECK(pool.state("b") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

TEST_CASE("orders that are executed late never run a task twice", "[schedule]")
{
    virtual_pool pool(4, worker_size, 9);
    for (virtual_worker& worker : pool.m_workers) {
        worker.m_delayed_share = 0.4;
    }
    pool.run_for(milliseconds(200));
    for (int i = 0; i < 10; ++i) {
        pool.submit("a" + std::to_string(i),
                    make_submission({3, 3}, small_task, milliseconds(300)));
    }
    pool.run_for(milliseconds(5000));
    for (virtual_worker& worker : pool.m_workers) {
        worker.m_delayed_share = 0;
    }
    pool.run_for(milliseconds(15000));
    for (int i = 0; i < 10; ++i) {
        CHECK(pool.state("a" + std::to_string(i)) == submission_state::succeeded);
    }
    CHECK(pool.violations().empty());
}

TEST_CASE("a task that fails on all workers fails its submission", "[schedule]")
{
    virtual_pool pool(4, worker_size, 10);
    pool.m_always_failing.insert("bad");
    pool.run_for(milliseconds(200));
    pool.submit("bad", make_submission({3}, small_task, milliseconds(200)));
    pool.submit("good", make_submission({6}, small_task, milliseconds(200)));
    pool.run_for(milliseconds(2500));
    CHECK(pool.state("bad") == submission_state::failed);
    CHECK(pool.state("good") == submission_state::succeeded);
    CHECK(pool.violations().empty());
}

// Guards against a lost attempt: the worker reported a failure again to the next owner, which
// already had it from the log, and the submission failed one attempt too early.
TEST_CASE("a stored failure that was not acknowledged counts once", "[schedule]")
{
    virtual_pool pool(4, worker_size, 25);
    pool.run_for(milliseconds(200));
    pool.m_always_failing.insert("a");
    pool.submit("a", make_submission({1}, small_task, milliseconds(300)));
    const auto is_failure = [](const log_entry& entry) {
        const auto* ended = std::get_if<log_task_ended>(&entry);
        return ended != nullptr && !ended->m_done;
    };
    const auto stored_failures = [&] {
        std::ptrdiff_t count = 0;
        for (const std::vector<log_entry>& batch : pool.m_log) {
            count += std::count_if(batch.begin(), batch.end(), is_failure);
        }
        return count;
    };
    while (stored_failures() == 0 && pool.now() < time_point(seconds(1003))) {
        pool.run_for(milliseconds(1));
    }
    REQUIRE(stored_failures() == 1);
    // The owner fails before it acknowledges the end.
    pool.current_owner().m_alive = false;
    pool.change_owner();
    pool.run_for(milliseconds(12000));
    CHECK(pool.state("a") == submission_state::failed);
    REQUIRE(pool.m_starts.size() == 1);
    CHECK(pool.m_starts.begin()->second == 3);
    CHECK(stored_failures() == 3);
    CHECK(pool.violations().empty());
}

TEST_CASE("a cancelled submission starts no tasks and keeps no runs", "[schedule]")
{
    virtual_pool pool(2, worker_size, 11);
    pool.run_for(milliseconds(200));
    pool.submit("a", make_submission({12, 4}, small_task, milliseconds(600)));
    pool.run_for(milliseconds(200));
    REQUIRE(pool.cancel("a"));
    pool.run_for(milliseconds(600));
    CHECK(pool.state("a") == submission_state::canceled);
    for (const virtual_worker& worker : pool.m_workers) {
        CHECK(worker.m_runs.empty());
    }
    CHECK_FALSE(pool.cancel("unknown"));
    CHECK(pool.violations().empty());
}

// Guards against two faults: a machine without a known worker counted as clear, and long-running
// tasks did not leave cordoned machines.
TEST_CASE("a machine is clear only when its worker is known and runs nothing", "[schedule]")
{
    virtual_pool pool(6, worker_size, 12);
    pool.run_for(milliseconds(200));
    pool.submit("serve", long_running_submission(3, 1));
    pool.run_for(milliseconds(1000));
    CHECK_FALSE(is_clear(pool.current_owner().m_shard, machine_id("unknown")));
    const std::vector<machine_id> machines = machines_with_runs(pool);
    REQUIRE(machines.size() == 3);
    apply_instructions(pool.current_owner().m_shard, {machines, {}, false, 0}, pool.now());
    std::size_t min_available = 3;
    for (int i = 0; i < 300; ++i) {
        pool.run_for(milliseconds(10));
        min_available = std::min(min_available, count_runs(pool, [](const virtual_run& run) {
                                     return run.m_done_ms > 300 && run.m_stop_at == time_point{};
                                 }));
    }
    CHECK(min_available == 2);
    for (const machine_id& machine : machines) {
        CHECK(is_clear(pool.current_owner().m_shard, machine));
    }
    CHECK(pool.violations().empty());
}

// Guards against a machine that never becomes clear: it had left the pool and come back, and the
// new owner kept a record of its former worker, which can never answer.
TEST_CASE("a machine that came back is clear though its former worker never answered", "[schedule]")
{
    virtual_pool pool(2, worker_size, 27);
    pool.run_for(milliseconds(200));
    pool.crash_worker(0);
    pool.current_owner().m_alive = false;
    pool.change_owner();
    pool.run_for(milliseconds(100));
    pool.m_workers[0].m_listed = false;
    virtual_worker back = pool.m_workers[0];
    back.m_listing.m_id = worker_id("back");
    back.m_listing.m_address = "10.0.1.1:80";
    back.m_listed = true;
    back.m_up = true;
    pool.m_workers.push_back(back);
    pool.run_for(milliseconds(500));
    shard& state = pool.current_owner().m_shard;
    apply_instructions(state, {{back.m_listing.m_machine}, {}, false, 0}, pool.now());
    CHECK(is_clear(state, back.m_listing.m_machine));
    CHECK_FALSE(is_clear(state, pool.m_workers[1].m_listing.m_machine));
}

// Guards against two stopped tasks of one step: a task that had just started counted as unavailable
// and was ordered to stop along with another one, although it became available before the order
// arrived.
TEST_CASE("a task that is about to become available is not stopped along with another one",
          "[schedule]")
{
    virtual_pool pool(6, worker_size, 21);
    pool.run_for(milliseconds(200));
    pool.submit("serve", long_running_submission(3, 1));
    // The tasks are placed but not available yet.
    pool.run_for(milliseconds(200));
    const std::vector<machine_id> machines = machines_with_runs(pool);
    REQUIRE(machines.size() == 3);
    apply_instructions(pool.current_owner().m_shard, {machines, {}, false, 0}, pool.now());
    std::size_t max_stopped = 0;
    for (int i = 0; i < 300; ++i) {
        pool.run_for(milliseconds(10));
        max_stopped = std::max(max_stopped, count_runs(pool, [](const virtual_run& run) {
                                   return run.m_stop_at != time_point{};
                               }));
    }
    CHECK(max_stopped == 1);
    for (const machine_id& machine : machines) {
        CHECK(is_clear(pool.current_owner().m_shard, machine));
    }
    CHECK(pool.violations().empty());
}

TEST_CASE("long-running tasks leave machines with due upkeep one at a time", "[schedule]")
{
    virtual_pool pool(8, worker_size, 22);
    pool.run_for(milliseconds(200));
    pool.submit("serve", long_running_submission(3, -1));
    pool.run_for(milliseconds(1000));
    const std::vector<machine_id> machines = machines_with_runs(pool);
    REQUIRE(machines.size() == 3);
    apply_instructions(pool.current_owner().m_shard, {{}, machines, false, 0}, pool.now());
    std::size_t min_available = 3;
    for (int i = 0; i < 400; ++i) {
        pool.run_for(milliseconds(10));
        min_available = std::min(min_available, count_runs(pool, [](const virtual_run& run) {
                                     return run.m_done_ms > 300 && run.m_stop_at == time_point{};
                                 }));
    }
    CHECK(min_available == 2);
    for (const virtual_worker& worker : pool.m_workers) {
        const bool due = std::find(machines.begin(), machines.end(), worker.m_listing.m_machine) !=
                         machines.end();
        CHECK((!due || worker.m_runs.empty()));
    }
    CHECK(pool.violations().empty());
}

TEST_CASE("a queue with a policy starts tasks only where the advice service permits", "[schedule]")
{
    virtual_pool pool(12, worker_size, 23);
    pool.m_contract.m_needs_advice = true;
    pool.m_contract.m_advice_validity = milliseconds(900);
    set_queues(pool.current_owner().m_shard, {pool.m_contract});
    for (std::size_t i = 0; i < pool.m_workers.size(); ++i) {
        pool.m_workers[i].m_allowed = i % 3 == 0;
    }
    pool.run_for(milliseconds(200));
    for (int i = 0; i < 6; ++i) {
        pool.submit("a" + std::to_string(i),
                    make_submission({6, 4}, small_task, milliseconds(500)));
    }
    // Tickets expire meanwhile, and the second steps need new ones.
    pool.run_for(milliseconds(9000));
    for (int i = 0; i < 6; ++i) {
        CHECK(pool.state("a" + std::to_string(i)) == submission_state::succeeded);
    }
    CHECK(pool.m_rejected_tickets == 0);
    CHECK(pool.current_owner().m_shard.m_advice.empty());
    CHECK(pool.violations().empty());
}

TEST_CASE("a failed request to the advice service is repeated", "[schedule]")
{
    virtual_pool pool(4, worker_size, 24);
    pool.m_contract.m_needs_advice = true;
    pool.m_contract.m_advice_validity = milliseconds(900);
    set_queues(pool.current_owner().m_shard, {pool.m_contract});
    pool.run_for(milliseconds(200));
    pool.submit("a", make_submission({2}, small_task, milliseconds(300)));
    pool.run_for(milliseconds(60));
    REQUIRE(pool.current_owner().m_advice_request);
    apply_advice_reply(pool.current_owner().m_shard, *pool.current_owner().m_advice_request,
                       std::nullopt, pool.now());
    pool.current_owner().m_advice_request.reset();
    pool.run_for(milliseconds(100));
    CHECK(pool.m_starts.empty());
    pool.run_for(milliseconds(2000));
    CHECK(pool.state("a") == submission_state::succeeded);
}

TEST_CASE("a worker on which every run fails does not use up the attempts", "[schedule]")
{
    virtual_pool pool(6, worker_size, 13);
    pool.m_workers[2].m_failing_share = 1;
    pool.run_for(milliseconds(200));
    std::size_t succeeded = 0;
    for (int i = 0; i < 40; ++i) {
        pool.submit("a" + std::to_string(i), make_submission({4}, small_task, milliseconds(200)));
        pool.run_for(milliseconds(100));
    }
    pool.run_for(milliseconds(4000));
    for (int i = 0; i < 40; ++i) {
        succeeded += pool.state("a" + std::to_string(i)) == submission_state::succeeded ? 1 : 0;
    }
    CHECK(succeeded == 40);
    CHECK(pool.violations().empty());
}

// Guards against long runs that are stopped and started again without end: a run of many minutes
// reports the same whole percent for longer than a run that stands still is given.
TEST_CASE("a long run that progresses by less than a percent in seconds goes on", "[schedule]")
{
    virtual_pool pool(4, worker_size, 15);
    pool.run_for(milliseconds(200));
    pool.submit("a", make_submission({2}, small_task, seconds(600)));
    pool.run_for(seconds(30));
    CHECK(pool.m_starts.size() == 2);
    for (const auto& [task, starts] : pool.m_starts) {
        CHECK(starts == 1);
    }
    CHECK(pool.state("a") == submission_state::running);
}

TEST_CASE("the checker detects rule violations", "[schedule]")
{
    virtual_pool pool(1, worker_size, 14);
    pool.run_for(milliseconds(200));
    pool.submit("a", make_submission({2, 1}, {9000, 1000, 0}, milliseconds(800)));
    pool.run_for(milliseconds(200));
    worker_order order;
    order.m_task = {submission_id("a"), 0, 0, 0};
    pool.check_start(0, order);
    order.m_task = {submission_id("a"), 0, 1, 0};
    pool.check_start(0, order);
    order.m_task = {submission_id("nobody"), 0, 0, 0};
    pool.check_start(0, order);
    std::string all;
    for (const std::string& text : pool.violations()) {
        all += text + "\n";
    }
    CHECK(all.find("TWICE a.0.0.0") != std::string::npos);
    CHECK(all.find("LIMIT a.0.0.0") != std::string::npos);
    CHECK(all.find("ORDER a.0.1.0") != std::string::npos);
    CHECK(all.find("UNASKED nobody") != std::string::npos);
}

TEST_CASE("random faults of workers and owners cause no violation", "[schedule]")
{
    const std::uint64_t seed = GENERATE(range(1, 41));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const auto pick = [&](int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random);
    };
    virtual_pool pool(5, worker_size, seed);
    pool.m_duration_sigma = 0.4;
    pool.run_for(milliseconds(200));
    for (int i = 0; i < 120; ++i) {
        submission what = make_submission(
            {static_cast<std::uint32_t>(pick(1, 5)), static_cast<std::uint32_t>(pick(1, 4))},
            {pick(1, 6) * 1000L, pick(1, 8) * 1000L, 0}, milliseconds(pick(100, 900)));
        const std::string id = "a" + std::to_string(i);
        pool.submit(id, what);
        if (pick(0, 9) == 0) {
            pool.run_for(milliseconds(pick(1, 200)));
            pool.cancel(id);
        }
        virtual_worker& worker = pool.m_workers[static_cast<std::size_t>(pick(0, 4))];
        switch (pick(0, 19)) {
        case 0:
            worker.m_up = !worker.m_up;
            break;
        case 1:
            worker.m_delayed_share = worker.m_delayed_share > 0 ? 0 : 0.5;
            break;
        case 2:
            worker.m_clock_speed = 0.98;
            break;
        case 3:
            worker.m_speed = worker.m_speed < 1 ? 1 : 0.2;
            break;
        case 4:
            worker.m_partitioned_owners.insert(pool.m_owners.size() - 1);
            break;
        case 5:
            worker.m_partitioned_owners.clear();
            break;
        case 6:
            pool.current_owner().m_alive = false;
            pool.change_owner();
            break;
        case 7:
            // The former owner keeps running without the store until its proof of ownership
            // expires.
            pool.current_owner().m_has_store = false;
            pool.run_for(milliseconds(pick(0, 300)));
            pool.change_owner();
            break;
        case 8:
            pool.release();
            pool.change_owner();
            break;
        default:
            break;
        }
        pool.run_for(milliseconds(pick(20, 250)));
    }
    for (const std::string& text : pool.violations()) {
        UNSCOPED_INFO(text);
    }
    CHECK(pool.violations().empty());
}

} // namespace guavabay
