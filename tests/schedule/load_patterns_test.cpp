#include <catch2/catch.hpp>

#include "fleet/pool_moves.h"
#include "support/virtual_pool.h"

namespace guavabay {

namespace {

constexpr resources worker_size{16000, 32768, 0};

/// Submissions that arrive at a rate of work; gives how many were done within their objective.
struct load_result {
    int m_asked = 0;
    int m_on_time = 0;
    int m_done = 0;
};

load_result play_overload(std::uint64_t seed, double load, milliseconds length)
{
    virtual_pool pool(4, worker_size, seed);
    pool.m_duration_noise = 0.2;
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
            const std::string id = "a" + std::to_string(result.m_asked++);
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
    CHECK(pool.broken().empty());
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

// Half of the demand does not fit. First come first served finishes nearly everything late; the
// largest submissions have to step back so that most callers are served on time.
TEST_CASE("a queue that asks for twice its pool's cores", "[load]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    const load_result result = play_overload(seed, 2, milliseconds(4000));
    CAPTURE(seed, result.m_asked, result.m_on_time, result.m_done);
    CHECK(result.m_on_time * 10 >= result.m_asked * 5);
}

TEST_CASE("a queue that asks for what its pool holds", "[load]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    const load_result result = play_overload(seed, 0.75, milliseconds(4000));
    CAPTURE(seed, result.m_asked, result.m_on_time, result.m_done);
    CHECK(result.m_on_time * 100 >= result.m_asked * 97);
}

// One queue in its turn asks for far more than its pool holds, while the others are idle.
TEST_CASE("machines go to the pool whose queue has its turn", "[load]")
{
    std::vector<machine_listing> listings;
    std::map<service_id, pool_load> loads;
    int number = 0;
    for (const std::string pool : {"busy", "idle", "spare"}) {
        for (int i = 0; i < 6; ++i) {
            listings.push_back(machine(number, pool));
            if (pool != "spare") {
                loads[service_id(pool)].m_machines[machine_id("m" + std::to_string(number))] = {
                    pool == "busy" ? 5U : 0U, i < 2};
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
    // A round begins eight moves at most in so small a fleet.
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

    SECTION("what is under way is not asked for again")
    {
        choose_moves(state, listings, loads, standby, {}, now);
        CHECK(state.m_moves.size() == 9);
    }
    SECTION("a machine with a lasting task stays")
    {
        CHECK_FALSE(state.m_moves.contains(machine_id("m6")));
        CHECK_FALSE(state.m_moves.contains(machine_id("m7")));
    }
    SECTION("after the turn the surplus goes to the standby pool")
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
                loads[service_id("busy")].m_machines[listing.m_machine] = {0, false};
            }
        }
        choose_moves(state, listings, loads, standby, {}, now);
        CHECK(state.m_moves.empty());
        now += seconds(3);
        choose_moves(state, listings, loads, standby, {}, now);
        choose_moves(state, listings, loads, standby, {}, now);
        CHECK(state.m_moves.size() == 9);
        for (const auto& [id, move] : state.m_moves) {
            CHECK(move.m_to == service_id("spare"));
        }
    }
    SECTION("a machine that a wave holds stays")
    {
        move_state other;
        update_moves(other, listings, now);
        const std::set<machine_id> in_wave{machine_id("m12"), machine_id("m13")};
        choose_moves(other, listings, loads, standby, in_wave, now);
        choose_moves(other, listings, loads, standby, in_wave, now);
        CHECK_FALSE(other.m_moves.contains(machine_id("m12")));
        // Four from the standby pool, and the four free ones of the idle pool but for its reserve.
        CHECK_FALSE(other.m_moves.contains(machine_id("m13")));
        CHECK(other.m_moves.size() == 4 + 4);
    }
}

// The turn of one queue ends with much left to do while another one's begins in a small pool.
TEST_CASE("pools that lack machines get them by the share that they lack", "[load]")
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
                    5U, false};
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

// Tasks of a long chain that are all under way keep their machines busy for the length of the
// chain; they do not have to be done within a second.
TEST_CASE("a long chain of steps asks for what it uses at a time", "[load]")
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
    CHECK(machines_needed(pool.newest().m_shard, pool.now()) * 16 <= 10 * 4 * 1.3);
}

// The peak of a turn at the size of a grown pool: each plan looks at a queue of hundreds of
// submissions, most of which find no room.
TEST_CASE("a crowded pool of two hundred workers is looked through once a plan", "[load]")
{
    virtual_pool pool(200, worker_size, 2);
    pool.run_for(milliseconds(200));
    for (int i = 0; i < 600; ++i) {
        pool.submit("a" + std::to_string(i),
                    make_submission({12}, {6000, 2000, 0}, milliseconds(60000)));
    }
    // Nothing is refused here for lack of time: the estimates are corrected before.
    pool.run_for(milliseconds(400));
    shard& state = pool.newest().m_shard;
    REQUIRE(state.m_open.size() > 100);
    const std::uint64_t before = state.m_candidates;
    constexpr std::uint64_t plans = 50;
    for (std::uint64_t i = 0; i < plans; ++i) {
        plan(state, pool.now(), wall_time(milliseconds(1700000000000)));
    }
    // Every worker is looked at for the first task that finds no room, not for each of them.
    CHECK(state.m_candidates - before <= plans * 5 * 200);
}

// The turn of a queue has begun, and three times its pool is on the way to it.
TEST_CASE("a pool that grows refuses less than one that stays as it is", "[load]")
{
    const bool grows = GENERATE(false, true);
    virtual_pool pool(4, worker_size, 4);
    pool.run_for(milliseconds(200));
    int refused = 0;
    for (int i = 0; i < 80; ++i) {
        take_instructions(pool.newest().m_shard, {{}, {}, false, grows ? 12U : 0U}, pool.now());
        const admission_result result = pool.submit(
            "a" + std::to_string(i), make_submission({8}, {2000, 2000, 0}, milliseconds(800)));
        refused += result.m_answer == admission::refused ? 1 : 0;
        pool.run_for(milliseconds(5));
    }
    CAPTURE(grows, refused);
    CHECK((refused == 0) == grows);
}

// Arrivals double every 0.7 s at the beginning of a turn, and a moved machine works after 2 s.
TEST_CASE("a rising queue asks for machines before it needs them", "[load]")
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
        needed_early = machines_needed(pool.newest().m_shard, pool.now());
    }
    // Cores of the arrivals two seconds later, in machines of 16 cores.
    const double later = per_second * 4 * 2 * 0.8 / 16;
    CHECK(needed_early >= later);
    // A steady rate asks for no multiple of itself.
    pool.run_for(milliseconds(20000));
    for (int i = 0; i < 60; ++i) {
        pool.submit("b" + std::to_string(i),
                    make_submission({4}, {2000, 2000, 0}, milliseconds(800)));
        pool.run_for(milliseconds(100));
    }
    CHECK(machines_needed(pool.newest().m_shard, pool.now()) <= 2.5 * 10 * 4 * 2 * 0.8 / 16);
}

} // namespace guavabay
