#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "fleet/quota_share.h"
#include "support/virtual_workers.h"

using namespace guavabay;
using namespace guavabay::test;

namespace json = boost::json;

namespace {

constexpr std::uint32_t granted_tasks = 12;

/// Three entry hosts, two pools of workers, and two customers with quotas.
struct task_bench {
    explicit task_bench(std::uint64_t seed = 1, const std::string& spare = "",
                        const policy_weights& weights = {})
        : m_hosts(0, seed), m_platform(m_hosts), m_workers(m_hosts, m_platform)
    {
        m_hosts.m_common.m_spare_pool = pool_id(spare);
        m_hosts.m_common.m_weights = weights;
        for (const char* name : {"h1", "h2", "h3"}) {
            m_hosts.start(name, std::string("z") + name[1]);
        }
        m_hosts.run_for(seconds(5));
        m_platform.add_pool("conversion", 8);
        m_platform.add_pool("payroll", 8);
        apply("anna", granted_tasks);
        apply("berta", granted_tasks);
        m_workers.run_for(seconds(5));
    }

    void apply(const std::string& customer, std::uint32_t running)
    {
        const json::object grant{{"running", running},
                                 {"cpu_millis", 1'000'000},
                                 {"memory_mb", 1'000'000},
                                 {"accelerators", 0}};
        const std::uint64_t number =
            m_hosts.apply("h1",
                          make_contract(customer, "s-" + customer,
                                        json::serialize(json::object{{"tasks", grant}})),
                          "op-" + customer);
        m_workers.run_for(seconds(1));
        REQUIRE_FALSE(m_hosts.answer(number)->m_kind);
        m_workers.m_limits[customer_id(customer)] = running;
    }

    static std::string body(const std::string& customer, int cpu, bool urgent = false,
                            const std::string& kind = "convert")
    {
        return json::serialize(json::object{{"customer", customer},
                                            {"kind", kind},
                                            {"cpu_millis", cpu},
                                            {"memory_mb", 100},
                                            {"urgent", urgent}});
    }

    /// Submits a task through a host; the call's number.
    std::uint64_t submit(const std::string& host, const std::string& pool, const std::string& task,
                         const std::string& text)
    {
        return call_task(m_hosts, host, operator_verb::task_submit, pool, task, text);
    }

    /// The host that places a pool's tasks; empty when none does.
    std::string holder(const std::string& pool)
    {
        for (const std::string& name : m_hosts.running()) {
            const auto& duties = m_hosts.node(name).m_task_duties;
            const auto found = duties.find(pool_id(pool));
            if (found != duties.end() && found->second.m_stage == task_duty::stage::ready) {
                return name;
            }
        }
        return {};
    }

    void check_promises() const
    {
        CHECK(m_workers.m_duplicate_runs == 0);
        CHECK(m_workers.m_starts_after_cancel == 0);
        CHECK(m_workers.m_over_quota == 0);
        CHECK(m_platform.m_reboots_with_tasks == 0);
        for (const auto& [id, times] : m_workers.m_runs_done) {
            CHECK(times == 1);
        }
    }

    virtual_hosts m_hosts;
    virtual_platform m_platform;
    virtual_workers m_workers;
};

} // namespace

TEST_CASE("tasks of two pools under one quota all run once and never exceed it")
{
    task_bench bench;
    for (int i = 0; i < 30; ++i) {
        const std::string host = "h" + std::to_string(i % 3 + 1);
        const std::string pool = i % 2 == 0 ? "conversion" : "payroll";
        bench.submit(host, pool, "a" + std::to_string(i), task_bench::body("anna", 2000));
        bench.submit(host, pool, "b" + std::to_string(i), task_bench::body("berta", 1000));
    }
    CHECK(bench.m_workers.run_until_ended(std::chrono::minutes(3)));
    CHECK(bench.m_workers.states()["done"] == 60);
    CHECK(bench.m_workers.m_runs_done.size() == 60);
    bench.check_promises();
}

TEST_CASE("a task costs three writes of the store, also when many end at once")
{
    task_bench bench;
    std::uint64_t writes = 0;
    std::size_t most_at_once = 0;
    std::map<std::int64_t, std::size_t> by_moment;
    bench.m_hosts.m_fate = [&](const std::string&, const store_call& call) {
        const auto* swap = std::get_if<store_swap>(&call.m_operation);
        if (swap != nullptr && swap->m_key.starts_with("~pool/")) {
            writes += swap->m_value.empty() ? 0 : 1;
            const std::int64_t moment = bench.m_hosts.now().time_since_epoch().count();
            most_at_once = std::max(most_at_once, ++by_moment[moment]);
        }
        return store_fate::answered;
    };
    for (int i = 0; i < 100; ++i) {
        bench.submit("h1", "conversion", "w" + std::to_string(i), task_bench::body("anna", 1000));
        bench.m_workers.run_for(milliseconds(100));
    }
    REQUIRE(bench.m_workers.run_until_ended(std::chrono::minutes(3)));
    CHECK(writes == 300);
    bench.m_hosts.kill(bench.holder("conversion"));
    bench.m_workers.run_for(std::chrono::minutes(11));
    CHECK(bench.m_workers.states().empty());
    CHECK(most_at_once <= 32);
    bench.check_promises();
}

TEST_CASE("tasks run once while holders are killed and frozen and the store loses answers")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        task_bench bench(seed);
        for (int i = 0; i < 40; ++i) {
            const std::string pool = i % 2 == 0 ? "conversion" : "payroll";
            bench.submit("h1", pool, "a" + std::to_string(i), task_bench::body("anna", 2000));
        }
        bench.m_workers.run_for(seconds(2));
        bench.m_hosts.m_store.m_lose_answers = 4;
        bench.m_hosts.m_store.m_drop_calls = 3;
        bench.m_workers.run_for(milliseconds(300 * static_cast<int>(seed)));
        const std::string victim = bench.holder("conversion");
        REQUIRE_FALSE(victim.empty());
        if (seed % 2 == 0) {
            bench.m_hosts.kill(victim);
        }
        else {
            bench.m_hosts.freeze(victim);
        }
        bench.m_workers.run_for(seconds(6));
        bench.m_hosts.m_store.m_away = true;
        bench.m_workers.run_for(seconds(8));
        bench.m_hosts.m_store.m_away = false;
        if (seed % 2 == 1) {
            bench.m_hosts.thaw(victim);
        }
        bench.m_hosts.m_store.m_lose_answers = 4;
        CHECK(bench.m_workers.run_until_ended(std::chrono::minutes(4)));
        CHECK(bench.m_workers.states()["done"] == 40);
        bench.check_promises();
    }
}

TEST_CASE("an accepted task survives the loss of every entry host")
{
    task_bench bench;
    const std::uint64_t number =
        bench.submit("h2", "payroll", "only", task_bench::body("anna", 2000));
    REQUIRE(bench.m_hosts.run_until([&] { return bench.m_hosts.answer(number) != nullptr; },
                                    seconds(2)));
    REQUIRE_FALSE(bench.m_hosts.answer(number)->m_kind);
    for (const std::string& name : bench.m_hosts.running()) {
        bench.m_hosts.kill(name);
    }
    for (const char* name : {"h4", "h5", "h6"}) {
        bench.m_hosts.start(name, std::string("z") + std::to_string(name[1] - '3'));
    }
    CHECK(bench.m_workers.run_until_ended(std::chrono::minutes(1)));
    CHECK(bench.m_workers.m_runs_done.size() == 1);
    bench.check_promises();
}

TEST_CASE("urgent work starts in time on a full pool by saving other tasks")
{
    task_bench bench;
    bench.apply("clara", 200);
    bench.m_workers.m_run_time = std::chrono::minutes(10);
    for (int i = 0; i < 64; ++i) {
        bench.submit("h1", "conversion", "long" + std::to_string(i),
                     task_bench::body("clara", 1000));
    }
    bench.m_workers.run_for(seconds(5));
    CHECK(bench.m_workers.states()["starting"] == 64);
    const time_point asked = bench.m_hosts.now();
    for (int i = 0; i < 10; ++i) {
        bench.submit("h" + std::to_string(i % 3 + 1), "conversion", "now" + std::to_string(i),
                     task_bench::body("berta", 2000, true));
    }
    bench.m_workers.run_for(seconds(5));
    for (int i = 0; i < 10; ++i) {
        const time_point began = bench.m_workers.started_at("now" + std::to_string(i));
        REQUIRE(began != time_point{});
        CHECK(began - asked <= milliseconds(3600));
    }
    bench.check_promises();
}

TEST_CASE("a wave of cancellations is final and starts nothing afterwards")
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        task_bench bench(seed);
        bench.m_hosts.m_store_jitter = milliseconds(seed > 4 ? 150 : 0);
        for (int i = 0; i < 60; ++i) {
            bench.submit("h1", "conversion", "c" + std::to_string(i),
                         task_bench::body("anna", 2000));
        }
        bench.m_workers.run_for(milliseconds(600 + 200 * static_cast<int>(seed)));
        std::map<std::string, std::uint64_t> calls;
        for (int i = 0; i < 60; ++i) {
            const std::string task = "c" + std::to_string(i);
            calls[task] = call_task(bench.m_hosts, "h" + std::to_string(i % 3 + 1),
                                    operator_verb::task_cancel, "conversion", task);
        }
        if (seed % 2 == 0) {
            bench.m_hosts.kill(bench.holder("conversion"));
        }
        for (int round = 0; round < 100; ++round) {
            bench.m_workers.run_for(milliseconds(100));
            for (const auto& [task, number] : calls) {
                const operator_answer* answer = bench.m_hosts.answer(number);
                if (answer != nullptr && !answer->m_kind) {
                    bench.m_workers.expect_no_start(task);
                }
            }
        }
        CHECK(bench.m_workers.run_until_ended(std::chrono::minutes(2)));
        CHECK(bench.m_workers.states()["cancelled"] >= 40);
        bench.check_promises();
    }
}

TEST_CASE("a cancellation that overtakes the result of a write is not lost")
{
    task_bench bench;
    bench.m_workers.m_run_time = std::chrono::minutes(10);
    bench.m_hosts.m_store_jitter = milliseconds(150);
    for (int i = 0; i < 60; ++i) {
        const std::string task = "o" + std::to_string(i);
        const std::string pool = i % 2 == 0 ? "conversion" : "payroll";
        bench.submit("h1", pool, task, task_bench::body("anna", 1000));
        bench.m_workers.run_for(milliseconds(100 * (1 + i % 10)));
        call_task(bench.m_hosts, "h2", operator_verb::task_cancel, pool, task);
    }
    CHECK(bench.m_workers.run_until_ended(seconds(20)));
    CHECK(bench.m_workers.states()["cancelled"] == 60);
    bench.check_promises();
}

TEST_CASE("a submission that can never run is refused at once with the constraint that fails")
{
    task_bench bench;
    const auto reason = [&bench](const std::string& pool, const std::string& text) {
        const std::uint64_t number = bench.submit("h1", pool, "x", text);
        bench.m_workers.run_for(milliseconds(200));
        const operator_answer* answer = bench.m_hosts.answer(number);
        REQUIRE(answer != nullptr);
        REQUIRE(answer->m_kind);
        return std::string(answer_for(*answer->m_kind).m_name) + ": " + answer->m_body;
    };
    CHECK(reason("conversion", task_bench::body("anna", 9000)) ==
          "task_impossible: no worker of the pool has that many cores");
    CHECK(reason("nowhere", task_bench::body("anna", 1000)) ==
          "task_impossible: pool nowhere has no workers");
    CHECK(reason("conversion", task_bench::body("nobody", 1000)) ==
          "no_contract: no contract nobody");
    CHECK(reason("conversion", R"({"customer":"anna","kind":"k","cores":1})") ==
          "bad_request: /cores: unknown field");
    CHECK(bench.m_workers.states().empty());
}

TEST_CASE("a submission that is repeated gives the first task, and another body is refused")
{
    task_bench bench;
    const std::uint64_t first = bench.submit("h1", "payroll", "t", task_bench::body("anna", 1000));
    const std::uint64_t again = bench.submit("h2", "payroll", "t", task_bench::body("anna", 1000));
    bench.m_workers.run_for(seconds(1));
    const std::uint64_t other = bench.submit("h3", "payroll", "t", task_bench::body("anna", 2000));
    CHECK(bench.m_workers.run_until_ended(seconds(30)));
    CHECK_FALSE(bench.m_hosts.answer(first)->m_kind);
    CHECK_FALSE(bench.m_hosts.answer(again)->m_kind);
    CHECK(bench.m_hosts.answer(other)->m_kind == error_kind::task_differs);
    CHECK(bench.m_workers.m_runs_done.size() == 1);
    bench.check_promises();
}

TEST_CASE("a departed customer's tasks stop, and only then is the departure proved")
{
    task_bench bench;
    bench.m_workers.m_run_time = std::chrono::minutes(10);
    for (int i = 0; i < 12; ++i) {
        bench.submit("h1", i % 2 == 0 ? "conversion" : "payroll", "d" + std::to_string(i),
                     task_bench::body("anna", 1000));
    }
    bench.m_workers.run_for(seconds(4));
    CHECK(bench.m_workers.states()["starting"] == 12);
    const std::uint64_t ended = bench.m_hosts.end("h1", "anna", "op-end");
    bench.m_hosts.run_for(seconds(2));
    REQUIRE_FALSE(bench.m_hosts.answer(ended)->m_kind);
    const std::uint64_t early = bench.m_hosts.ask("h2", operator_verb::proof, "anna");
    bench.m_hosts.run_for(seconds(1));
    CHECK(bench.m_hosts.answer(early)->m_body.find("tasks") != std::string::npos);
    CHECK(bench.m_hosts.answer(early)->m_body.find("\"proved\":false") != std::string::npos);
    bench.m_workers.run_for(seconds(5));
    CHECK(bench.m_workers.states()["cancelled"] == 12);
    const std::uint64_t late = bench.m_hosts.ask("h2", operator_verb::proof, "anna");
    bench.m_hosts.run_for(seconds(1));
    INFO(bench.m_hosts.answer(late)->m_body);
    CHECK(bench.m_hosts.answer(late)->m_body.find("\"proved\":true") != std::string::npos);
    bench.check_promises();
}

TEST_CASE("a wave saves the tasks of each host before it is rebooted, and all end well")
{
    task_bench bench;
    bench.m_workers.m_run_time = seconds(20);
    for (int i = 0; i < 12; ++i) {
        bench.submit("h1", "conversion", "w" + std::to_string(i), task_bench::body("anna", 2000));
    }
    bench.m_workers.run_for(seconds(3));
    for (const std::string& name : bench.m_hosts.running()) {
        bench.m_hosts.fleet_call(name, operator_verb::wave_start,
                                 R"({"number":1,"spare":"payroll"})", "", false);
    }
    CHECK(bench.m_workers.run_until_ended(std::chrono::minutes(10)));
    bench.m_workers.run_for(std::chrono::minutes(4));
    CHECK(bench.m_workers.states()["done"] == 12);
    CHECK(bench.m_workers.m_saved > 0);
    CHECK(bench.m_platform.m_reboots.size() == 16);
    bench.check_promises();
}

TEST_CASE("a worker that uses more than it has is relieved by throttling before saving")
{
    task_bench bench;
    bench.m_workers.m_run_time = seconds(20);
    bench.m_workers.m_used_share = 1;
    for (int i = 0; i < 8; ++i) {
        bench.submit("h1", "conversion", "u" + std::to_string(i), task_bench::body("anna", 1000));
    }
    bench.m_workers.run_for(seconds(2));
    const std::string holder = bench.holder("conversion");
    REQUIRE_FALSE(holder.empty());
    const task_duty& duty = bench.m_hosts.node(holder).m_task_duties.at(pool_id("conversion"));
    const auto busy =
        std::find_if(duty.m_board.m_tasks.begin(), duty.m_board.m_tasks.end(),
                     [](const auto& entry) { return !entry.second.m_worker.empty(); });
    REQUIRE(busy != duty.m_board.m_tasks.end());
    const std::uint64_t attempt = busy->second.m_attempt;
    const task_id greedy = busy->first;
    bench.m_hosts.m_store.put(run_key(pool_id("conversion"), greedy),
                              format_run_report({attempt, run_state::running, {9000, 100, 0}}));
    bench.m_workers.run_for(seconds(2));
    CHECK(bench.m_workers.m_throttled > 0);
    CHECK(bench.m_workers.m_saved == 0);
    bench.m_hosts.m_store.put(run_key(pool_id("conversion"), greedy),
                              format_run_report({attempt, run_state::running, {1000, 17000, 0}}));
    bench.m_workers.run_for(seconds(2));
    CHECK(bench.m_workers.m_saved == 1);
    CHECK(bench.m_workers.run_until_ended(std::chrono::minutes(2)));
    bench.check_promises();
}

TEST_CASE("a pool whose tasks need more hosts gets them from the spare pool and gives them back")
{
    task_bench bench(1, "payroll", {30, 1});
    bench.apply("clara", 500);
    bench.m_workers.m_run_time = std::chrono::minutes(12);
    for (int i = 0; i < 88; ++i) {
        bench.submit("h1", "conversion", "m" + std::to_string(i), task_bench::body("clara", 1000));
    }
    bench.m_workers.run_for(seconds(20));
    CHECK(bench.m_workers.states()["starting"] == 64);
    bench.m_workers.run_for(std::chrono::minutes(8));
    CHECK(bench.m_workers.states()["starting"] == 88);
    const std::uint64_t moved = bench.m_platform.m_pool_changes;
    CHECK(moved >= 3);
    CHECK(bench.m_workers.run_until_ended(std::chrono::minutes(30)));
    bench.m_workers.run_for(std::chrono::minutes(30));
    CHECK(bench.m_platform.m_pool_changes >= 2 * moved);
    bench.check_promises();
}

TEST_CASE("bursts of seconds move no host")
{
    task_bench bench(1, "payroll", {1, 10});
    bench.apply("clara", 500);
    bench.m_workers.m_run_time = seconds(3);
    for (int burst = 0; burst < 8; ++burst) {
        for (int i = 0; i < 100; ++i) {
            bench.submit("h1", "conversion", "b" + std::to_string(burst * 100 + i),
                         task_bench::body("clara", 1000));
        }
        bench.m_workers.run_for(seconds(45));
    }
    CHECK(bench.m_platform.m_pool_changes == 0);
    CHECK(bench.m_workers.states()["waiting"] == 0);
    bench.check_promises();
}
