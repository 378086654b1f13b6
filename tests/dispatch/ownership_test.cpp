#include <catch2/catch.hpp>
#include <random>
#include <set>

#include "core/result.h"
#include "dispatch/ownership.h"
#include "dispatch/peer_table.h"
#include "peer/host_message.h"
#include "submission/submission_log.h"

namespace guavabay {

namespace {

std::map<host_id, host_record> make_members(int count)
{
    std::map<host_id, host_record> members;
    for (int i = 0; i < count; ++i) {
        const host_id host("h" + std::to_string(i));
        members[host] = {host, 1, "10.0.0." + std::to_string(i) + ":70", zone_id("z"), false, 1};
    }
    return members;
}

} // namespace

TEST_CASE("all hosts compute the same ranking of candidates for a shard", "[ownership]")
{
    auto members = make_members(5);
    std::map<service_id, owner_record> owners;
    for (int shard = 0; shard < 10; ++shard) {
        const service_id name("s" + std::to_string(shard));
        std::set<std::size_t> ranks;
        host_id first;
        for (const auto& [host, record] : members) {
            const auto rank = takeover_rank(members, owners, name, host);
            REQUIRE(rank);
            ranks.insert(*rank);
            if (*rank == 0) {
                first = host;
            }
        }
        CHECK(ranks.size() == 5);
        owners[name] = {members[first], revision(shard + 1)};
    }
    std::map<host_id, int> owned;
    for (const auto& [shard, owner] : owners) {
        ++owned[owner.m_host.m_host];
    }
    for (const auto& [host, count] : owned) {
        CHECK(count == 2);
    }
    members[host_id("h0")].m_leaving = true;
    CHECK_FALSE(takeover_rank(members, owners, service_id("x"), host_id("h0")));
}

// Guards against a busy host that owns two shards while others own none: all shards lose their
// owners at once, and each was given to its best candidate regardless of the others.
TEST_CASE("shards that lose their owners at the same time get different hosts", "[ownership]")
{
    std::set<service_id> shards;
    for (int shard = 0; shard < 6; ++shard) {
        shards.emplace("s" + std::to_string(shard));
    }
    for (int fleet = 0; fleet < 20; ++fleet) {
        std::map<host_id, host_record> members;
        for (int i = 0; i < 147; ++i) {
            const host_id host("f" + std::to_string(fleet) + "-" + std::to_string(i));
            const double capacity = i < 15 ? 0.5 : 0.12;
            members[host] = {host, 1, "10.0.0.1:70", zone_id("z"), false, capacity};
        }
        std::map<service_id, std::size_t> first_candidates;
        for (const auto& [host, record] : members) {
            std::size_t claimed = 0;
            for (const auto& [shard, rank] : takeover_ranks(members, {}, shards, host)) {
                claimed += rank == 0 ? 1 : 0;
                first_candidates[shard] += rank == 0 ? 1 : 0;
            }
            CAPTURE(host.str());
            CHECK(claimed <= (record.m_capacity > 0.4 ? 1 : 0));
        }
        CHECK(first_candidates.size() == shards.size());
        for (const auto& [shard, candidates] : first_candidates) {
            CHECK(candidates == 1);
        }
    }
}

TEST_CASE("a host that owns two shards more than another releases one", "[ownership]")
{
    const auto members = make_members(3);
    std::map<service_id, owner_record> owners;
    owners[service_id("a")] = {members.at(host_id("h0")), revision(1)};
    CHECK_FALSE(find_surplus_shard(members, owners, host_id("h0")));
    owners[service_id("b")] = {members.at(host_id("h0")), revision(2)};
    CHECK(find_surplus_shard(members, owners, host_id("h0")));
    CHECK_FALSE(find_surplus_shard(members, owners, host_id("h1")));
}

TEST_CASE("the store counts as unreachable only if most hosts report it and none denies it",
          "[peers]")
{
    peer_table table;
    table.m_own_address = "10.0.0.0:70";
    const time_point now{seconds(10)};
    for (int i = 0; i < 4; ++i) {
        add_peer(table, "10.0.0." + std::to_string(i) + ":70", now);
    }
    CHECK(table.m_peers.size() == 3);
    // Peers that were never heard from have reported nothing.
    CHECK_FALSE(is_store_unreachable_for_majority(table, 4, now));
    for (int i = 1; i < 4; ++i) {
        record_store_report(table, "10.0.0." + std::to_string(i) + ":70", false, now);
    }
    CHECK(is_store_unreachable_for_majority(table, 4, now));
    table.m_peers["10.0.0.1:70"].m_store_answers = true;
    CHECK_FALSE(is_store_unreachable_for_majority(table, 4, now));
    CHECK(peers_with_store(table, now) == std::vector<std::string>{"10.0.0.1:70"});
    CHECK(peers_with_store(table, now + seconds(3)).empty());
    // Outdated reports count neither way.
    CHECK_FALSE(is_store_unreachable_for_majority(table, 4, now + seconds(3)));
    remove_stale_peers(table, {"10.0.0.2:70"}, now + seconds(60));
    CHECK(table.m_peers.size() == 1);
}

TEST_CASE("host frames round-trip and corrupt frames are decoded safely", "[peers]")
{
    submit_request submit{service_id("s"), queue_id("q"), submission_id("5c"), "bytes",
                          organisation_id("a")};
    const std::string bytes = encode_frame(9, submit);
    const auto frame = decode_frame(std::string_view(bytes).substr(4));
    REQUIRE(frame);
    CHECK(frame->m_number == 9);
    CHECK(std::get<submit_request>(frame->m_message).m_id == submission_id("5c"));
    std::mt19937 random(7);
    for (int i = 0; i < 3000; ++i) {
        std::string corrupted = bytes.substr(4);
        corrupted[random() % corrupted.size()] = static_cast<char>(random());
        corrupted.resize(random() % (corrupted.size() + 1));
        decode_frame(corrupted);
    }
    CHECK_FALSE(decode_frame("x"));
}

TEST_CASE("shard log entries round-trip and malformed ones are rejected", "[submission]")
{
    submission what;
    what.m_spec = "text";
    what.m_steps.resize(2);
    what.m_steps[1].m_after = {0};
    what.m_steps[1].m_estimate = std::chrono::milliseconds(700);
    queue_contract contract;
    contract.m_queue = queue_id("q");
    contract.m_service = service_id("s");
    contract.m_priority = 1;
    contract.m_max_attempts = 3;
    contract.m_stretch_factor = 1.6;
    contract.m_target = std::chrono::milliseconds(600);
    contract.m_needs_advice = true;
    contract.m_advice_validity = std::chrono::milliseconds(900);
    const std::vector<log_entry> entries{
        log_accepted{submission_id("a"), queue_id("q"), 5, what},
        log_task_ended{{submission_id("a"), 0, 1, 2}, true, run_number(7)},
        log_closed{submission_id("a"), submission_state::failed, 9},
        log_ownership_released{{worker_id("w")}},
        log_ownership_taken{3},
        log_queue_contract{contract},
        log_worker_incarnation{worker_id("w"), 1700000000123, true}};
    const auto read = decode_log(encode_log(entries));
    REQUIRE(read.has_value());
    REQUIRE(read->size() == entries.size());
    CHECK((std::get<log_accepted>(read->at(0)).m_submission == what));
    CHECK(std::get<log_task_ended>(read->at(1)).m_task.m_index == 2);
    CHECK(std::get<log_task_ended>(read->at(1)).m_run == run_number(7));
    CHECK((std::get<log_queue_contract>(read->at(5)).m_contract == contract));
    const auto& incarnation = std::get<log_worker_incarnation>(read->at(6));
    CHECK(incarnation.m_worker == worker_id("w"));
    CHECK(incarnation.m_start_ms == 1700000000123);
    CHECK(incarnation.m_settled);
    CHECK_FALSE(decode_log("").has_value());
    CHECK_FALSE(decode_log("\x09xyz").has_value());
    CHECK((decode_submission_bytes(encode_submission(what)) == what));

    const auto name = parse_task_name("5c0e7a21d94b36f8.0.1.17");
    REQUIRE(name.has_value());
    CHECK((*name == task_name{submission_id("5c0e7a21d94b36f8"), 0, 1, 17}));
    for (const char* bad : {"", "a", "a.1.2", "a.x.1.2", ".0.1.2", "a.0.1.-2"}) {
        CHECK_FALSE(parse_task_name(bad).has_value());
    }
    CHECK(critical_path_length(what) == std::chrono::milliseconds(700));
}

} // namespace guavabay
