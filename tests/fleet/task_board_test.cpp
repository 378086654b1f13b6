#include <catch2/catch.hpp>
#include <random>

#include "fleet/task_board.h"

using namespace guavabay;

namespace {

constexpr time_point start_of_test{seconds(100)};

/// A board with equal workers of one pool and a quota that does not limit placement.
struct board_fixture {
    explicit board_fixture(int workers)
    {
        for (int i = 0; i < workers; ++i) {
            add_or_update_worker(m_board, worker_id("w" + std::to_string(i)), pool_id("p"),
                                 {4000, 8000, 0}, true);
        }
        m_board.m_quotas[customer_id("a")] = {1000, 1'000'000, 10'000'000, 0};
    }

    task_id submit(std::int64_t cpu, bool urgent = false, std::int64_t memory = 100)
    {
        task submitted;
        submitted.m_id = task_id("t" + std::to_string(m_next++));
        submitted.m_customer = customer_id("a");
        submitted.m_kind = "k";
        submitted.m_pool = pool_id("p");
        submitted.m_declared = {cpu, memory, 0};
        submitted.m_urgent = urgent;
        submit_task(m_board, submitted, m_now);
        return submitted.m_id;
    }

    /// Places tasks and confirms every start order as the platform would.
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
    board_fixture fixture(2);
    CHECK(explain_task(fixture.m_board, fixture.submit(5000)) ==
          "refused: no worker of the pool has that many cores");
    CHECK(explain_task(fixture.m_board, fixture.submit(100, false, 9000)) ==
          "refused: no worker of the pool has that much memory");
    fixture.m_board.m_quotas[customer_id("a")].m_cpu_millis = 50;
    CHECK(explain_task(fixture.m_board, fixture.submit(100)) ==
          "refused: it needs more than the whole quota of the contract");
}

TEST_CASE("a task that cannot run now waits and the reason is shown")
{
    board_fixture fixture(1);
    fixture.submit(4000);
    const task_id second = fixture.submit(4000);
    fixture.place();
    CHECK(explain_task(fixture.m_board, second) == "waiting: no worker of the pool has room now");
    fixture.m_board.m_quotas[customer_id("a")].m_running = 1;
    fixture.place();
    CHECK(explain_task(fixture.m_board, second) == "waiting: the quota of the contract is used up");
}

TEST_CASE("an urgent task starts by saving the youngest tasks that are not urgent")
{
    board_fixture fixture(1);
    const task_id old = fixture.submit(2000);
    fixture.place();
    fixture.m_now += seconds(10);
    const task_id young = fixture.submit(2000);
    fixture.place();
    const task_id urgent = fixture.submit(2000, true);
    fixture.place();
    REQUIRE(fixture.m_orders.size() == 1);
    CHECK(fixture.m_orders[0].m_verb == task_order::verb::checkpoint);
    CHECK(fixture.m_orders[0].m_task == young);
    on_task_checkpointed(fixture.m_board, young, fixture.get(young).m_attempt);
    fixture.place();
    CHECK(fixture.get(urgent).m_state == task_state::running);
    CHECK(fixture.get(old).m_state == task_state::running);
    CHECK(fixture.get(young).m_state == task_state::waiting);
}

TEST_CASE("a cancelled task never starts, and a start that was under way is stopped")
{
    board_fixture fixture(1);
    const task_id waiting = fixture.submit(1000);
    cancel_task(fixture.m_board, waiting, fixture.m_orders);
    fixture.place();
    CHECK(fixture.m_orders.empty());
    const task_id starting = fixture.submit(1000);
    place_tasks(fixture.m_board, fixture.m_now, fixture.m_orders);
    const std::uint64_t attempt = fixture.get(starting).m_attempt;
    fixture.m_orders.clear();
    cancel_task(fixture.m_board, starting, fixture.m_orders);
    on_task_started(fixture.m_board, starting, attempt, fixture.m_orders);
    REQUIRE(fixture.m_orders.size() == 2);
    CHECK(fixture.m_orders[0].m_verb == task_order::verb::stop);
    CHECK(fixture.m_orders[1].m_verb == task_order::verb::stop);
    CHECK(fixture.m_board.m_workers.at(worker_id("w0")).m_free.m_cpu_millis == 4000);
}

TEST_CASE("a worker on which every task fails is quarantined and its tasks are not refused")
{
    board_fixture fixture(6);
    fixture.m_board.m_workers.at(worker_id("w0")).m_capacity.m_memory_mb = 8000;
    int failures_on_bad = 0;
    std::vector<task_id> tasks;
    tasks.reserve(40);
    for (int i = 0; i < 40; ++i) {
        tasks.push_back(fixture.submit(1000));
    }
    for (int round = 0; round < 60; ++round) {
        fixture.place();
        for (const task_id& id : tasks) {
            task& task_entry = fixture.get(id);
            if (task_entry.m_state != task_state::running) {
                continue;
            }
            if (task_entry.m_worker == worker_id("w0")) {
                ++failures_on_bad;
                on_task_failed(fixture.m_board, id, task_entry.m_attempt, fixture.m_now);
            }
            else {
                on_task_done(fixture.m_board, id, task_entry.m_attempt, {500, 50, 0},
                             fixture.m_now);
            }
        }
        fixture.m_now += seconds(1);
    }
    for (const task_id& id : tasks) {
        CHECK(fixture.get(id).m_state == task_state::done);
    }
    CHECK(failures_on_bad <= 8);
}

TEST_CASE("a task that fails on every worker is refused and no worker is quarantined")
{
    board_fixture fixture(6);
    const task_id bad = fixture.submit(1000);
    int runs = 0;
    for (int round = 0; round < 20; ++round) {
        const task_id good = fixture.submit(1000);
        fixture.place();
        if (fixture.get(good).m_state == task_state::running) {
            on_task_done(fixture.m_board, good, fixture.get(good).m_attempt, {500, 50, 0},
                         fixture.m_now);
        }
        if (fixture.get(bad).m_state == task_state::running) {
            ++runs;
            on_task_failed(fixture.m_board, bad, fixture.get(bad).m_attempt, fixture.m_now);
        }
        fixture.m_now += seconds(1);
    }
    CHECK(fixture.get(bad).m_state == task_state::refused);
    CHECK(runs == 3);
    for (const auto& [id, worker] : fixture.m_board.m_workers) {
        CHECK(worker.m_quarantined_until == time_point{});
    }
}

TEST_CASE("a faulty worker and faulty tasks are told apart within a bounded number of failures")
{
    board_fixture fixture(10);
    std::set<task_id> bad_tasks;
    std::vector<task_id> tasks;
    for (int i = 0; i < 60; ++i) {
        tasks.push_back(fixture.submit(1000));
        if (i % 20 == 0) {
            bad_tasks.insert(tasks.back());
        }
    }
    int failures = 0;
    for (int round = 0; round < 400; ++round) {
        fixture.place();
        for (const task_id& id : tasks) {
            task& task_entry = fixture.get(id);
            if (task_entry.m_state != task_state::running) {
                continue;
            }
            if (bad_tasks.contains(id) || task_entry.m_worker == worker_id("w3")) {
                ++failures;
                on_task_failed(fixture.m_board, id, task_entry.m_attempt, fixture.m_now);
            }
            else {
                on_task_done(fixture.m_board, id, task_entry.m_attempt, {500, 50, 0},
                             fixture.m_now);
            }
        }
        fixture.m_now += seconds(1);
    }
    for (const task_id& id : tasks) {
        const task_state expected = bad_tasks.contains(id) ? task_state::refused : task_state::done;
        CHECK(fixture.get(id).m_state == expected);
    }
    CHECK(failures <= 30);
}

// Failing tasks of a kind that never succeeds run on every worker. If their failures counted
// against the workers, healthy workers would be quarantined and the tasks would be retried more
// often.
TEST_CASE("tasks of a kind that never succeeds are refused after few failures")
{
    board_fixture fixture(20);
    std::vector<task_id> bad;
    for (int i = 0; i < 5; ++i) {
        bad.push_back(fixture.submit(500));
        fixture.get(bad.back()).m_kind = "broken";
    }
    int failures = 0;
    for (int round = 0; round < 600; ++round) {
        fixture.place();
        for (const task_id& id : bad) {
            if (fixture.get(id).m_state == task_state::running) {
                ++failures;
                on_task_failed(fixture.m_board, id, fixture.get(id).m_attempt, fixture.m_now);
            }
        }
        fixture.m_now += seconds(1);
    }
    for (const task_id& id : bad) {
        CHECK(fixture.get(id).m_state == task_state::refused);
    }
    CHECK(failures <= 15);
}

TEST_CASE("reports of an attempt whose worker was lost change nothing")
{
    board_fixture fixture(2);
    const task_id id = fixture.submit(1000);
    fixture.place();
    const std::uint64_t first = fixture.get(id).m_attempt;
    on_worker_lost(fixture.m_board, fixture.get(id).m_worker);
    fixture.place();
    CHECK(fixture.get(id).m_attempt == first + 1);
    on_task_done(fixture.m_board, id, first, {1, 1, 0}, fixture.m_now);
    CHECK(fixture.get(id).m_state == task_state::running);
    std::vector<task_order> orders;
    on_task_started(fixture.m_board, id, first, orders);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].m_verb == task_order::verb::stop);
    CHECK(orders[0].m_attempt == first);
}

TEST_CASE("quotas and capacities are not exceeded in thousands of random events")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        board_fixture fixture(20);
        fixture.m_board.m_quotas[customer_id("a")] = {30, 40'000, 100'000, 0};
        std::mt19937_64 random(seed);
        std::vector<task_id> tasks;
        for (int step = 0; step < 4000; ++step) {
            fixture.m_now += milliseconds(50);
            const std::uint64_t choice = random() % 10;
            if (choice < 4) {
                tasks.push_back(fixture.submit(100 + static_cast<std::int64_t>(random() % 3000),
                                               random() % 10 == 0));
            }
            else if (!tasks.empty()) {
                const task_id id = tasks[random() % tasks.size()];
                const std::uint64_t attempt = fixture.get(id).m_attempt;
                if (choice < 6) {
                    on_task_done(fixture.m_board, id, attempt, {800, 80, 0}, fixture.m_now);
                }
                else if (choice == 6) {
                    cancel_task(fixture.m_board, id, fixture.m_orders);
                }
                else if (choice == 7) {
                    on_task_checkpointed(fixture.m_board, id, attempt);
                }
                else if (choice == 8) {
                    on_task_failed(fixture.m_board, id, attempt, fixture.m_now);
                }
            }
            fixture.place();
            const quota_amount& use = fixture.m_board.m_quota_usage[customer_id("a")];
            REQUIRE(use.m_running <= 30);
            REQUIRE(use.m_reserved.m_cpu_millis <= 40'000);
            for (const auto& [id, worker] : fixture.m_board.m_workers) {
                REQUIRE(worker.m_free.m_cpu_millis >= 0);
                REQUIRE(worker.m_free.m_memory_mb >= 0);
            }
        }
    }
}

TEST_CASE("reservations follow the learned usage within limits")
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
