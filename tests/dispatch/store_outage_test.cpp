#include <catch2/catch.hpp>

#include "dispatch/peer_table.h"

namespace guavabay {

namespace {

constexpr time_point start{seconds(100)};

/// Messages with which hosts greet each other: so many peers in each round.
constexpr milliseconds greeting_interval{500};
constexpr std::size_t greetings_per_round = 8;

/// An owner's lease ends this long after the store has stopped to answer. Then it has to know
/// whether another host can take over.
constexpr milliseconds lease_time{1600};

std::string address_of(std::size_t host)
{
    return "10.0.0." + std::to_string(host) + ":70";
}

/// A host that knows all others and has heard from none of them.
peer_table make_table(std::size_t self, std::size_t hosts)
{
    peer_table table;
    table.m_own_address = address_of(self);
    for (std::size_t host = 0; host < hosts; ++host) {
        add_peer(table, address_of(host), start);
    }
    return table;
}

/// Lets the hosts greet each other, and the first one ask its peers, until its lease ends. The
/// store answers the hosts from `served_from` on.
peer_table run_outage(std::size_t hosts, std::size_t served_from)
{
    std::vector<peer_table> tables;
    for (std::size_t host = 0; host < hosts; ++host) {
        tables.push_back(make_table(host, hosts));
    }
    peer_table& owner = tables.front();
    std::uint64_t turn = 0;
    for (milliseconds passed{0}; passed <= lease_time; passed += milliseconds(100)) {
        const time_point now = start + passed;
        if (passed % greeting_interval == milliseconds(0)) {
            for (std::size_t host = 1; host < hosts; ++host) {
                const auto peers = select_peers(tables[host], greetings_per_round, turn + host);
                if (std::find(peers.begin(), peers.end(), owner.m_own_address) != peers.end()) {
                    record_store_report(owner, address_of(host), host >= served_from, now);
                }
            }
            ++turn;
        }
        for (const std::string& peer : select_peers_to_ask(owner, now)) {
            for (std::size_t host = 1; host < hosts; ++host) {
                if (peer == address_of(host)) {
                    record_store_report(owner, peer, host >= served_from, now);
                }
            }
        }
    }
    return owner;
}

} // namespace

// Guards against owners of a large fleet that stop starting work, and whose workers' leases end,
// although nobody can take over: greetings reach an owner from a minority of the hosts in the time
// for which a report counts.
TEST_CASE("an owner of a large fleet knows at the end of its lease that the store serves no host",
          "[store_outage]")
{
    const std::size_t hosts = GENERATE(7, 44, 147, 500);
    const peer_table owner = run_outage(hosts, hosts);
    CHECK(is_store_unreachable_for_majority(owner, hosts, start + lease_time));
}

TEST_CASE("an owner does not go on when the store serves a single other host", "[store_outage]")
{
    const std::size_t hosts = GENERATE(7, 44, 147, 500);
    const peer_table owner = run_outage(hosts, hosts - 1);
    CHECK_FALSE(is_store_unreachable_for_majority(owner, hosts, start + lease_time));
}

// Guards against an owner that goes on beyond its lease because of hosts that it has just
// learned of and never heard from.
TEST_CASE("peers that were never heard from do not tell that the store is away", "[store_outage]")
{
    const peer_table owner = make_table(0, 147);
    CHECK_FALSE(is_store_unreachable_for_majority(owner, 147, start));
}

TEST_CASE("peers with a fresh report are not asked again", "[store_outage]")
{
    peer_table owner = make_table(0, 4);
    CHECK(select_peers_to_ask(owner, start).size() == 3);
    record_store_report(owner, address_of(1), true, start);
    CHECK(select_peers_to_ask(owner, start).size() == 2);
    CHECK(select_peers_to_ask(owner, start + milliseconds(400)).size() == 3);
}

} // namespace guavabay
