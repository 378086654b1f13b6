#include <catch2/catch.hpp>
#include <set>

#include "dispatch/worker_relays.h"

namespace guavabay {

namespace {

const host_id self("h0");

host_record make_host(int number, const std::string& zone, double capacity)
{
    const host_id host("h" + std::to_string(number));
    return {host, 1, "10.0.0." + std::to_string(number) + ":70", zone_id(zone), false, capacity};
}

/// Hosts h0 to h9: even ones in zone a, odd ones in zone b.
std::map<host_id, host_record> make_members()
{
    std::map<host_id, host_record> members;
    for (int i = 0; i < 10; ++i) {
        const host_record host = make_host(i, i % 2 == 0 ? "a" : "b", 0.125);
        members[host.m_host] = host;
    }
    return members;
}

worker_id worker_name(int number)
{
    return worker_id("w" + std::to_string(number));
}

const time_point start{seconds(100)};

} // namespace

TEST_CASE("a relay is in the worker's zone and neither the owner nor another owner",
          "[worker_relays]")
{
    const auto members = make_members();
    const std::map<service_id, owner_record> owners{
        {service_id("s"), {members.at(host_id("h2")), revision(1)}}};
    worker_relays relays;
    std::set<std::string> used;
    for (int i = 0; i < 200; ++i) {
        const auto relay =
            select_relay(relays, worker_name(i), zone_id("a"), members, owners, self, start);
        REQUIRE(relay);
        used.insert(*relay);
    }
    CHECK(used == std::set<std::string>{"10.0.0.4:70", "10.0.0.6:70", "10.0.0.8:70"});
}

TEST_CASE("without a relay in the worker's zone another zone's is used", "[worker_relays]")
{
    const auto members = make_members();
    worker_relays relays;
    CHECK(select_relay(relays, worker_name(1), zone_id("c"), members, {}, self, start));
}

TEST_CASE("without an eligible host workers are called directly", "[worker_relays]")
{
    auto members = make_members();
    for (auto& [host, record] : members) {
        record.m_leaving = true;
    }
    worker_relays relays;
    CHECK_FALSE(select_relay(relays, worker_name(1), zone_id("a"), members, {}, self, start));
}

TEST_CASE("hosts relay for shares of workers in proportion to their capacities", "[worker_relays]")
{
    std::map<host_id, host_record> members;
    members[host_id("h1")] = make_host(1, "a", 0.5);
    members[host_id("h2")] = make_host(2, "a", 0.125);
    worker_relays relays;
    std::map<std::string, int> counts;
    constexpr int workers = 1000;
    for (int i = 0; i < workers; ++i) {
        ++counts[*select_relay(relays, worker_name(i), zone_id("a"), members, {}, self, start)];
    }
    CHECK(counts["10.0.0.1:70"] > workers * 7 / 10);
    CHECK(counts["10.0.0.1:70"] < workers * 9 / 10);
}

// Guards against calls that go on to a host that is frozen or cut off, each of which costs the
// time limit of a call.
TEST_CASE("a host that did not relay in time is avoided for a while", "[worker_relays]")
{
    const auto members = make_members();
    worker_relays relays;
    const auto first = select_relay(relays, worker_name(1), zone_id("a"), members, {}, self, start);
    avoid_relay(relays, *first, start);
    for (int i = 0; i < 50; ++i) {
        CHECK(select_relay(relays, worker_name(i), zone_id("a"), members, {}, self,
                           start + seconds(1)) != first);
    }
    CHECK(select_relay(relays, worker_name(1), zone_id("a"), members, {}, self,
                       start + seconds(20)) == first);
}

TEST_CASE("a departed host's workers get other relays, and all others keep theirs",
          "[worker_relays]")
{
    auto members = make_members();
    worker_relays relays;
    std::map<int, std::string> before;
    for (int i = 0; i < 100; ++i) {
        before[i] = *select_relay(relays, worker_name(i), zone_id("a"), members, {}, self, start);
    }
    members.erase(host_id("h4"));
    for (int i = 0; i < 100; ++i) {
        const auto now = select_relay(relays, worker_name(i), zone_id("a"), members, {}, self,
                                      start + seconds(1));
        REQUIRE(now);
        CHECK((*now == before[i]) == (before[i] != "10.0.0.4:70"));
    }
}

// A restarted host may have another address.
TEST_CASE("a relay that returns at another address is called there", "[worker_relays]")
{
    std::map<host_id, host_record> members;
    members[host_id("h1")] = make_host(1, "a", 1);
    worker_relays relays;
    select_relay(relays, worker_name(1), zone_id("a"), members, {}, self, start);
    members[host_id("h1")].m_peer_address = "10.0.0.99:70";
    CHECK(select_relay(relays, worker_name(1), zone_id("a"), members, {}, self, start) ==
          "10.0.0.99:70");
}

} // namespace guavabay
