#include <catch2/catch.hpp>

#include "support/virtual_workers.h"

using namespace guavabay;
using namespace guavabay::test;

namespace {

/// A fleet with work, of whose duty's holder one write is held back on its way to the store.
struct fencing_bench {
    explicit fencing_bench(std::uint64_t seed)
        : m_hosts(3, seed), m_platform(m_hosts), m_workers(m_hosts, m_platform)
    {
        m_hosts.run_for(seconds(5));
        m_platform.add_pool("conversion", 8);
        m_hosts.apply("h1",
                      make_contract("a", "s",
                                    R"({"tasks":{"running":40,"cpu_millis":100000,)"
                                    R"("memory_mb":100000,"accelerators":0}})"),
                      "op1");
        m_workers.run_for(seconds(5));
    }

    /// Holds back the next write under a prefix, and notes who sent it.
    void hold_next(const std::string& prefix)
    {
        m_hosts.m_fate = [this, prefix](const std::string& host, const store_call& call) {
            const auto* swap = std::get_if<store_swap>(&call.m_operation);
            if (swap == nullptr || !swap->m_key.starts_with(prefix) || m_held) {
                return m_held && host == m_holder ? store_fate::dropped : store_fate::answered;
            }
            m_held = call;
            m_holder = host;
            return store_fate::dropped;
        };
    }

    /// Ends the holder, waits until another has taken the duty, and lets the write arrive at that
    /// moment. Gives what the store answers.
    store_outcome deliver_late(const std::string& duty_key)
    {
        REQUIRE(m_held);
        const revision before = m_hosts.m_store.get(duty_key).m_revision;
        m_hosts.kill(m_holder);
        REQUIRE(m_hosts.run_until([&] { return m_hosts.m_store.get(duty_key).m_revision > before; },
                                  seconds(20)));
        return m_hosts.m_store.call(*m_held).m_outcome;
    }

    virtual_hosts m_hosts;
    virtual_platform m_platform;
    virtual_workers m_workers;
    std::optional<store_call> m_held;
    std::string m_holder;
};

} // namespace

TEST_CASE("a late write of a former holder changes no host of the fleet")
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fencing_bench bench(seed);
        bench.hold_next("host/");
        for (const std::string& name : bench.m_hosts.running()) {
            bench.m_hosts.fleet_call(name, operator_verb::wave_start, R"({"number":1,"spare":""})",
                                     "", false);
        }
        bench.m_workers.run_for(seconds(2));
        CHECK(bench.deliver_late("duty/fleet") == store_outcome::refused);
    }
}

TEST_CASE("a late write of a former holder starts no task and takes no part of a quota")
{
    for (const std::string prefix : {"~pool/conversion/task/", "~quota/"}) {
        fencing_bench bench(1);
        for (int i = 0; i < 3; ++i) {
            call_task(bench.m_hosts, "h1", operator_verb::task_submit, "conversion",
                      "t" + std::to_string(i),
                      R"({"customer":"a","kind":"k","cpu_millis":1000,"memory_mb":100})");
            bench.m_hosts.run_for(milliseconds(5));
        }
        bench.hold_next(prefix);
        bench.m_workers.run_for(seconds(2));
        CHECK(bench.deliver_late("duty/tasks/conversion") == store_outcome::refused);
    }
}
