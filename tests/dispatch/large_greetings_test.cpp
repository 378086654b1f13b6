#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "dispatch/peer_table.h"

namespace guavabay {

namespace {

constexpr time_point start{seconds(100)};

/// Hosts greet so many peers in each round, and name so many others in a greeting.
constexpr milliseconds greeting_interval{500};
constexpr std::size_t greetings_per_round = 8;
constexpr std::size_t addresses_per_greeting = 16;

std::string address_of(std::size_t host)
{
    return "10.0.0." + std::to_string(host) + ":70";
}

/// Hosts that greet each other in virtual time. Each knows three seeds at first, and the store
/// names none.
class greeting_fleet {
public:
    explicit greeting_fleet(std::size_t hosts)
    {
        for (std::size_t host = 0; host < hosts; ++host) {
            peer_table table;
            table.m_own_address = address_of(host);
            for (std::size_t seed = 0; seed < 3; ++seed) {
                table.m_seeds.push_back(address_of(seed));
                add_peer(table, address_of(seed), m_now);
            }
            m_tables.push_back(std::move(table));
            m_indexes[address_of(host)] = host;
        }
    }

    /// Lets the hosts greet each other for a time.
    void run_for(milliseconds length)
    {
        for (milliseconds passed{0}; passed < length; passed += greeting_interval) {
            for (std::size_t host = 0; host < m_tables.size(); ++host) {
                if (!m_stopped.contains(host)) {
                    greet(host);
                }
            }
            m_now += greeting_interval;
            ++m_round;
        }
    }

    void stop(std::size_t host) { m_stopped.insert(host); }

    /// Number of running hosts that know a host.
    [[nodiscard]] std::size_t count_knowing(std::size_t known) const
    {
        std::size_t count = 0;
        for (std::size_t host = 0; host < m_tables.size(); ++host) {
            count += !m_stopped.contains(host) && m_tables[host].m_peers.contains(address_of(known))
                         ? 1
                         : 0;
        }
        return count;
    }

private:
    void greet(std::size_t sender)
    {
        remove_stale_peers(m_tables[sender], {}, m_now);
        const std::vector<std::string> named =
            select_peers_to_announce(m_tables[sender], addresses_per_greeting, m_round, m_now);
        CHECK(named.size() <= addresses_per_greeting);
        for (const std::string& address :
             select_peers(m_tables[sender], greetings_per_round, m_round)) {
            const std::size_t receiver = m_indexes.at(address);
            if (m_stopped.contains(receiver)) {
                continue;
            }
            peer_table& table = m_tables[receiver];
            add_peer(table, m_tables[sender].m_own_address, m_now);
            record_store_report(table, m_tables[sender].m_own_address, true, m_now);
            for (const std::string& other : named) {
                add_peer(table, other, m_now);
            }
        }
    }

    std::vector<peer_table> m_tables;
    std::map<std::string, std::size_t> m_indexes; ///< Of hosts by address.
    std::set<std::size_t> m_stopped;
    time_point m_now = start;
    std::uint64_t m_round = 0;
};

} // namespace

// Guards against greetings that grow with the fleet, and against short ones that leave hosts
// unknown to each other.
TEST_CASE("hosts of a large fleet find each other by short greetings", "[large_greetings]")
{
    const std::size_t hosts = GENERATE(7, 44, 147);
    greeting_fleet fleet(hosts);
    fleet.run_for(seconds(20));
    for (std::size_t host = 0; host < hosts; ++host) {
        CHECK(fleet.count_knowing(host) == hosts - 1);
    }
}

// Guards against the address of a host that has left being passed around among the others.
TEST_CASE("a host that has left is forgotten by a large fleet", "[large_greetings]")
{
    const std::size_t hosts = GENERATE(7, 44, 147);
    greeting_fleet fleet(hosts);
    fleet.run_for(seconds(20));
    const std::size_t leaving = hosts - 1;
    REQUIRE(fleet.count_knowing(leaving) == hosts - 1);
    fleet.stop(leaving);
    fleet.run_for(seconds(60));
    CHECK(fleet.count_knowing(leaving) == 0);
}

} // namespace guavabay
