#include <catch2/catch.hpp>
#include <random>

#include "fleet/quota_share.h"

using namespace guavabay;

namespace {

constexpr quota_amount grant{12, {12'000, 12'000, 4}};

/// Three pools that share one quota, each with a random load, and reallocate it in random order.
struct quota_pools {
    explicit quota_pools(std::uint64_t seed) : m_random(seed) {}

    /// Lets a random pool receive, end and start tasks, then recomputes its allocation.
    void step()
    {
        const std::string name = "p" + std::to_string(m_random() % 3);
        const pool_id pool(name);
        pool_work& work = m_work[pool];
        const auto found = m_record.m_allocated.find(pool);
        const quota_amount allocated =
            found == m_record.m_allocated.end() ? quota_amount{} : found->second;
        work.m_waiting = std::min<std::uint32_t>(work.m_waiting + m_random() % 4, 20);
        work.m_running -= static_cast<std::uint32_t>(m_random() % (work.m_running + 1));
        while (work.m_waiting > 0 && work.m_running < allocated.m_running) {
            ++work.m_running;
            --work.m_waiting;
        }
        m_record = reallocate_quota(m_record,
                                    {pool, grant, amount(work.m_running), amount(work.m_waiting),
                                     amount(work.m_waiting > 0 ? 1 : 0)},
                                    {pool_id("p0"), pool_id("p1"), pool_id("p2")});
    }

    static quota_amount amount(std::uint32_t tasks)
    {
        const std::int64_t amount = std::int64_t{tasks} * 1000;
        return {tasks, {amount, amount, 0}};
    }

    [[nodiscard]] std::uint32_t allocated() const
    {
        std::uint32_t total = 0;
        for (const auto& [pool, part] : m_record.m_allocated) {
            total += part.m_running;
        }
        return total;
    }

    struct pool_work {
        std::uint32_t m_running = 0;
        std::uint32_t m_waiting = 0;
    };

    std::mt19937_64 m_random;
    quota_record m_record;
    std::map<pool_id, pool_work> m_work;
};

} // namespace

TEST_CASE("the allocated total of a quota never exceeds the contract's grant")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        quota_pools pools(seed);
        for (int i = 0; i < 500; ++i) {
            pools.step();
            REQUIRE(pools.allocated() <= grant.m_running);
        }
    }
}

TEST_CASE("a pool with unmet demand gets an equal share from a pool that holds the whole quota")
{
    const std::set<pool_id> all{pool_id("p0"), pool_id("p1")};
    quota_record record;
    const auto amount = [](std::uint32_t tasks) { return quota_pools::amount(tasks); };
    record = reallocate_quota(record, {pool_id("p0"), grant, {}, amount(30), amount(1)}, all);
    CHECK(record.m_allocated.at(pool_id("p0")).m_running == 12);
    record = reallocate_quota(record, {pool_id("p1"), grant, {}, amount(30), amount(1)}, all);
    CHECK_FALSE(record.m_allocated.contains(pool_id("p1")));
    CHECK(record.m_unmet_demand.contains(pool_id("p1")));
    record =
        reallocate_quota(record, {pool_id("p0"), grant, amount(5), amount(30), amount(1)}, all);
    CHECK(record.m_allocated.at(pool_id("p0")).m_running == 6);
    record = reallocate_quota(record, {pool_id("p1"), grant, {}, amount(30), amount(1)}, all);
    CHECK(record.m_allocated.at(pool_id("p1")).m_running == 6);
    CHECK(record.m_allocated.at(pool_id("p0")).m_running == 6);
}

TEST_CASE("the allocation of a pool that no longer exists is removed")
{
    quota_record record;
    record.m_allocated[pool_id("old")] = grant;
    record = reallocate_quota(record, {pool_id("p0"), grant, {}, quota_pools::amount(3), {}},
                              {pool_id("p0")});
    CHECK_FALSE(record.m_allocated.contains(pool_id("old")));
    CHECK(record.m_allocated.at(pool_id("p0")).m_running == 3);
}

TEST_CASE("a quota record is parsed as it was serialized")
{
    quota_record record;
    record.m_allocated[pool_id("p0")] = {3, {3000, 2000, 1}};
    record.m_unmet_demand[pool_id("p1")] = {1, {500, 100, 0}};
    const std::optional<quota_record> read = parse_quota(format_quota(record));
    REQUIRE(read);
    CHECK(format_quota(*read) == format_quota(record));
    CHECK(read->m_allocated.at(pool_id("p0")).m_reserved == resources{3000, 2000, 1});
}
