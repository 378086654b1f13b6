#include <catch2/catch.hpp>

#include "support/virtual_hosts.h"

using namespace guavabay;
using namespace guavabay::test;

namespace {

/// True when all hosts are in one epoch that lists just the given number of them.
bool epoch_has(virtual_hosts& hosts, std::size_t members)
{
    epoch number;
    for (const std::string& name : hosts.running()) {
        const epoch_record& record = hosts.node(name).m_ledger.m_epoch;
        if (record.m_members.size() != members) {
            return false;
        }
        number = number == epoch{} ? record.m_number : number;
        if (record.m_number != number) {
            return false;
        }
    }
    return true;
}

void settle(virtual_hosts& hosts, std::size_t members)
{
    REQUIRE(hosts.run_until([&] { return epoch_has(hosts, members); }, seconds(30)));
    hosts.run_for(seconds(2));
}

request_id claim_and_wait(virtual_hosts& hosts, const std::string& host, std::uint64_t key,
                          std::uint64_t fingerprint = 7)
{
    const request_id request = hosts.claim(host, key, fingerprint);
    hosts.run_until([&] { return hosts.edge(request) != nullptr; }, seconds(4));
    return request;
}

key_keepers keepers(virtual_hosts& hosts, std::uint64_t key)
{
    return keepers_of(hosts.node(hosts.running().front()).m_ledger.m_epoch, key);
}

/// A running host that keeps neither copy of the key.
std::string bystander(virtual_hosts& hosts, std::uint64_t key)
{
    const key_keepers kept = keepers(hosts, key);
    for (const std::string& name : hosts.running()) {
        if (name != kept.m_owner.str() && name != kept.m_second.str()) {
            return name;
        }
    }
    return {};
}

} // namespace

TEST_CASE("of claims that race under one key through all hosts, one runs")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        virtual_hosts hosts(9, seed);
        settle(hosts, 9);
        hosts.m_loss = 0.1;
        hosts.m_repeat = 0.1;
        std::vector<request_id> claims;
        for (const std::string& name : hosts.running()) {
            claims.push_back(hosts.claim(name, 42));
        }
        hosts.run_for(seconds(5));
        int granted = 0;
        for (const request_id& request : claims) {
            granted += hosts.granted(request) ? 1 : 0;
        }
        CHECK(granted == 1);
    }
}

TEST_CASE("a repeat learns that the first runs, has run, or did not run")
{
    virtual_hosts hosts(3);
    settle(hosts, 3);
    const request_id first = claim_and_wait(hosts, "h1", 42);
    REQUIRE(hosts.granted(first));
    CHECK(hosts.refusal(claim_and_wait(hosts, "h2", 42)) == error_kind::duplicate_running);
    CHECK(hosts.refusal(claim_and_wait(hosts, "h2", 42, 8)) == error_kind::key_reused);
    hosts.finish_claim("h1", first, 42, key_state::done);
    hosts.run_for(seconds(1));
    CHECK(hosts.refusal(claim_and_wait(hosts, "h3", 42)) == error_kind::duplicate_done);
    const request_id second = claim_and_wait(hosts, "h1", 43);
    REQUIRE(hosts.granted(second));
    hosts.finish_claim("h1", second, 43, key_state::not_run);
    hosts.run_for(seconds(1));
    CHECK(hosts.granted(claim_and_wait(hosts, "h2", 43)));
    const request_id third = claim_and_wait(hosts, "h1", 44);
    REQUIRE(hosts.granted(third));
    hosts.finish_claim("h1", third, 44, key_state::unknown);
    hosts.run_for(seconds(1));
    CHECK(hosts.refusal(claim_and_wait(hosts, "h2", 44)) == error_kind::past_unknown);
}

TEST_CASE("the loss of either keeper leaves the key known")
{
    for (const bool lose_owner : {true, false}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            virtual_hosts hosts(6, seed);
            settle(hosts, 6);
            const std::string claimant = bystander(hosts, 42);
            REQUIRE(hosts.granted(claim_and_wait(hosts, claimant, 42)));
            const key_keepers kept = keepers(hosts, 42);
            hosts.kill(lose_owner ? kept.m_owner.str() : kept.m_second.str());
            settle(hosts, 5);
            const request_id repeat = claim_and_wait(hosts, bystander(hosts, 42), 42);
            CHECK_FALSE(hosts.granted(repeat));
            CHECK(hosts.granted(claim_and_wait(hosts, claimant, 99)));
        }
    }
}

TEST_CASE("the loss of both keepers is admitted instead of running again")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        virtual_hosts hosts(6, seed);
        settle(hosts, 6);
        const std::string claimant = bystander(hosts, 42);
        REQUIRE(hosts.granted(claim_and_wait(hosts, claimant, 42)));
        const key_keepers kept = keepers(hosts, 42);
        hosts.kill(kept.m_owner.str());
        hosts.kill(kept.m_second.str());
        settle(hosts, 4);
        const request_id repeat = claim_and_wait(hosts, claimant, 42);
        CHECK(hosts.refusal(repeat) == error_kind::past_unknown);
    }
}

TEST_CASE("while the store is away keys are still decided, and a lost keeper refuses as not run")
{
    virtual_hosts hosts(6);
    settle(hosts, 6);
    hosts.m_store.m_away = true;
    hosts.run_for(seconds(30));
    REQUIRE(hosts.granted(claim_and_wait(hosts, "h1", 42)));
    CHECK(hosts.refusal(claim_and_wait(hosts, "h2", 42)) == error_kind::duplicate_running);
    const key_keepers kept = keepers(hosts, 43);
    const std::string claimant = bystander(hosts, 43);
    hosts.kill(kept.m_owner.str());
    hosts.run_for(seconds(5));
    const request_id request = claim_and_wait(hosts, claimant, 43);
    CHECK(hosts.refusal(request) == error_kind::owner_unreachable);
    CHECK(answer_for(error_kind::owner_unreachable).m_ran == ran_state::no);
}

TEST_CASE("a keeper that was frozen for a minute does not decide with its old view")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        virtual_hosts hosts(6, seed);
        settle(hosts, 6);
        const key_keepers before = keepers(hosts, 42);
        const std::string owner = before.m_owner.str();
        hosts.freeze(owner);
        hosts.m_store.end_lease(hosts.node(owner).m_lease.m_lease);
        hosts.run_for(seconds(60));
        const std::string other = before.m_second.str();
        const request_id first = claim_and_wait(hosts, other, 42);
        REQUIRE(hosts.granted(first));
        hosts.thaw(owner);
        const request_id second = hosts.claim(owner, 42);
        hosts.run_for(seconds(4));
        CHECK_FALSE(hosts.granted(second));
    }
}

TEST_CASE("a host that started anew does not vouch for keys that its earlier process kept")
{
    virtual_hosts hosts(3);
    settle(hosts, 3);
    REQUIRE(hosts.granted(claim_and_wait(hosts, "h1", 42)));
    for (const char* name : {"h1", "h2", "h3"}) {
        hosts.kill(name);
    }
    for (const char* name : {"h1", "h2", "h3"}) {
        hosts.start(name, std::string("z") + name[1]);
    }
    hosts.run_for(seconds(30));
    const request_id repeat = claim_and_wait(hosts, "h1", 42);
    CHECK_FALSE(hosts.granted(repeat));
}

TEST_CASE("replacing the hosts one after the other with planned stops keeps every key known")
{
    virtual_hosts hosts(6);
    settle(hosts, 6);
    std::vector<std::uint64_t> keys;
    for (std::uint64_t key = 1000; key < 1030; ++key) {
        const request_id request = claim_and_wait(hosts, "h6", key);
        REQUIRE(hosts.granted(request));
        hosts.finish_claim("h6", request, key, key_state::done);
        keys.push_back(key);
    }
    for (int number = 1; number <= 5; ++number) {
        const std::string name = "h" + std::to_string(number);
        hosts.stop(name);
        hosts.run_for(seconds(3));
        hosts.kill(name);
        hosts.run_for(seconds(11));
        hosts.start(name, "z" + std::to_string((number - 1) % 3 + 1));
        settle(hosts, 6);
    }
    for (const std::uint64_t key : keys) {
        const request_id repeat = claim_and_wait(hosts, "h2", key);
        REQUIRE(hosts.refusal(repeat) == error_kind::duplicate_done);
    }
    CHECK(hosts.granted(claim_and_wait(hosts, "h3", 5000)));
}
