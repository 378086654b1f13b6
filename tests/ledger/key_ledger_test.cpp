#include <catch2/catch.hpp>

#include "support/virtual_hosts.h"

using namespace guavabay;
using namespace guavabay::test;

namespace {

/// Returns true when all running hosts are in the same epoch and it has the given number of
/// members.
bool all_in_epoch_of(virtual_hosts& hosts, std::size_t members)
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

/// Waits until all running hosts share an epoch of the given number of members, then runs for 2 s
/// more, in which they hand their keys over.
void wait_for_epoch(virtual_hosts& hosts, std::size_t members)
{
    REQUIRE(hosts.run_until([&] { return all_in_epoch_of(hosts, members); }, seconds(30)));
    hosts.run_for(seconds(2));
}

/// Claims a key through a host and runs until the verdict is there, or for at most 4 s.
request_id claim_and_wait(virtual_hosts& hosts, const std::string& host, std::uint64_t key,
                          std::uint64_t fingerprint = 7)
{
    const request_id request = hosts.claim(host, key, fingerprint);
    hosts.run_until([&] { return hosts.edge(request) != nullptr; }, seconds(4));
    return request;
}

/// Returns the replicas of the key in the current epoch.
key_replicas find_replicas(virtual_hosts& hosts, std::uint64_t key)
{
    return find_key_replicas(hosts.node(hosts.running().front()).m_ledger.m_epoch, key);
}

/// Returns a running host that is not a replica of the key.
std::string find_other_host(virtual_hosts& hosts, std::uint64_t key)
{
    const key_replicas replicas = find_replicas(hosts, key);
    for (const std::string& name : hosts.running()) {
        if (name != replicas.m_owner.str() && name != replicas.m_secondary.str()) {
            return name;
        }
    }
    return {};
}

} // namespace

TEST_CASE("of concurrent claims of one key through all hosts, exactly one is granted")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        virtual_hosts hosts(9, seed);
        wait_for_epoch(hosts, 9);
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

TEST_CASE("a repeated request is told whether the first runs, has run, or did not run")
{
    virtual_hosts hosts(3);
    wait_for_epoch(hosts, 3);
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

TEST_CASE("the loss of either replica leaves the key known")
{
    for (const bool lose_owner : {true, false}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            virtual_hosts hosts(6, seed);
            wait_for_epoch(hosts, 6);
            const std::string claimant = find_other_host(hosts, 42);
            REQUIRE(hosts.granted(claim_and_wait(hosts, claimant, 42)));
            const key_replicas replicas = find_replicas(hosts, 42);
            hosts.kill(lose_owner ? replicas.m_owner.str() : replicas.m_secondary.str());
            wait_for_epoch(hosts, 5);
            const request_id repeat = claim_and_wait(hosts, find_other_host(hosts, 42), 42);
            CHECK_FALSE(hosts.granted(repeat));
            CHECK(hosts.granted(claim_and_wait(hosts, claimant, 99)));
        }
    }
}

TEST_CASE("after the loss of both replicas the past is unknown and nothing runs again")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        virtual_hosts hosts(6, seed);
        wait_for_epoch(hosts, 6);
        const std::string claimant = find_other_host(hosts, 42);
        REQUIRE(hosts.granted(claim_and_wait(hosts, claimant, 42)));
        const key_replicas replicas = find_replicas(hosts, 42);
        hosts.kill(replicas.m_owner.str());
        hosts.kill(replicas.m_secondary.str());
        wait_for_epoch(hosts, 4);
        const request_id repeat = claim_and_wait(hosts, claimant, 42);
        CHECK(hosts.refusal(repeat) == error_kind::past_unknown);
    }
}

TEST_CASE("without the store keys are still decided, and a lost owner refuses as not run")
{
    virtual_hosts hosts(6);
    wait_for_epoch(hosts, 6);
    hosts.m_store.m_away = true;
    hosts.run_for(seconds(30));
    REQUIRE(hosts.granted(claim_and_wait(hosts, "h1", 42)));
    CHECK(hosts.refusal(claim_and_wait(hosts, "h2", 42)) == error_kind::duplicate_running);
    const key_replicas replicas = find_replicas(hosts, 43);
    const std::string claimant = find_other_host(hosts, 43);
    hosts.kill(replicas.m_owner.str());
    hosts.run_for(seconds(5));
    const request_id request = claim_and_wait(hosts, claimant, 43);
    CHECK(hosts.refusal(request) == error_kind::owner_unreachable);
    CHECK(answer_for(error_kind::owner_unreachable).m_ran == ran_state::no);
}

/// Guards against two grants for one key: a process that was paused while its lease ended must not
/// decide as the owner after the other hosts have moved to a new epoch.
TEST_CASE("a replica that was frozen for a minute does not decide under its old epoch")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        virtual_hosts hosts(6, seed);
        wait_for_epoch(hosts, 6);
        const key_replicas before = find_replicas(hosts, 42);
        const std::string owner = before.m_owner.str();
        hosts.freeze(owner);
        hosts.m_store.end_lease(hosts.node(owner).m_lease.m_lease);
        hosts.run_for(seconds(60));
        const std::string other = before.m_secondary.str();
        const request_id first = claim_and_wait(hosts, other, 42);
        REQUIRE(hosts.granted(first));
        hosts.thaw(owner);
        const request_id second = hosts.claim(owner, 42);
        hosts.run_for(seconds(4));
        CHECK_FALSE(hosts.granted(second));
    }
}

/// Guards against a second run after a restart of all hosts: the new processes are members under
/// the same names but have lost the keys.
TEST_CASE("a restarted host does not answer for keys that its previous incarnation stored")
{
    virtual_hosts hosts(3);
    wait_for_epoch(hosts, 3);
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

TEST_CASE("a rolling replacement of the hosts with planned stops keeps every key known")
{
    virtual_hosts hosts(6);
    wait_for_epoch(hosts, 6);
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
        wait_for_epoch(hosts, 6);
    }
    for (const std::uint64_t key : keys) {
        const request_id repeat = claim_and_wait(hosts, "h2", key);
        REQUIRE(hosts.refusal(repeat) == error_kind::duplicate_done);
    }
    CHECK(hosts.granted(claim_and_wait(hosts, "h3", 5000)));
}
