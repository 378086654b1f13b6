#include <catch2/catch.hpp>

#include "support/virtual_hosts.h"

using namespace guavabay;
using namespace guavabay::test;

namespace {

/// The fewest members that any host holds to be serving.
std::size_t fewest_serving(virtual_hosts& hosts)
{
    std::size_t fewest = hosts.running().size();
    for (const std::string& name : hosts.running()) {
        fewest = std::min(fewest, hosts.node(name).m_members.serving(hosts.now()).size());
    }
    return fewest;
}

} // namespace

TEST_CASE("hosts that replace all others at other addresses find each other by the store")
{
    virtual_hosts hosts(3);
    hosts.run_for(seconds(5));
    for (const char* name : {"h1", "h2", "h3"}) {
        hosts.kill(name);
    }
    for (const char* name : {"h4", "h5", "h6"}) {
        hosts.start(name, "z" + std::to_string(name[1] - '3'));
    }
    hosts.run_for(seconds(8));
    for (const char* name : {"h4", "h5", "h6"}) {
        CHECK(hosts.node(name).m_members.serving(hosts.now()).size() == 3);
    }
}

TEST_CASE("each of 64 hosts holds all others to be alive, also when packets are lost")
{
    for (const double loss : {0.0, 0.02}) {
        virtual_hosts hosts(64, 3);
        hosts.run_for(seconds(20));
        hosts.m_loss = loss;
        for (int second = 0; second < 20; ++second) {
            hosts.run_for(seconds(1));
            REQUIRE(fewest_serving(hosts) == 64);
        }
    }
}

TEST_CASE("a host that is gone is noticed by all of 64 hosts within the silence limit and a round")
{
    virtual_hosts hosts(64, 4);
    hosts.run_for(seconds(20));
    hosts.kill("h7");
    hosts.run_for(member_silence_limit + seconds(3));
    for (const std::string& name : hosts.running()) {
        CHECK_FALSE(hosts.node(name).m_members.is_alive(host_id("h7"), hosts.now()));
    }
}
