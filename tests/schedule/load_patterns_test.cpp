#include <catch2/catch.hpp>

#include "fleet/pool_moves.h"
#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr resources worker_size{16000, 32768, 0};

/// Counts of submissions in a load run: offered, finished within their objective, and finished.
struct load_result {
    int m_offered = 0;
    int m_on_time = 0;
    int m_done = 0;
};

load_result run_load(std::uint64_t seed, double load, milliseconds length)
{
    virtual_pool pool(4, worker_size, seed);
    pool.m_duration_sigma = 0.2;
    pool.run_for(milliseconds(200));
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> width(1.3, 0.7);
    const double cores = 64;
    double owed_ms = 0;
    load_result result;
    std::map<std::string, time_point> objectives;
    std::map<std::string, bool> seen;
    const time_point end = pool.now() + length + seconds(6);
    const time_point stop = pool.now() + length;
    while (pool.now() < end) {
        while (owed_ms <= 0 && pool.now() < stop) {
            const auto tasks = static_cast<std::uint32_t>(std::clamp(width(random), 1.0, 20.0));
            const std::string id = "a" + std::to_string(result.m_offered++);
            const submission what = make_submission({tasks}, {2000, 2000, 0}, milliseconds(600));
            pool.submit(id, what);
            objectives[id] = pool.now() + milliseconds(1560);
            owed_ms += 1.0 * tasks * 2 * 600 / (load * cores);
        }
        pool.run_for(milliseconds(10));
        owed_ms -= 10;
        for (const auto& [id, objective] : objectives) {
            if (!seen[id] && pool.state(id) == submission_state::succeeded) {
                seen[id] = true;
                ++result.m_done;
                result.m_on_time += pool.now() <= objective ? 1 : 0;
            }
        }
    }
    CHECK(pool.violations().empty());
    return result;
}

machine_listing machine(int number, const std::string& pool)
{
    machine_listing listing;
    listing.m_machine = machine_id("m" + std::to_string(number));
    listing.m_pool = service_id(pool);
    listing.m_state = machine_state::up;
    return listing;
}

} // namespace

// Guards against first-come-first-served order under overload: with twice the pool's capacity in
// demand, nearly all submissions would finish late. The largest submissions have to be demoted so
// that most finish on time.
TEST_CASE("under twofold overload at least half of the submissions finish on time", "[load]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    const load_result result = run_load(seed, 2, milliseconds(4000));
    CAPTURE(seed, result.m_offered, result.m_on_time, result.m_done);
    CHECK(result.m_on_time * 10 >= result.m_offered * 5);
}

TEST_CASE("at 75 percent load 97 percent of the submissions finish on time", "[load]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    const load_result result = run_load(seed, 0.75, milliseconds(4000));
    CAPTURE(seed, result.m_offered, result.m_on_time, result.m_done);
    CHECK(result.m_on_time * 100 >= result.m_offered * 97);
}

// One queue needs far more machines than its pool has, while the other pool is idle.
TEST_CASE("machines move to the pool whose queue has demand", "[load]")
{
    std::vector<machine_listing> listings;
    std::map<service_id, pool_load> loads;
    int number = 0;
    for (const std::string pool : {"busy", "idle", "spare"}) {
        for (int i = 0; i < 6; ++i) {
            listings.push_back(machine(number, pool));
            if (pool != "spare") {
                loads[service_id(pool)].m_machines[machine_id("m" + std::to_string(number))] = {
                    pool == "busy" ? 5U : 0U, i < 2, milliseconds(pool == "busy" ? 5000 : 0)};
            }
            ++number;
        }
    }
    loads[service_id("busy")].m_needed_machines = 15;
    loads[service_id("idle")].m_needed_machines = 1;
    const std::set<service_id> standby{service_id("spare")};
    move_state state;
    time_point now{seconds(100)};
    update_moves(state, listings, now);
    // In a fleet of this size one round starts at most eight moves.
    choose_moves(state, listings, loads, standby, {}, now);
    CHECK(state.m_moves.size() == 8);
    choose_moves(state, listings, loads, standby, {}, now);

    std::size_t from_spare = 0;
    std::size_t from_idle = 0;
    for (const auto& [id, move] : state.m_moves) {
        CHECK(move.m_to == service_id("busy"));
        from_spare += move.m_from == service_id("spare") ? 1 : 0;
        from_idle += move.m_from == service_id("idle") ? 1 : 0;
    }
    CHECK(from_spare == 6);
    CHECK(from_idle == 3);

    SECTION("moves in progress are not requested again")
    {
        choose_moves(state, listings, loads, standby, {}, now);
        CHECK(state.m_moves.size() == 9);
    }
    SECTION("a machine with a long-running task is not moved")
    {
        CHECK_FALSE(state.m_moves.contains(machine_id("m6")));
        CHECK_FALSE(state.m_moves.contains(machine_id("m7")));
    }
    SECTION("when the demand ends, surplus machines move back to the pools that lent them")
    {
        for (machine_listing& listing : listings) {
            if (state.m_moves.contains(listing.m_machine)) {
                listing.m_pool = service_id("busy");
            }
        }
        now += seconds(2);
        update_moves(state, listings, now);
        CHECK(state.m_moves.empty());
        loads[service_id("busy")].m_needed_machines = 1;
        for (const machine_listing& listing : listings) {
            if (listing.m_pool == service_id("busy")) {
                loads[service_id("busy")].m_machines[listing.m_machine] = {0, false,
                                                                           milliseconds(0)};
            }
        }
        choose_moves(state, listings, loads, standby, {}, now);
        CHECK(state.m_moves.empty());
        now += seconds(3);
        choose_moves(state, listings, loads, standby, {}, now);
        choose_moves(state, listings, loads, standby, {}, now);
        CHECK(state.m_moves.size() == 9);
        std::map<service_id, int> returned;
        for (const auto& [id, move] : state.m_moves) {
            ++returned[move.m_to];
        }
        CHECK(returned[service_id("idle")] == 3);
        CHECK(returned[service_id("spare")] == 6);
    }
    SECTION("a machine in a wave is not moved")
    {
        move_state other;
        update_moves(other, listings, now);
        const std::set<machine_id> in_wave{machine_id("m12"), machine_id("m13")};
        choose_moves(other, listings, loads, standby, in_wave, now);
        choose_moves(other, listings, loads, standby, in_wave, now);
        CHECK_FALSE(other.m_moves.contains(machine_id("m12")));
        // Four machines of the standby pool, and the four free machines of the idle
        // pool, which keeps its reserve.
        CHECK_FALSE(other.m_moves.contains(machine_id("m13")));
        CHECK(other.m_moves.size() == 4 + 4);
    }
}

// Guards against machines that reach the pool whose turn begins by way of the standby pool, which
// takes twice as long.
TEST_CASE("after a peak machines return to the pools that are smaller than at first", "[load]")
{
    std::vector<machine_listing> listings;
    std::map<service_id, pool_load> loads;
    for (int i = 0; i < 40; ++i) {
        listings.push_back(machine(i, i < 20 ? "ending" : "next"));
        loads[listings.back().m_pool].m_machines[listings.back().m_machine] = {0, false,
                                                                               milliseconds(0)};
    }
    listings.push_back(machine(40, "spare"));
    loads[service_id("ending")].m_needed_machines = 3;
    loads[service_id("next")].m_needed_machines = 3;
    const std::set<service_id> standby{service_id("spare")};
    move_state state;
    time_point now{seconds(100)};
    update_moves(state, listings, now);
    // The peak has brought machines from the other pools.
    for (int i = 20; i <= 40; ++i) {
        if (i < 30 || i == 40) {
            listings[static_cast<std::size_t>(i)].m_pool = service_id("ending");
            loads[service_id("ending")]
                .m_machines[listings[static_cast<std::size_t>(i)].m_machine] = {0, false,
                                                                                milliseconds(0)};
        }
    }
    choose_moves(state, listings, loads, standby, {}, now);
    CHECK(state.m_moves.empty());
    // A gap between two peaks may be this long.
    now += milliseconds(1500);
    choose_moves(state, listings, loads, standby, {}, now);
    CHECK(state.m_moves.empty());
    now += milliseconds(1000);
    choose_moves(state, listings, loads, standby, {}, now);
    std::map<service_id, int> returned;
    for (const auto& [id, move] : state.m_moves) {
        ++returned[move.m_to];
    }
    CHECK(returned[service_id("next")] == 10);
    CHECK(returned[service_id("spare")] == 1);
}

// Guards against machines that stay with a queue after its peak because short runs keep each of
// them busy: only machines without runs were lent, and the drain ended before the runs did.
TEST_CASE("a pool with a surplus lends machines whose runs end soon", "[load]")
{
    std::vector<machine_listing> listings;
    std::map<service_id, pool_load> loads;
    for (int i = 0; i < 20; ++i) {
        listings.push_back(machine(i, i < 12 ? "ending" : "rising"));
        // Every other machine of the donor runs a task of several seconds.
        const milliseconds busy(i % 2 == 0 ? 900 : 5000);
        loads[listings.back().m_pool].m_machines[listings.back().m_machine] = {3, false, busy};
    }
    loads[service_id("ending")].m_needed_machines = 4;
    loads[service_id("rising")].m_needed_machines = 30;
    move_state state;
    time_point now{seconds(100)};
    update_moves(state, listings, now);
    choose_moves(state, listings, loads, {}, {}, now);
    CHECK(state.m_moves.size() == 6);
    for (const auto& [id, move] : state.m_moves) {
        CHECK(loads[service_id("ending")].m_machines[id].m_busy_time == milliseconds(900));
    }
    // A run that takes longer than expected does not cancel the drain at once.
    now += milliseconds(2000);
    update_moves(state, listings, now);
    CHECK(state.m_moves.size() == 6);
}

// The demand of one queue ends with a large backlog while that of another, in a small pool, begins.
TEST_CASE("pools get machines in proportion to the share that they lack", "[load]")
{
    std::vector<machine_listing> listings;
    std::map<service_id, pool_load> loads;
    int number = 0;
    for (const auto& [pool, size] :
         std::map<std::string, int>{{"ending", 6}, {"rising", 1}, {"spare", 6}}) {
        for (int i = 0; i < size; ++i) {
            listings.push_back(machine(number, pool));
            if (pool != "spare") {
                loads[service_id(pool)].m_machines[machine_id("m" + std::to_string(number))] = {
                    5U, false, milliseconds(5000)};
            }
            ++number;
        }
    }
    loads[service_id("ending")].m_needed_machines = 20;
    loads[service_id("rising")].m_needed_machines = 10;
    move_state state;
    const time_point now{seconds(100)};
    update_moves(state, listings, now);
    choose_moves(state, listings, loads, {service_id("spare")}, {}, now);
    std::map<service_id, int> given;
    for (const auto& [id, move] : state.m_moves) {
        ++given[move.m_to];
    }
    CHECK(state.m_moves.size() == 6);
    CHECK(given[service_id("rising")] >= 2);
    CHECK(given[service_id("ending")] >= 2);
}

// Guards against an excessive demand for machines: running tasks of a long chain occupy their cores
// for the length of the chain and need not finish within about a second.
TEST_CASE("a long chain of steps needs only the cores that it uses at a time", "[load]")
{
    virtual_pool pool(4, worker_size, 3);
    pool.run_for(milliseconds(200));
    // Each submission uses four cores for four seconds.
    for (int i = 0; i < 10; ++i) {
        pool.submit("a" + std::to_string(i),
                    make_submission({2, 2}, {2000, 2000, 0}, milliseconds(2000)));
        pool.run_for(milliseconds(100));
    }
    pool.run_for(milliseconds(800));
    CHECK(machines_needed(pool.current_owner().m_shard, pool.now()) * 16 <= 10 * 4 * 1.3);
}

// Guards against a queue in its turn that takes far more machines than its work needs, and so
// strips the pools of the queues whose turns come next: work that may wait for a while was to be
// done at once.
TEST_CASE("work that can wait asks for the machines that finish it by its objective", "[load]")
{
    virtual_pool pool(4, worker_size, 6);
    pool.run_for(milliseconds(200));
    for (virtual_worker& worker : pool.m_workers) {
        worker.m_speed = 0.01;
    }
    // Chains of 6 s, which are on time if they end within 10.2 s.
    constexpr int submissions = 4;
    for (int i = 0; i < submissions; ++i) {
        pool.submit("a" + std::to_string(i),
                    make_submission({4, 4, 4}, {2000, 2000, 0}, milliseconds(2000)));
    }
    // The forecast of arrivals has ended, and nearly all of the work is left.
    pool.run_for(milliseconds(1400));
    const double work_cores = submissions * 12 * 2 * 2000 / (10200.0 - 1400);
    const double needed = machines_needed(pool.current_owner().m_shard, pool.now());
    CAPTURE(needed, work_cores);
    CHECK(needed * 16 <= 1.2 * work_cores / 0.9);
    CHECK(needed * 16 >= 0.5 * work_cores);
}

// Guards against a planning cost of tasks times workers: at peak demand in a large pool each plan
// sees hundreds of submissions, most of which cannot be placed.
TEST_CASE("a plan examines a full pool of two hundred workers a bounded number of times", "[load]")
{
    virtual_pool pool(200, worker_size, 2);
    pool.run_for(milliseconds(200));
    for (int i = 0; i < 600; ++i) {
        pool.submit("a" + std::to_string(i),
                    make_submission({12}, {6000, 2000, 0}, milliseconds(60000)));
    }
    // The admitted submissions are far more than the pool can run at a time.
    pool.run_for(milliseconds(400));
    shard& state = pool.current_owner().m_shard;
    REQUIRE(state.m_open_submissions.size() > 100);
    const std::uint64_t before = state.m_candidates;
    constexpr std::uint64_t plans = 50;
    for (std::uint64_t i = 0; i < plans; ++i) {
        plan(state, pool.now(), wall_time(milliseconds(1700000000000)));
    }
    // All workers are examined for the first task that cannot be placed, but not for later ones.
    CHECK(state.m_candidates - before <= plans * 5 * 200);
}

// Demand has begun, and three times as many machines as the pool has are being moved to it.
// Admission has to count them.
TEST_CASE("a pool with incoming machines refuses no submission that they can serve", "[load]")
{
    const bool grows = GENERATE(false, true);
    virtual_pool pool(4, worker_size, 4);
    pool.run_for(milliseconds(200));
    int refused = 0;
    for (int i = 0; i < 80; ++i) {
        apply_instructions(pool.current_owner().m_shard, {{}, {}, false, grows ? 12U : 0U},
                           pool.now());
        const admission_result result = pool.submit(
            "a" + std::to_string(i), make_submission({8}, {2000, 2000, 0}, milliseconds(800)));
        refused += result.m_answer == admission::refused ? 1 : 0;
        pool.run_for(milliseconds(5));
    }
    CAPTURE(grows, refused);
    CHECK((refused == 0) == grows);
}

// Arrivals double every 0.7 s when demand begins, and a moved machine runs tasks after 2 s. A
// request for the current demand alone would come too late.
TEST_CASE("a queue with rising demand requests machines ahead of time", "[load]")
{
    virtual_pool pool(4, worker_size, 5);
    pool.run_for(milliseconds(200));
    double needed_early = 0;
    double per_second = 2;
    double owed = 0;
    int number = 0;
    for (int i = 0; i < 200; ++i) {
        per_second *= 1.01;
        owed += per_second * 0.01;
        while (owed >= 1) {
            owed -= 1;
            pool.submit("a" + std::to_string(number++),
                        make_submission({4}, {2000, 2000, 0}, milliseconds(800)));
        }
        pool.run_for(milliseconds(10));
        needed_early = machines_needed(pool.current_owner().m_shard, pool.now());
    }
    // Demand of the arrival rate reached after two seconds, in machines of 16 cores.
    const double later = per_second * 4 * 2 * 0.8 / 16;
    CHECK(needed_early >= later);
    // At a steady rate the forecast stays close to the actual demand.
    pool.run_for(milliseconds(20000));
    for (int i = 0; i < 60; ++i) {
        pool.submit("b" + std::to_string(i),
                    make_submission({4}, {2000, 2000, 0}, milliseconds(800)));
        pool.run_for(milliseconds(100));
    }
    CHECK(machines_needed(pool.current_owner().m_shard, pool.now()) <= 2.5 * 10 * 4 * 2 * 0.8 / 16);
}

} // namespace guavabay
