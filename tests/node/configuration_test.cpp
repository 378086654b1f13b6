#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "contract/contract_parser.h"
#include "support/virtual_hosts.h"

using namespace guavabay;
using namespace guavabay::test;

namespace json = boost::json;

namespace {

constexpr seconds in_force_limit{8};

/// The version in an answer that was accepted; zero when it was not.
std::int64_t version_in(const operator_answer* answer)
{
    if (answer == nullptr || answer->m_kind) {
        return 0;
    }
    return json::parse(answer->m_body).at("version").as_int64();
}

/// True when every running host has a version of a customer's contract in force, or a newer one.
bool in_force(virtual_hosts& hosts, const std::string& customer, std::int64_t version)
{
    for (const std::string& name : hosts.running()) {
        const contract_in_force* terms =
            find_contract(*hosts.node(name).m_view, customer_id(customer));
        if (terms == nullptr || terms->m_revision.get() < version) {
            return false;
        }
    }
    return true;
}

bool all_serving(virtual_hosts& hosts)
{
    for (const std::string& name : hosts.running()) {
        if (hosts.node(name).m_members.self().m_phase != member_phase::serving) {
            return false;
        }
    }
    return true;
}

void settle(virtual_hosts& hosts)
{
    REQUIRE(hosts.run_until([&] { return all_serving(hosts); }, seconds(10)));
    hosts.run_for(seconds(3));
}

/// Applies a contract and waits for the answer.
std::int64_t apply(virtual_hosts& hosts, const std::string& host, const std::string& body,
                   const std::string& operation)
{
    const std::uint64_t call = hosts.apply(host, body, operation);
    hosts.run_until([&] { return hosts.answer(call) != nullptr; }, seconds(12));
    return version_in(hosts.answer(call));
}

} // namespace

TEST_CASE("an accepted contract is in force on nine hosts within a second")
{
    virtual_hosts hosts(9);
    settle(hosts);
    const std::int64_t version = apply(hosts, "h4", make_contract("a", "s"), "op1");
    REQUIRE(version > 0);
    CHECK(hosts.run_until([&] { return in_force(hosts, "a", version); }, seconds(1)));
}

TEST_CASE("a change accepted right before the store goes away is in force everywhere")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        virtual_hosts hosts(9, seed);
        settle(hosts);
        for (int i = 2; i <= 9; ++i) {
            hosts.m_cut_from_store.insert("h" + std::to_string(i));
        }
        const std::int64_t version = apply(hosts, "h1", make_contract("a", "s"), "op1");
        REQUIRE(version > 0);
        hosts.m_store.m_away = true;
        hosts.kill("h1");
        CHECK(hosts.run_until([&] { return in_force(hosts, "a", version); }, in_force_limit));
    }
}

TEST_CASE("a lost answer of the store is settled by reading, not guessed")
{
    virtual_hosts hosts(3);
    settle(hosts);
    hosts.m_store.m_lose_answers = 1;
    const std::int64_t version = apply(hosts, "h1", make_contract("a", "s"), "op1");
    CHECK(version > 0);
    CHECK(version == hosts.m_store.get("contract/a").m_revision.get());
    hosts.m_store.m_drop_calls = 1;
    const std::int64_t second =
        apply(hosts, "h2", make_contract("a", "s", R"({"weight":2})"), "op2");
    CHECK(second > version);
    CHECK(second == hosts.m_store.get("contract/a").m_revision.get());
}

TEST_CASE("repeating an operation gives its first answer and changes nothing")
{
    virtual_hosts hosts(3);
    settle(hosts);
    const std::int64_t first = apply(hosts, "h1", make_contract("a", "s"), "op1");
    const std::int64_t second =
        apply(hosts, "h1", make_contract("a", "s", R"({"weight":2})"), "op2");
    hosts.run_for(seconds(1));
    CHECK(apply(hosts, "h3", make_contract("a", "s"), "op1") == first);
    CHECK(hosts.m_store.get("contract/a").m_revision.get() == second);
}

TEST_CASE("of two operators who race, one wins and the other is told by whom and at which version")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        virtual_hosts hosts(3, seed);
        settle(hosts);
        const auto anna =
            hosts.apply("h1", make_contract("a", "s", R"({"weight":2})"), "op1", "anna");
        const auto ben =
            hosts.apply("h2", make_contract("a", "s", R"({"weight":3})"), "op2", "ben");
        hosts.run_for(seconds(2));
        const bool anna_won = !hosts.answer(anna)->m_kind;
        const bool ben_won = !hosts.answer(ben)->m_kind;
        REQUIRE(anna_won != ben_won);
        const operator_answer* loser = hosts.answer(anna_won ? ben : anna);
        CHECK(loser->m_kind == error_kind::version_conflict);
        CHECK(loser->m_body.find(anna_won ? "changed by anna" : "changed by ben") !=
              std::string::npos);
    }
}

TEST_CASE("a store that is away makes a change fail as unknown or refused, never as accepted")
{
    virtual_hosts hosts(3);
    settle(hosts);
    hosts.m_store.m_away = true;
    const auto call = hosts.apply("h1", make_contract("a", "s"), "op1");
    hosts.run_for(seconds(12));
    REQUIRE(hosts.answer(call) != nullptr);
    CHECK(hosts.answer(call)->m_kind == error_kind::outcome_unknown);
}

TEST_CASE("a host that starts while the store is away serves only with its peers' configuration")
{
    virtual_hosts hosts(4);
    settle(hosts);
    const std::int64_t first = apply(hosts, "h1", make_contract("a", "s"), "op1");
    const auto ended = hosts.end("h1", "a", "op2");
    hosts.run_for(seconds(2));
    REQUIRE(version_in(hosts.answer(ended)) > first);
    hosts.list_endpoint("s", "e1", "z1", 8);
    hosts.run_for(seconds(1));
    hosts.m_store.m_away = true;
    hosts.start("h9", "z3");
    const request_id early = hosts.want("h9", "a", "s");
    CHECK(hosts.refusal(early) == error_kind::not_ready);
    REQUIRE(hosts.run_until([&] { return all_serving(hosts); }, seconds(10)));
    const request_id late = hosts.want("h9", "a", "s");
    hosts.run_for(seconds(1));
    CHECK(hosts.refusal(late) == error_kind::no_contract);
}

TEST_CASE("hosts that all start while the store is away do not serve")
{
    virtual_hosts hosts(3);
    hosts.m_store.m_away = true;
    hosts.run_for(seconds(30));
    CHECK(hosts.node("h1").m_members.self().m_phase == member_phase::joining);
    hosts.m_store.m_away = false;
    CHECK(hosts.run_until([&] { return all_serving(hosts); }, seconds(5)));
}

TEST_CASE("a host that was frozen learns the newest configuration before it serves again")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        virtual_hosts hosts(3, seed);
        settle(hosts);
        hosts.list_endpoint("s", "e1", "z1", 8);
        apply(hosts, "h1", make_contract("a", "s"), "op1");
        hosts.run_for(seconds(1));
        hosts.freeze("h3");
        hosts.run_for(seconds(2));
        const auto ended = hosts.end("h1", "a", "op2");
        hosts.run_for(seconds(60));
        REQUIRE(version_in(hosts.answer(ended)) > 0);
        hosts.m_store.m_away = true;
        hosts.thaw("h3");
        const request_id request = hosts.want("h3", "a", "s");
        hosts.run_for(seconds(4));
        REQUIRE(hosts.refusal(request));
        CHECK_FALSE(hosts.granted(request));
        CHECK(in_force(hosts, "a", version_in(hosts.answer(ended))));
    }
}

TEST_CASE("a host that was frozen and missed everything serves nobody until it has learned")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        virtual_hosts hosts(3, seed);
        settle(hosts);
        const std::string service = "s" + std::to_string(seed);
        hosts.list_endpoint(service, "e1", "z1", 8);
        apply(hosts, "h1", make_contract("a", service), "op1");
        hosts.run_for(seconds(1));
        const std::string owner =
            rendezvous_owner(hosts.node("h1").m_members.serving(hosts.now()), stable_hash(service))
                ->str();
        hosts.freeze(owner);
        hosts.run_for(seconds(2));
        const std::string other = owner == "h1" ? "h2" : "h1";
        const auto ended = hosts.end(other, "a", "op2");
        hosts.run_for(seconds(10));
        REQUIRE(version_in(hosts.answer(ended)) > 0);
        hosts.m_cut = [&owner](const std::string& from, const std::string& to) {
            return from == owner || to == owner;
        };
        hosts.m_cut_from_store.insert(owner);
        hosts.forget_held_back(owner);
        hosts.thaw(owner);
        hosts.run_for(milliseconds(120));
        const request_id request = hosts.want(owner, "a", service);
        hosts.run_for(milliseconds(300));
        CHECK_FALSE(hosts.granted(request));
        CHECK(hosts.refusal(request) == error_kind::not_ready);
    }
}

TEST_CASE("a store that answers from the past changes nothing that is in force")
{
    virtual_hosts hosts(3);
    settle(hosts);
    apply(hosts, "h1", make_contract("a", "s"), "op1");
    hosts.run_for(seconds(1));
    const fake_store earlier = hosts.m_store;
    hosts.list_endpoint("s", "e1", "z1", 8);
    const std::int64_t second =
        apply(hosts, "h1", make_contract("a", "s", R"({"weight":2})"), "op2");
    hosts.run_for(seconds(1));
    hosts.m_store = earlier;
    hosts.m_cut_from_store = {"h1", "h2", "h3"};
    hosts.run_for(seconds(1));
    hosts.m_cut_from_store.clear();
    hosts.run_for(seconds(5));
    CHECK(in_force(hosts, "a", second));
    CHECK(hosts.node("h2").m_listings[service_id("s")].size() == 1);
}

TEST_CASE("an unreadable contract in the store is named and the last good one stays in force")
{
    virtual_hosts hosts(3);
    settle(hosts);
    const std::int64_t version = apply(hosts, "h1", make_contract("a", "s"), "op1");
    hosts.run_for(seconds(1));
    hosts.m_store.put("contract/a", R"({"contract":{"customer":"a"},"state":"active"})");
    hosts.run_for(seconds(1));
    CHECK(in_force(hosts, "a", version));
    const auto call = hosts.ask("h2", operator_verb::list, "");
    hosts.run_for(seconds(1));
    const json::value list = json::parse(hosts.answer(call)->m_body);
    REQUIRE(list.at("unreadable").as_array().size() == 1);
    CHECK(list.at("unreadable").at(0).at("key").as_string() == "contract/a");
    hosts.start("h9", "z1");
    hosts.run_for(seconds(5));
    CHECK(in_force(hosts, "a", version));
}

TEST_CASE("a change is in force everywhere within the limit while packets are lost and repeated")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        virtual_hosts hosts(9, seed);
        settle(hosts);
        hosts.m_loss = 0.2;
        hosts.m_repeat = 0.2;
        for (int i = 2; i <= 9; ++i) {
            hosts.m_cut_from_store.insert("h" + std::to_string(i));
        }
        const std::int64_t version = apply(hosts, "h1", make_contract("a", "s"), "op1");
        REQUIRE(version > 0);
        CHECK(hosts.run_until([&] { return in_force(hosts, "a", version); }, in_force_limit));
    }
}

TEST_CASE("in force everywhere is said only when every member has confirmed")
{
    virtual_hosts hosts(3);
    settle(hosts);
    hosts.freeze("h3");
    hosts.run_for(seconds(1));
    apply(hosts, "h1", make_contract("a", "s"), "op1");
    const auto call = hosts.ask("h1", operator_verb::status, "a");
    hosts.run_for(seconds(2));
    json::value status = json::parse(hosts.answer(call)->m_body);
    CHECK_FALSE(status.at("in_force_everywhere").as_bool());
    CHECK(std::string(status.at("missing").at(0).as_string().c_str()).starts_with("h3: silent"));
    hosts.thaw("h3");
    hosts.run_for(seconds(5));
    const auto again = hosts.ask("h1", operator_verb::status, "a");
    hosts.run_for(seconds(2));
    status = json::parse(hosts.answer(again)->m_body);
    CHECK(status.at("in_force_everywhere").as_bool());
}

TEST_CASE("the proof of departure waits for running requests and for silent hosts")
{
    virtual_hosts hosts(3);
    settle(hosts);
    hosts.list_endpoint("s", "e1", "z1", 2);
    apply(hosts, "h1", make_contract("a", "s"), "op1");
    hosts.run_for(seconds(1));
    const request_id running = hosts.want("h2", "a", "s");
    const request_id also_running = hosts.want("h3", "a", "s");
    hosts.run_for(seconds(1));
    REQUIRE(hosts.granted(running));
    REQUIRE(hosts.granted(also_running));
    const request_id waiting = hosts.want("h3", "a", "s");
    hosts.run_for(milliseconds(100));
    hosts.end("h1", "a", "op2");
    hosts.run_for(seconds(1));
    CHECK(hosts.refusal(waiting) == error_kind::no_contract);
    auto proof = hosts.ask("h1", operator_verb::proof, "a");
    hosts.run_for(seconds(1));
    CHECK_FALSE(json::parse(hosts.answer(proof)->m_body).at("proved").as_bool());
    hosts.finish("h2", running);
    hosts.finish("h3", also_running);
    hosts.freeze("h3");
    hosts.run_for(seconds(1));
    proof = hosts.ask("h1", operator_verb::proof, "a");
    hosts.run_for(seconds(1));
    CHECK_FALSE(json::parse(hosts.answer(proof)->m_body).at("proved").as_bool());
    hosts.thaw("h3");
    hosts.run_for(seconds(4));
    proof = hosts.ask("h1", operator_verb::proof, "a");
    hosts.run_for(seconds(1));
    const json::value proved = json::parse(hosts.answer(proof)->m_body);
    CHECK(proved.at("proved").as_bool());
    CHECK(proved.at("hosts").as_array().size() == 3);
    CHECK_FALSE(hosts.m_store.get("proof/a").m_value.empty());
    for (const std::string& name : hosts.running()) {
        const request_id request = hosts.want(name, "a", "s");
        hosts.run_for(milliseconds(100));
        CHECK(hosts.refusal(request) == error_kind::no_contract);
    }
}

TEST_CASE("a host cut off from everything stops serving a customer that demands it")
{
    virtual_hosts hosts(3);
    settle(hosts);
    hosts.list_endpoint("s", "e1", "z1", 8);
    apply(hosts, "h1", make_contract("a", "s"), "op1");
    apply(hosts, "h1", make_contract("b", "s", R"({"on_isolation":"serve"})"), "op2");
    hosts.run_for(seconds(1));
    hosts.m_cut = [](const std::string& from, const std::string& to) {
        return (from == "h3") != (to == "h3");
    };
    hosts.m_cut_from_store = {"h3"};
    hosts.run_for(seconds(10));
    const request_id strict = hosts.want("h3", "a", "s");
    const request_id lenient = hosts.want("h3", "b", "s");
    hosts.run_for(seconds(2));
    CHECK(hosts.refusal(strict) == error_kind::isolated);
    CHECK(hosts.granted(lenient));
}

TEST_CASE("all hosts can be replaced one after the other and nothing accepted is lost")
{
    virtual_hosts hosts(3);
    settle(hosts);
    const std::int64_t version = apply(hosts, "h1", make_contract("a", "s"), "op1");
    hosts.m_store.m_away = true;
    for (const char* name : {"h1", "h2", "h3"}) {
        hosts.kill(name);
        hosts.run_for(seconds(1));
        hosts.start(name, "z1");
        REQUIRE(hosts.run_until([&] { return all_serving(hosts); }, seconds(10)));
        CHECK(in_force(hosts, "a", version));
    }
}
