#include <catch2/catch.hpp>

#include "fleet/wave_report.h"

namespace guavabay {

namespace {

/// A wave of 30 machines that has 20 s, and the fleet that it is in.
struct reported_wave {
    reported_wave()
    {
        m_wave.m_wave.m_number = 7;
        m_wave.m_wave.m_duration = milliseconds(20000);
        m_wave.m_first_seen_at = m_start;
        for (int i = 0; i < 30; ++i) {
            machine_listing listing;
            listing.m_machine = machine_id("m" + std::to_string(i));
            listing.m_pool = service_id("s");
            listing.m_state = machine_state::up;
            m_listings.push_back(listing);
            m_wave.m_machines[listing.m_machine].m_order_accepted = i > 1;
        }
    }

    std::vector<std::string> at(milliseconds since_start)
    {
        return report_wave(m_wave, {m_listings, m_loads, m_empty_machines, m_moves},
                           m_start + since_start);
    }

    time_point m_start{seconds(50)};
    upkeep_progress m_wave;
    std::vector<machine_listing> m_listings;
    std::map<service_id, pool_load> m_loads;
    std::set<machine_id> m_empty_machines;
    std::map<machine_id, pending_move> m_moves;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("the progress of a wave is reported each second", "[wave_report]")
{
    reported_wave given;
    const std::vector<std::string> texts = given.at(milliseconds(0));
    REQUIRE(texts.size() == 1);
    CHECK(contains(texts[0], "wave=7 begun=28 of=30 waiting=30 left_ms=20000"));
    CHECK(given.at(milliseconds(900)).empty());
    CHECK(given.at(milliseconds(1000)).size() == 1);
    for (auto& [id, machine] : given.m_wave.m_machines) {
        machine.m_order_accepted = true;
    }
    CHECK(given.at(milliseconds(2000)).empty());
}

// Guards against a wave that is late for a reason that no log tells.
TEST_CASE("machines that wait are explained before the deadline of their wave and at it",
          "[wave_report]")
{
    reported_wave given;
    given.m_loads[service_id("s")].m_machines[machine_id("m0")] = {3, true, milliseconds(700)};
    given.m_moves[machine_id("m1")].m_to = service_id("t");
    given.m_moves[machine_id("m1")].m_since = given.m_start + milliseconds(14900);
    CHECK(given.at(milliseconds(14900)).size() == 1);
    const std::vector<std::string> before = given.at(milliseconds(15000));
    REQUIRE(before.size() == 2);
    CHECK(contains(before[0], "machine=m0 phase=waiting listed=up pool=s"));
    CHECK(contains(before[0], "runs=3 long_running=yes busy_ms=700"));
    CHECK(contains(before[1], "owner_knows=no moves_to=t move_ms=100"));
    given.m_listings.erase(given.m_listings.begin());
    CHECK(given.at(milliseconds(19900)).size() == 1);
    const std::vector<std::string> late = given.at(milliseconds(20000));
    REQUIRE(late.size() == 2);
    CHECK(contains(late[0], "machine=m0 phase=waiting listed=no"));
    CHECK(given.at(milliseconds(20100)).empty());
}

TEST_CASE("a report on waiting machines is bounded", "[wave_report]")
{
    reported_wave given;
    for (auto& [id, machine] : given.m_wave.m_machines) {
        machine.m_order_accepted = false;
    }
    const std::vector<std::string> texts = given.at(milliseconds(16000));
    REQUIRE(texts.size() == 26);
    CHECK(contains(texts.back(), "machines=6"));
}

} // namespace guavabay
