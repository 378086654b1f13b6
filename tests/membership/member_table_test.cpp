#include <catch2/catch.hpp>

#include "membership/member_table.h"

using namespace guavabay;

namespace {

member make_member(const std::string& host, std::uint64_t run,
                   member_phase phase = member_phase::serving, std::uint32_t version = 1)
{
    member one;
    one.m_host = host_id(host);
    one.m_zone = zone_id("z1");
    one.m_incarnation = incarnation(run);
    one.m_phase = phase;
    one.m_phase_version = version;
    return one;
}

constexpr time_point start{seconds(100)};

} // namespace

TEST_CASE("a later process of a host replaces the earlier one and never the other way")
{
    member_table table(make_member("h1", 1), start);
    CHECK(table.merge(make_member("h2", 5), start));
    CHECK_FALSE(table.merge(make_member("h2", 4), start));
    CHECK(table.merge(make_member("h2", 6), start));
    CHECK(table.find(host_id("h2"))->m_member.m_incarnation == incarnation(6));
}

TEST_CASE("an older description of a phase does not undo a newer one")
{
    member_table table(make_member("h1", 1), start);
    table.merge(make_member("h2", 5, member_phase::leaving, 3), start);
    CHECK_FALSE(table.merge(make_member("h2", 5, member_phase::serving, 2), start));
    CHECK(table.serving(start).size() == 1);
}

TEST_CASE("a member is alive while its count grows, whoever passes it on")
{
    member_table table(make_member("h1", 1), start);
    table.merge(make_member("h2", 5), start);
    const std::uint32_t tag = process_tag(host_id("h2"), incarnation(5));
    time_point now = start;
    for (std::uint32_t count = 1; count < 10; ++count) {
        now += seconds(2);
        CHECK(table.merge_liveness({tag, count}, now));
        CHECK(table.is_alive(host_id("h2"), now));
    }
    now += seconds(2);
    table.merge_liveness({tag, 9}, now);
    now += seconds(1);
    CHECK_FALSE(table.is_alive(host_id("h2"), now));
    CHECK_FALSE(table.merge_liveness({process_tag(host_id("h2"), incarnation(6)), 1}, now));
}

TEST_CASE("a suspicion is cleared by any sign of life")
{
    member_table table(make_member("h1", 1, member_phase::joining), start);
    table.merge(make_member("h2", 5), start);
    table.suspect(host_id("h2"));
    CHECK(table.serving(start).empty());
    table.heard_from(host_id("h2"), incarnation(4), start);
    CHECK(table.serving(start).empty());
    table.heard_from(host_id("h2"), incarnation(5), start);
    CHECK(table.serving(start).size() == 1);
}

TEST_CASE("the loss of one candidate moves only the names that it owned")
{
    std::vector<host_id> hosts;
    hosts.reserve(9);
    for (int i = 0; i < 9; ++i) {
        hosts.emplace_back("h" + std::to_string(i));
    }
    std::map<std::uint64_t, host_id> owners;
    std::map<host_id, int> owned;
    for (std::uint64_t name = 0; name < 9000; ++name) {
        owners[name] = *rendezvous_owner(hosts, mix(name, 1));
        ++owned[owners[name]];
    }
    for (const auto& [host, count] : owned) {
        CHECK(count > 800);
        CHECK(count < 1200);
    }
    const host_id lost = hosts.back();
    hosts.pop_back();
    for (std::uint64_t name = 0; name < 9000; ++name) {
        const host_id owner = *rendezvous_owner(hosts, mix(name, 1));
        if (owners[name] != lost) {
            REQUIRE(owner == owners[name]);
        }
    }
}
