#include <catch2/catch.hpp>

#include "fleet/upkeep_plan.h"

namespace guavabay {

namespace {

constexpr milliseconds upkeep_time{2000};

struct wave_world {
    upkeep_progress m_wave;
    std::vector<machine_listing> m_listings;
    time_point m_now{seconds(50)};

    explicit wave_world(int machines, std::uint32_t most)
    {
        m_wave.m_wave.m_number = 1;
        m_wave.m_wave.m_max_concurrent = most;
        m_wave.m_wave.m_duration = milliseconds(20000);
        m_wave.m_seen_at = m_now;
        for (int i = 0; i < machines; ++i) {
            machine_listing listing;
            listing.m_machine = machine_id("m" + std::to_string(i));
            listing.m_pool = service_id(i % 2 == 0 ? "even" : "odd");
            listing.m_state = machine_state::up;
            m_listings.push_back(listing);
            m_wave.m_machines[listing.m_machine];
        }
    }
};

} // namespace

TEST_CASE("a wave keeps its limit and reaches every machine that stays", "[upkeep]")
{
    wave_world world(10, 3);
    std::map<machine_id, time_point> down;
    std::size_t begun = 0;
    for (int round = 0; round < 400 && !is_complete(world.m_wave); ++round) {
        world.m_now += milliseconds(100);
        for (machine_listing& listing : world.m_listings) {
            const auto since = down.find(listing.m_machine);
            if (since != down.end() && world.m_now - since->second >= upkeep_time) {
                listing.m_state = machine_state::up;
                down.erase(since);
            }
        }
        // One machine leaves for good, another is down for a while and cannot be ordered.
        if (round == 20) {
            std::erase_if(world.m_listings, [](const machine_listing& listing) {
                return listing.m_machine == machine_id("m9");
            });
        }
        update_wave(world.m_wave, world.m_listings, upkeep_time, world.m_now);
        std::set<machine_id> clear;
        for (const auto& [pool, machines] :
             machines_to_drain(world.m_wave, world.m_listings, {}, world.m_now)) {
            clear.insert(machines.begin(), machines.end());
        }
        for (const machine_id& id : machines_to_order(world.m_wave, clear, world.m_now)) {
            upkeep_machine& machine = world.m_wave.m_machines[id];
            CHECK_FALSE(machine.m_begun);
            machine.m_begun = true;
            machine.m_phase = upkeep_phase::away;
            machine.m_since = world.m_now;
            down[id] = world.m_now;
            ++begun;
            for (machine_listing& listing : world.m_listings) {
                if (listing.m_machine == id) {
                    listing.m_state = machine_state::upkeep;
                }
            }
        }
        CHECK(down.size() <= 3);
    }
    CHECK(is_complete(world.m_wave));
    CHECK(begun >= 9);
}

TEST_CASE("an order without an answer counts as carried out until it is known", "[upkeep]")
{
    wave_world world(4, 1);
    update_wave(world.m_wave, world.m_listings, upkeep_time, world.m_now);
    std::set<machine_id> clear;
    for (const auto& [pool, machines] :
         machines_to_drain(world.m_wave, world.m_listings, {}, world.m_now)) {
        clear.insert(machines.begin(), machines.end());
    }
    const auto first = machines_to_order(world.m_wave, clear, world.m_now);
    REQUIRE(first.size() == 1);
    upkeep_machine& machine = world.m_wave.m_machines[first.front()];
    machine.m_phase = upkeep_phase::ordered;
    machine.m_next_order = world.m_now + milliseconds(500);
    CHECK(machines_to_order(world.m_wave, clear, world.m_now).empty());
    CHECK_FALSE(is_complete(world.m_wave));
    const auto again = machines_to_order(world.m_wave, clear, world.m_now + milliseconds(600));
    CHECK(again == first);
}

// Before: a new holder counted only its own orders, and sent one machine too many down.
TEST_CASE("machines that a former holder may have ordered count as away", "[upkeep]")
{
    wave_world world(6, 2);
    world.m_wave.m_machines[machine_id("m0")].m_maybe_away = true;
    world.m_listings[1].m_state = machine_state::upkeep;
    update_wave(world.m_wave, world.m_listings, upkeep_time, world.m_now);
    std::set<machine_id> clear;
    for (const machine_listing& listing : world.m_listings) {
        clear.insert(listing.m_machine);
    }
    machines_to_drain(world.m_wave, world.m_listings, {}, world.m_now);
    // The order that may have been given is given again; no other fits beside the one that is down.
    CHECK(machines_to_order(world.m_wave, clear, world.m_now) ==
          std::vector<machine_id>{machine_id("m0")});
    CHECK_FALSE(is_complete(world.m_wave));
    // A machine that was down without an order of this holder is ordered again when it is back.
    world.m_listings[1].m_state = machine_state::up;
    world.m_now += milliseconds(2500);
    update_wave(world.m_wave, world.m_listings, upkeep_time, world.m_now);
    CHECK(world.m_wave.m_machines[machine_id("m1")].m_phase == upkeep_phase::waiting);
}

TEST_CASE("machines that former holders sent to upkeep are not sent again", "[upkeep]")
{
    wave_world world(2, 2);
    upkeep_machine& done = world.m_wave.m_machines[machine_id("m0")];
    done.m_begun = true;
    done.m_phase = upkeep_phase::away;
    done.m_since = world.m_now;
    for (int i = 0; i < 40; ++i) {
        world.m_now += milliseconds(100);
        update_wave(world.m_wave, world.m_listings, upkeep_time, world.m_now);
        for (const auto& [pool, machines] :
             machines_to_drain(world.m_wave, world.m_listings, {}, world.m_now)) {
            for (const machine_id& id :
                 machines_to_order(world.m_wave, {machines.begin(), machines.end()}, world.m_now)) {
                CHECK(id == machine_id("m1"));
            }
        }
    }
}

} // namespace guavabay
