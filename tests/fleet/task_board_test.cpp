#include <catch2/catch.hpp>
#include <random>

#include "fleet/task_board.h"

using namespace guavabay;

namespace {

constexpr time_point start_of_test{seconds(100)};

/// A board with workers of one pool and a generous quota.
struct task_bench {
    explicit task_bench(int workers)
    {
        for (int i = 0; i < workers; ++i) {
            add_or_update_worker(m_board, worker_id("w" + std::to_string(i)), pool_id("p"),
                                 {4000, 8000, 0}, true);
        }
        m_board.m_quotas[customer_id("a")] = {1000, 1'000'000, 10'000'000, 0};
    }

    task_id submit(std::int64_t cpu, bool urgent = false, std::int64_t memory = 100)
    {
        task wanted;
        wanted.m_id = task_id("t" + std::to_string(m_next++));
        wanted.m_customer = customer_id("a");
        wanted.m_kind = "k";
        wanted.m_pool = pool_id("p");
        wanted.m_declared = {cpu, memory, 0};
        wanted.m_urgent = urgent;
        submit_task(m_board, wanted, m_now);
        return wanted.m_id;
    }

    /// Places tasks and confirms every start.
    void place()
    {
        m_orders.clear();
        place_tasks(m_board, m_now, m_orders);
        for (const task_order& order : std::vector<task_order>(m_orders)) {
            if (order.m_verb == task_order::verb::start) {
                std::vector<task_order> more;
                on_task_started(m_board, order.m_task, order.m_attempt, more);
            }
        }
    }

    task& get(const task_id& id) { return m_board.m_tasks.at(id); }

    task_board m_board;
    std::vector<task_order> m_orders;
    time_point m_now = start_of_test;
    int m_next = 1;
};

} // namespace

TEST_CASE("a task that can never run is refused at once with the constraint that fails")
{
    task_bench bench(2);
    CHECK(explain_task(bench.m_board, bench.submit(5000)) ==
          "refused: no worker of the pool has that many cores");
    CHECK(explain_task(bench.m_board, bench.submit(100, false, 9000)) ==
          "refused: no worker of the pool has that much memory");
    bench.m_board.m_quotas[customer_id("a")].m_cpu_millis = 50;
    CHECK(explain_task(bench.m_board, bench.submit(100)) ==
          "refused: it needs more than the whole quota of the contract");
}

TEST_CASE("a task that cannot run now waits and the reason is shown")
{
    task_bench bench(1);
    bench.submit(4000);
    const task_id second = bench.submit(4000);
    bench.place();
    CHECK(explain_task(bench.m_board, second) == "waiting: no worker of the pool has room now");
    bench.m_board.m_quotas[customer_id("a")].m_running = 1;
    bench.place();
    CHECK(explain_task(bench.m_board, second) == "waiting: the quota of the contract is used up");
}

TEST_CASE("an urgent task starts by saving the youngest tasks that are not urgent")
{
    task_bench bench(1);
    const task_id old = bench.submit(2000);
    bench.place();
    bench.m_now += seconds(10);
    const task_id young = bench.submit(2000);
    bench.place();
    const task_id urgent = bench.submit(2000, true);
    bench.place();
    REQUIRE(bench.m_orders.size() == 1);
    CHECK(bench.m_orders[0].m_verb == task_order::verb::checkpoint);
    CHECK(bench.m_orders[0].m_task == young);
    on_task_checkpointed(bench.m_board, young, bench.get(young).m_attempt);
    bench.place();
    CHECK(bench.get(urgent).m_state == task_state::running);
    CHECK(bench.get(old).m_state == task_state::running);
    CHECK(bench.get(young).m_state == task_state::waiting);
}

TEST_CASE("a cancelled task never starts, and a start that was under way is stopped")
{
    task_bench bench(1);
    const task_id waiting = bench.submit(1000);
    cancel_task(bench.m_board, waiting, bench.m_orders);
    bench.place();
    CHECK(bench.m_orders.empty());
    const task_id starting = bench.submit(1000);
    place_tasks(bench.m_board, bench.m_now, bench.m_orders);
    const std::uint64_t attempt = bench.get(starting).m_attempt;
    bench.m_orders.clear();
    cancel_task(bench.m_board, starting, bench.m_orders);
    on_task_started(bench.m_board, starting, attempt, bench.m_orders);
    REQUIRE(bench.m_orders.size() == 2);
    CHECK(bench.m_orders[0].m_verb == task_order::verb::stop);
    CHECK(bench.m_orders[1].m_verb == task_order::verb::stop);
    CHECK(bench.m_board.m_workers.at(worker_id("w0")).m_free.m_cpu_millis == 4000);
}

TEST_CASE("a worker that fails everything is quarantined and its tasks are not blamed")
{
    task_bench bench(6);
    bench.m_board.m_workers.at(worker_id("w0")).m_capacity.m_memory_mb = 8000;
    int failures_on_bad = 0;
    std::vector<task_id> tasks;
    tasks.reserve(40);
    for (int i = 0; i < 40; ++i) {
        tasks.push_back(bench.submit(1000));
    }
    for (int round = 0; round < 60; ++round) {
        bench.place();
        for (const task_id& id : tasks) {
            task& one = bench.get(id);
            if (one.m_state != task_state::running) {
                continue;
            }
            if (one.m_worker == worker_id("w0")) {
                ++failures_on_bad;
                on_task_failed(bench.m_board, id, one.m_attempt, bench.m_now);
            }
            else {
                on_task_done(bench.m_board, id, one.m_attempt, {500, 50, 0}, bench.m_now);
            }
        }
        bench.m_now += seconds(1);
    }
    for (const task_id& id : tasks) {
        CHECK(bench.get(id).m_state == task_state::done);
    }
    CHECK(failures_on_bad <= 8);
}

TEST_CASE("a task that fails everywhere is refused and no worker is quarantined for it")
{
    task_bench bench(6);
    const task_id bad = bench.submit(1000);
    int runs = 0;
    for (int round = 0; round < 20; ++round) {
        const task_id good = bench.submit(1000);
        bench.place();
        if (bench.get(good).m_state == task_state::running) {
            on_task_done(bench.m_board, good, bench.get(good).m_attempt, {500, 50, 0}, bench.m_now);
        }
        if (bench.get(bad).m_state == task_state::running) {
            ++runs;
            on_task_failed(bench.m_board, bad, bench.get(bad).m_attempt, bench.m_now);
        }
        bench.m_now += seconds(1);
    }
    CHECK(bench.get(bad).m_state == task_state::refused);
    CHECK(runs == 3);
    for (const auto& [id, worker] : bench.m_board.m_workers) {
        CHECK(worker.m_quarantined_until == time_point{});
    }
}

TEST_CASE("both faults at once are told apart within bounded failures")
{
    task_bench bench(10);
    std::set<task_id> bad_tasks;
    std::vector<task_id> tasks;
    for (int i = 0; i < 60; ++i) {
        tasks.push_back(bench.submit(1000));
        if (i % 20 == 0) {
            bad_tasks.insert(tasks.back());
        }
    }
    int failures = 0;
    for (int round = 0; round < 400; ++round) {
        bench.place();
        for (const task_id& id : tasks) {
            task& one = bench.get(id);
            if (one.m_state != task_state::running) {
                continue;
            }
            if (bad_tasks.contains(id) || one.m_worker == worker_id("w3")) {
                ++failures;
                on_task_failed(bench.m_board, id, one.m_attempt, bench.m_now);
            }
            else {
                on_task_done(bench.m_board, id, one.m_attempt, {500, 50, 0}, bench.m_now);
            }
        }
        bench.m_now += seconds(1);
    }
    for (const task_id& id : tasks) {
        const task_state expected = bad_tasks.contains(id) ? task_state::refused : task_state::done;
        CHECK(bench.get(id).m_state == expected);
    }
    CHECK(failures <= 30);
}

TEST_CASE("bad tasks that share every worker are found out, and sound workers stay in use")
{
    task_bench bench(20);
    std::vector<task_id> bad;
    for (int i = 0; i < 5; ++i) {
        bad.push_back(bench.submit(500));
        bench.get(bad.back()).m_kind = "broken";
    }
    int failures = 0;
    for (int round = 0; round < 600; ++round) {
        bench.place();
        for (const task_id& id : bad) {
            if (bench.get(id).m_state == task_state::running) {
                ++failures;
                on_task_failed(bench.m_board, id, bench.get(id).m_attempt, bench.m_now);
            }
        }
        bench.m_now += seconds(1);
    }
    for (const task_id& id : bad) {
        CHECK(bench.get(id).m_state == task_state::refused);
    }
    CHECK(failures <= 15);
}

TEST_CASE("reports of an attempt whose lease lapsed change nothing")
{
    task_bench bench(2);
    const task_id id = bench.submit(1000);
    bench.place();
    const std::uint64_t first = bench.get(id).m_attempt;
    on_worker_lost(bench.m_board, bench.get(id).m_worker);
    bench.place();
    CHECK(bench.get(id).m_attempt == first + 1);
    on_task_done(bench.m_board, id, first, {1, 1, 0}, bench.m_now);
    CHECK(bench.get(id).m_state == task_state::running);
    std::vector<task_order> orders;
    on_task_started(bench.m_board, id, first, orders);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].m_verb == task_order::verb::stop);
    CHECK(orders[0].m_attempt == first);
}

TEST_CASE("quotas and capacities hold through thousands of seeded events")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        task_bench bench(20);
        bench.m_board.m_quotas[customer_id("a")] = {30, 40'000, 100'000, 0};
        std::mt19937_64 random(seed);
        std::vector<task_id> tasks;
        for (int step = 0; step < 4000; ++step) {
            bench.m_now += milliseconds(50);
            const std::uint64_t choice = random() % 10;
            if (choice < 4) {
                tasks.push_back(bench.submit(100 + static_cast<std::int64_t>(random() % 3000),
                                             random() % 10 == 0));
            }
            else if (!tasks.empty()) {
                const task_id id = tasks[random() % tasks.size()];
                const std::uint64_t attempt = bench.get(id).m_attempt;
                if (choice < 6) {
                    on_task_done(bench.m_board, id, attempt, {800, 80, 0}, bench.m_now);
                }
                else if (choice == 6) {
                    cancel_task(bench.m_board, id, bench.m_orders);
                }
                else if (choice == 7) {
                    on_task_checkpointed(bench.m_board, id, attempt);
                }
                else if (choice == 8) {
                    on_task_failed(bench.m_board, id, attempt, bench.m_now);
                }
            }
            bench.place();
            const quota_amount& use = bench.m_board.m_quota_usage[customer_id("a")];
            REQUIRE(use.m_running <= 30);
            REQUIRE(use.m_reserved.m_cpu_millis <= 40'000);
            for (const auto& [id, worker] : bench.m_board.m_workers) {
                REQUIRE(worker.m_free.m_cpu_millis >= 0);
                REQUIRE(worker.m_free.m_memory_mb >= 0);
            }
        }
    }
}

TEST_CASE("what tasks really use is learned, within bounds")
{
    usage_model model;
    const resources declared{1000, 1000, 1};
    CHECK(model.reservation_for(customer_id("a"), "k", declared) == declared);
    for (int i = 0; i < 40; ++i) {
        model.observe(customer_id("a"), "k", declared, {200, 5000, 1});
    }
    CHECK(model.reservation_for(customer_id("a"), "k", declared) == resources{200, 2000, 1});
    CHECK(model.reservation_for(customer_id("b"), "k", declared) == declared);
}
