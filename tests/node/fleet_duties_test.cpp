#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "support/virtual_platform.h"

using namespace guavabay;
using namespace guavabay::test;

namespace json = boost::json;

namespace {

/// Three entry hosts, two pools that owe hosts, and a spare pool.
struct fleet_bench {
    explicit fleet_bench(std::uint64_t seed = 1) : m_hosts(3, seed), m_platform(m_hosts)
    {
        m_hosts.run_for(seconds(5));
        m_platform.add_pool("conversion", 20);
        m_platform.add_pool("payroll", 16);
        m_platform.add_pool("administrative", 14);
        const auto first = m_hosts.apply("h1", contract_for("a", "conversion", 13, 20), "op1");
        const auto second = m_hosts.apply("h1", contract_for("b", "payroll", 9, 18), "op2");
        m_platform.m_budgets[pool_id("conversion")] = {13, 20, survivable_failure::rack, {}};
        m_platform.m_budgets[pool_id("payroll")] = {9, 18, survivable_failure::rack, {}};
        m_platform.run_for(seconds(5));
        INFO(m_hosts.answer(first)->m_body << m_hosts.answer(second)->m_body);
        REQUIRE_FALSE(m_hosts.answer(first)->m_kind);
        REQUIRE_FALSE(m_hosts.answer(second)->m_kind);
    }

    static std::string contract_for(const std::string& customer, const std::string& pool, int least,
                                    int most)
    {
        const json::object hosts{{"pool", pool}, {"min", least}, {"max", most}};
        return make_contract(
            customer, "s-" + customer,
            json::serialize(json::object{{"hosts", json::array{hosts}}, {"survives", "rack"}}));
    }

    /// Sends a call to each host until the one that holds the duty takes it.
    bool call(operator_verb verb, const std::string& body, const std::string& host = {},
              bool dry_run = false)
    {
        for (const std::string& name : m_hosts.running()) {
            const std::uint64_t number = m_hosts.fleet_call(name, verb, body, host, dry_run);
            m_platform.run_for(seconds(1));
            const operator_answer* answer = m_hosts.answer(number);
            if (answer != nullptr && !answer->m_kind) {
                m_answer = answer->m_body;
                return true;
            }
            if (answer != nullptr && answer->m_kind != error_kind::owner_unreachable) {
                m_answer = answer->m_body;
                return false;
            }
        }
        return false;
    }

    bool start_wave(int number, const std::string& extra = "")
    {
        return call(operator_verb::wave_start, "{\"number\":" + std::to_string(number) +
                                                   ",\"spare\":\"administrative\"" + extra + "}");
    }

    /// The host that holds the duty; empty when none does.
    std::string holder()
    {
        for (const std::string& name : m_hosts.running()) {
            if (m_hosts.node(name).m_fleet_duty.m_stage == fleet_duty::stage::ready) {
                return name;
            }
        }
        return {};
    }

    virtual_hosts m_hosts;
    virtual_platform m_platform;
    std::string m_answer;
};

int most_reboots(const virtual_platform& platform)
{
    int most = 0;
    for (const auto& [name, count] : platform.m_reboots) {
        most = std::max(most, count);
    }
    return most;
}

} // namespace

TEST_CASE("a wave maintains every host once and breaks no budget")
{
    fleet_bench bench;
    REQUIRE(bench.start_wave(1));
    const duration took = bench.m_platform.run_wave(wave_number(1), std::chrono::minutes(10));
    CHECK(took > duration::zero());
    CHECK(bench.m_platform.m_budget_violations == 0);
    CHECK(most_reboots(bench.m_platform) == 1);
    CHECK(bench.m_platform.m_reboots.size() == 50);
}

TEST_CASE("a wave that is accepted is known in another zone and stays, with the store gone at once")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fleet_bench bench(seed);
        const std::string holder = bench.holder();
        REQUIRE_FALSE(holder.empty());
        const std::uint64_t number =
            bench.m_hosts.fleet_call(holder, operator_verb::wave_start,
                                     R"({"number":1,"spare":"administrative"})", "", false);
        REQUIRE(bench.m_hosts.run_until(
            [&] {
                const bool written = !bench.m_hosts.m_store.get("wave").m_value.empty();
                bench.m_hosts.m_store.m_away = written;
                bench.m_hosts.m_cut_from_store =
                    written ? std::set<std::string>{"h1", "h2", "h3"} : std::set<std::string>{};
                return bench.m_hosts.answer(number) != nullptr;
            },
            seconds(12)));
        REQUIRE_FALSE(bench.m_hosts.answer(number)->m_kind);
        std::size_t knowing = 0;
        for (const std::string& name : bench.m_hosts.running()) {
            knowing += bench.m_hosts.node(name).m_wave ? 1U : 0U;
        }
        CHECK(knowing >= 2);
        bench.m_hosts.run_for(seconds(8));
        for (const std::string& name : bench.m_hosts.running()) {
            CHECK(bench.m_hosts.node(name).m_wave.has_value());
        }
    }
}

TEST_CASE("a rack that fails during a wave breaks no budget")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet_bench bench(seed);
        REQUIRE(bench.start_wave(1));
        bench.m_platform.run_for(seconds(20 + 3 * static_cast<int>(seed)));
        bench.m_platform.fail_rack("z3", "r2");
        bench.m_platform.run_for(seconds(60));
        CHECK(bench.m_platform.m_budget_violations == 0);
    }
}

TEST_CASE(
    "a wave goes on after its holder is killed, frozen or cut off, without doing a host twice")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        fleet_bench bench(seed);
        REQUIRE(bench.start_wave(1));
        bench.m_platform.run_for(seconds(12));
        const std::string first = bench.holder();
        REQUIRE_FALSE(first.empty());
        if (seed % 3 == 0) {
            bench.m_hosts.kill(first);
        }
        else if (seed % 3 == 1) {
            bench.m_hosts.freeze(first);
        }
        else {
            bench.m_hosts.m_cut_from_store.insert(first);
        }
        bench.m_platform.run_for(seconds(20));
        if (seed % 3 == 1) {
            bench.m_hosts.thaw(first);
        }
        bench.m_hosts.m_cut_from_store.clear();
        bench.m_hosts.m_store.m_away = true;
        bench.m_platform.run_for(seconds(15));
        bench.m_hosts.m_store.m_away = false;
        bench.m_hosts.m_store.m_lose_answers = 3;
        bench.m_hosts.m_store.m_drop_calls = 2;
        CHECK(bench.m_platform.run_wave(wave_number(1), std::chrono::minutes(10)) >
              duration::zero());
        CHECK(bench.m_platform.m_budget_violations == 0);
        CHECK(most_reboots(bench.m_platform) == 1);
    }
}

TEST_CASE("a paused wave drains no further host, and goes on when resumed")
{
    fleet_bench bench;
    REQUIRE(bench.start_wave(1));
    bench.m_platform.run_for(seconds(15));
    REQUIRE(bench.call(operator_verb::wave_pause, ""));
    bench.m_platform.run_for(seconds(15));
    const std::size_t reboots = bench.m_platform.m_reboots.size();
    bench.m_platform.run_for(seconds(60));
    CHECK(bench.m_platform.m_reboots.size() == reboots);
    REQUIRE(bench.call(operator_verb::wave_resume, ""));
    CHECK(bench.m_platform.run_wave(wave_number(1), std::chrono::minutes(10)) > duration::zero());
    CHECK(most_reboots(bench.m_platform) == 1);
}

TEST_CASE("a wave whose hosts do not come back stops, says why, and replaces them")
{
    fleet_bench bench;
    for (int i = 0; i < 20; ++i) {
        bench.m_platform.m_unrecoverable_hosts.insert("conversion-" + std::to_string(i));
    }
    REQUIRE(bench.start_wave(1, ",\"longest_absence_ms\":20000"));
    bench.m_platform.run_for(std::chrono::minutes(5));
    REQUIRE(bench.call(operator_verb::wave_status, ""));
    const json::value wave = json::parse(bench.m_answer);
    const std::string stopped = wave.at("stopped").as_string().c_str();
    CHECK(stopped.find("did not come back: conversion-") != std::string::npos);
    CHECK(bench.m_platform.m_budget_violations == 0);
    int broken = 0;
    for (const auto& [name, count] : bench.m_platform.m_reboots) {
        broken += name.starts_with("conversion-") ? 1 : 0;
    }
    CHECK(broken <= 8);
}

TEST_CASE("a host moves through drain and empty and is in one pool at every moment")
{
    fleet_bench bench;
    REQUIRE(bench.call(operator_verb::host_move, "payroll", "administrative-3"));
    bench.m_platform.run_for(seconds(1));
    fleet_host host = bench.m_platform.actual_fleet().m_hosts.at(worker_id("administrative-3"));
    CHECK(host.m_pool == pool_id("administrative"));
    CHECK(host.m_state == host_state::draining);
    bench.m_platform.run_for(seconds(5));
    host = bench.m_platform.actual_fleet().m_hosts.at(worker_id("administrative-3"));
    CHECK(host.m_pool == pool_id("payroll"));
    CHECK(host.m_state == host_state::serving);
    CHECK(bench.m_platform.m_pool_changes == 1);
}

TEST_CASE("a move that would break a budget is refused by the budget's name, and a dry run moves "
          "nothing")
{
    fleet_bench bench;
    bench.m_platform.run_for(seconds(1));
    int moved = 0;
    while (bench.call(operator_verb::host_move, "administrative",
                      "conversion-" + std::to_string(moved))) {
        bench.m_platform.run_for(seconds(5));
        ++moved;
        REQUIRE(moved < 20);
    }
    CHECK(bench.m_answer.find("pool conversion owes 13 hosts") != std::string::npos);
    CHECK(bench.m_platform.m_budget_violations == 0);
    const auto before = bench.m_platform.m_pool_changes;
    REQUIRE(bench.call(operator_verb::host_move, "payroll", "administrative-3", true));
    CHECK(bench.m_answer.find("pools_after") != std::string::npos);
    bench.m_platform.run_for(seconds(5));
    CHECK(bench.m_platform.m_pool_changes == before);
}
