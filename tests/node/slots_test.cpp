#include <catch2/catch.hpp>

#include "support/virtual_hosts.h"

using namespace guavabay;
using namespace guavabay::test;

namespace {

/// Nine hosts, a contract, and endpoints in three zones.
struct slot_bench {
    explicit slot_bench(std::uint64_t seed, const std::string& changes = "{}") : m_hosts(9, seed)
    {
        m_hosts.run_for(seconds(5));
        for (int i = 1; i <= 6; ++i) {
            m_hosts.list_endpoint("s", "e" + std::to_string(i),
                                  "z" + std::to_string((i - 1) % 3 + 1), 8);
        }
        m_hosts.apply("h1", make_contract("a", "s", changes), "op1");
        m_hosts.run_for(seconds(2));
    }

    /// Asks from every host in turn and gives slots back after a random run time.
    void load(int requests, duration gap)
    {
        for (int i = 0; i < requests; ++i) {
            const std::vector<std::string> names = m_hosts.running();
            const std::string& name = names[m_random() % names.size()];
            m_open.push_back({name, m_hosts.want(name, "a", "s"), {}});
            step_for(gap);
        }
    }

    /// Lets time pass and ends runs whose time has come.
    void step_for(duration length)
    {
        m_hosts.run_for(length);
        std::erase_if(m_open, [this](open_request& one) {
            if (m_hosts.refusal(one.m_id)) {
                m_refusals[*m_hosts.refusal(one.m_id)]++;
                return true;
            }
            if (!m_hosts.granted(one.m_id)) {
                return false;
            }
            if (one.m_ends == time_point{}) {
                one.m_ends = m_hosts.now() + milliseconds(20 + m_random() % 60);
                ++m_granted;
            }
            if (m_hosts.now() < one.m_ends) {
                return false;
            }
            m_hosts.finish(one.m_host, one.m_id, slot_outcome::answered, milliseconds(50));
            return true;
        });
    }

    struct open_request {
        std::string m_host;
        request_id m_id;
        time_point m_ends;
    };

    virtual_hosts m_hosts;
    std::mt19937_64 m_random{5};
    std::vector<open_request> m_open;
    std::map<error_kind, int> m_refusals;
    int m_granted = 0;
};

std::string owner_of(virtual_hosts& hosts, const std::string& service)
{
    for (const std::string& name : hosts.running()) {
        if (hosts.node(name).m_brokers.contains(service_id(service))) {
            return name;
        }
    }
    return {};
}

} // namespace

TEST_CASE("nine hosts never overfill a slot while no packet is lost")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        slot_bench bench(seed);
        bench.load(2000, microseconds(700));
        for (int i = 0; i < 40; ++i) {
            bench.step_for(milliseconds(100));
        }
        CHECK(bench.m_hosts.m_most_overfilled == 0);
        CHECK(bench.m_granted == 2000);
        CHECK(bench.m_open.empty());
    }
}

TEST_CASE("lost and repeated packets neither lose a slot nor leave a request without an answer")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        slot_bench bench(seed);
        bench.m_hosts.m_loss = 0.1;
        bench.m_hosts.m_repeat = 0.1;
        bench.load(1000, milliseconds(2));
        for (int i = 0; i < 100; ++i) {
            bench.step_for(milliseconds(100));
        }
        CHECK(bench.m_open.empty());
        bench.m_hosts.m_loss = 0;
        bench.m_hosts.run_for(seconds(10));
        const std::string owner = owner_of(bench.m_hosts, "s");
        const slot_broker& broker = bench.m_hosts.node(owner).m_brokers.at(service_id("s"));
        CHECK(broker.m_granted.empty());
        CHECK(broker.m_queue.size() == 0);
    }
}

TEST_CASE("when the owner of the queue is lost, waiting requests are served by the next")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        slot_bench bench(seed);
        bench.load(100, milliseconds(1));
        const std::string owner = owner_of(bench.m_hosts, "s");
        REQUIRE_FALSE(owner.empty());
        bench.m_hosts.kill(owner);
        std::erase_if(bench.m_open, [&](const auto& one) { return one.m_host == owner; });
        bench.m_refusals.clear();
        bench.load(100, milliseconds(1));
        for (int i = 0; i < 40; ++i) {
            bench.step_for(milliseconds(100));
        }
        CHECK(bench.m_open.empty());
        CHECK(bench.m_refusals.empty());
        CHECK(bench.m_hosts.m_most_overfilled == 0);
    }
}

TEST_CASE("a frozen owner that goes on grants nothing before it has asked who holds what")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        slot_bench bench(seed);
        bench.load(100, milliseconds(1));
        const std::string owner = owner_of(bench.m_hosts, "s");
        bench.m_hosts.freeze(owner);
        std::erase_if(bench.m_open, [&](const auto& one) { return one.m_host == owner; });
        bench.load(300, milliseconds(10));
        bench.m_hosts.thaw(owner);
        bench.load(300, milliseconds(2));
        CHECK(bench.m_hosts.m_most_overfilled <= 8);
        for (int i = 0; i < 80; ++i) {
            bench.step_for(milliseconds(100));
        }
        CHECK(bench.m_open.empty());
    }
}

TEST_CASE("a planned stop hands the queue over and cuts off nothing")
{
    slot_bench bench(1);
    bench.load(200, milliseconds(1));
    const std::string owner = owner_of(bench.m_hosts, "s");
    bench.m_hosts.stop(owner);
    for (int i = 0; i < 50; ++i) {
        bench.step_for(milliseconds(100));
    }
    CHECK(bench.m_open.empty());
    CHECK(bench.m_refusals.empty());
    CHECK(owner_of(bench.m_hosts, "s") != owner);
}

TEST_CASE("a customer's concurrency holds across all hosts together")
{
    slot_bench bench(1, R"({"concurrency":5})");
    for (int i = 0; i < 30; ++i) {
        for (const std::string& name : bench.m_hosts.running()) {
            bench.m_open.push_back({name, bench.m_hosts.want(name, "a", "s"), {}});
        }
        bench.step_for(milliseconds(10));
        std::size_t active = 0;
        for (const std::string& name : bench.m_hosts.running()) {
            active += bench.m_hosts.node(name).m_active.size();
        }
        REQUIRE(active <= 5);
    }
}

TEST_CASE("an endpoint that is listed as leaving gets no new work within a few seconds")
{
    slot_bench bench(3);
    bench.load(100, milliseconds(1));
    bench.m_hosts.list_endpoint("s", "e1", "z1", 8, true);
    bench.step_for(seconds(3));
    for (int i = 0; i < 300; ++i) {
        bench.load(1, milliseconds(1));
        for (const std::string& name : bench.m_hosts.running()) {
            for (const auto& [id, slot] : bench.m_hosts.node(name).m_active) {
                REQUIRE(slot.m_endpoint != endpoint_id("e1"));
            }
        }
    }
}
