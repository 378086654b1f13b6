#include <catch2/catch.hpp>

#include "broker/slot_broker.h"

using namespace guavabay;

namespace {

/// A broker with its contracts, driven directly.
struct broker_bench {
    broker_bench()
    {
        m_broker.m_service = service_id("s");
        for (const char* name : {"a", "b"}) {
            contract& terms = m_contracts[customer_id(name)];
            terms.m_customer = customer_id(name);
            service_grant grant;
            grant.m_name = service_id("s");
            grant.m_rate_per_second = 1e6;
            grant.m_burst = 1'000'000;
            grant.m_concurrency = 1000;
            grant.m_queue_limit = 1000;
            grant.m_queue_deadline = seconds(3);
            terms.m_services.push_back(grant);
        }
    }

    void add_endpoint(const std::string& name, std::uint32_t slots, const std::string& zone = "z1")
    {
        endpoint_listing listing;
        listing.m_id = endpoint_id(name);
        listing.m_address = "127.0.0.1:1";
        listing.m_zone = zone_id(zone);
        listing.m_slots = slots;
        m_broker.m_endpoints[listing.m_id].m_listing = listing;
    }

    contract_lookup lookup()
    {
        return [this](const customer_id& customer) -> const contract* {
            const auto found = m_contracts.find(customer);
            return found == m_contracts.end() ? nullptr : &found->second;
        };
    }

    request_id ask(const std::string& customer, duration remaining = seconds(3),
                   const std::string& zone = "z1")
    {
        slot_ask_message message;
        message.m_request = {1, m_next++};
        message.m_service = service_id("s");
        message.m_customer = customer_id(customer);
        message.m_zone = zone_id(zone);
        message.m_remaining_us = remaining.count();
        on_slot_ask(m_broker, host_id("h1"), message, lookup(), m_now, m_out);
        return message.m_request;
    }

    void release(const request_id& request, slot_outcome outcome = slot_outcome::answered,
                 duration run = milliseconds(10))
    {
        slot_release_message message;
        message.m_request = request;
        message.m_service = service_id("s");
        message.m_outcome = outcome;
        message.m_run_us = run.count();
        on_slot_release(m_broker, message, lookup(), m_now, m_out);
    }

    /// The grants sent so far, in order.
    [[nodiscard]] std::vector<slot_grant_message> grants() const
    {
        std::vector<slot_grant_message> found;
        for (const auto& [host, message] : m_out.m_sends) {
            if (const auto* grant = std::get_if<slot_grant_message>(&message)) {
                found.push_back(*grant);
            }
        }
        return found;
    }

    [[nodiscard]] std::optional<error_kind> refusal(const request_id& request) const
    {
        for (const auto& [host, message] : m_out.m_sends) {
            const auto* refused = std::get_if<slot_refusal_message>(&message);
            if (refused != nullptr && refused->m_request == request) {
                return refused->m_kind;
            }
        }
        return std::nullopt;
    }

    void tick() { on_broker_tick(m_broker, lookup(), m_now, m_out); }

    slot_broker m_broker;
    std::map<customer_id, contract> m_contracts;
    broker_output m_out;
    time_point m_now{seconds(100)};
    std::uint64_t m_next = 1;
};

} // namespace

TEST_CASE("slots are granted up to their number and given on as they come back")
{
    broker_bench bench;
    bench.add_endpoint("e1", 2);
    const request_id first = bench.ask("a");
    bench.ask("a");
    const request_id third = bench.ask("a");
    CHECK(bench.grants().size() == 2);
    bench.release(first);
    REQUIRE(bench.grants().size() == 3);
    CHECK(bench.grants()[2].m_request == third);
}

TEST_CASE("a repeated ask gets the same grant and no second slot")
{
    broker_bench bench;
    bench.add_endpoint("e1", 2);
    bench.ask("a");
    --bench.m_next;
    bench.ask("a");
    CHECK(bench.grants().size() == 2);
    CHECK(bench.m_broker.m_endpoints[endpoint_id("e1")].m_used == 1);
}

TEST_CASE("a customer's limits hold at the owner, whatever host it asks from")
{
    broker_bench bench;
    bench.add_endpoint("e1", 100);
    service_grant& grant = bench.m_contracts[customer_id("a")].m_services[0];
    grant.m_concurrency = 3;
    grant.m_queue_limit = 2;
    std::vector<request_id> asked;
    asked.reserve(9);
    for (int i = 0; i < 9; ++i) {
        asked.push_back(bench.ask("a"));
    }
    CHECK(bench.grants().size() == 3);
    CHECK(bench.refusal(asked.back()) == error_kind::queue_full);
    bench.ask("b");
    CHECK(bench.grants().size() == 4);
}

TEST_CASE("the rate of a customer is limited over all hosts, with its burst")
{
    broker_bench bench;
    bench.add_endpoint("e1", 1000);
    service_grant& grant = bench.m_contracts[customer_id("a")].m_services[0];
    grant.m_rate_per_second = 10;
    grant.m_burst = 5;
    for (int i = 0; i < 5; ++i) {
        bench.ask("a");
    }
    CHECK(bench.refusal(bench.ask("a")) == error_kind::rate_exceeded);
    bench.m_now += milliseconds(100);
    CHECK_FALSE(bench.refusal(bench.ask("a")));
}

TEST_CASE("what cannot be served before its deadline is refused at once")
{
    broker_bench bench;
    bench.add_endpoint("e1", 1);
    const request_id first = bench.ask("a");
    bench.release(first, slot_outcome::answered, milliseconds(100));
    for (int i = 0; i < 11; ++i) {
        bench.ask("a");
    }
    CHECK(bench.refusal(bench.ask("a", milliseconds(500))) == error_kind::deadline_unreachable);
    CHECK_FALSE(bench.refusal(bench.ask("a", seconds(3))));
}

TEST_CASE("expired requests leave the queue and never take a slot")
{
    broker_bench bench;
    bench.add_endpoint("e1", 1);
    const request_id running = bench.ask("a");
    const request_id waiting = bench.ask("a", milliseconds(50));
    bench.m_now += milliseconds(60);
    bench.tick();
    CHECK(bench.refusal(waiting) == error_kind::deadline_expired);
    bench.release(running);
    CHECK(bench.grants().size() == 1);
}

TEST_CASE("one customer's flood costs another nothing but the slot that is in use")
{
    broker_bench bench;
    bench.add_endpoint("e1", 1);
    request_id running = bench.ask("a");
    for (int i = 0; i < 500; ++i) {
        bench.ask("a");
    }
    const request_id other = bench.ask("b");
    bench.release(running);
    bench.release(bench.grants().back().m_request);
    bool served = false;
    for (const slot_grant_message& grant : bench.grants()) {
        served = served || grant.m_request == other;
    }
    CHECK(served);
}

TEST_CASE("interactive requests go before batch, and batch still moves")
{
    broker_bench bench;
    bench.add_endpoint("e1", 1);
    bench.m_contracts[customer_id("b")].m_services[0].m_class = service_class::batch;
    bench.ask("a");
    for (int i = 0; i < 100; ++i) {
        bench.ask("b");
        bench.ask("a");
    }
    int batch = 0;
    for (int i = 0; i < 64; ++i) {
        bench.release(bench.grants().back().m_request);
        batch += bench.m_broker.m_accounts[customer_id("b")].m_running > 0 ? 1 : 0;
    }
    CHECK(batch >= 3);
    CHECK(batch <= 6);
}

TEST_CASE("the caller's zone goes first and another zone takes what does not fit")
{
    broker_bench bench;
    bench.add_endpoint("e1", 1, "z1");
    bench.add_endpoint("e2", 1, "z2");
    bench.ask("a", seconds(3), "z2");
    bench.ask("a", seconds(3), "z2");
    REQUIRE(bench.grants().size() == 2);
    CHECK(bench.grants()[0].m_endpoint == endpoint_id("e2"));
    CHECK(bench.grants()[1].m_endpoint == endpoint_id("e1"));
}

TEST_CASE("a leaving endpoint gets no new request, queued ones included")
{
    broker_bench bench;
    bench.add_endpoint("e1", 1);
    const request_id running = bench.ask("a");
    bench.ask("a");
    bench.m_broker.m_endpoints[endpoint_id("e1")].m_listing.m_leaving = true;
    bench.release(running);
    CHECK(bench.grants().size() == 1);
    bench.add_endpoint("e2", 1);
    bench.tick();
    REQUIRE(bench.grants().size() == 2);
    CHECK(bench.grants()[1].m_endpoint == endpoint_id("e2"));
}

TEST_CASE("an endpoint that fails everything is ejected, and not more than a third are out")
{
    broker_bench bench;
    for (const char* name : {"e1", "e2", "e3"}) {
        bench.add_endpoint(name, 1);
    }
    endpoint_table& endpoints = bench.m_broker.m_endpoints;
    for (int i = 0; i < 5; ++i) {
        note_outcome(endpoints, endpoint_id("e1"), false, bench.m_now);
        note_outcome(endpoints, endpoint_id("e2"), false, bench.m_now);
    }
    CHECK(usable_slots(endpoints[endpoint_id("e1")], bench.m_now) == 0);
    CHECK(usable_slots(endpoints[endpoint_id("e2")], bench.m_now) == 1);
    bench.m_now += seconds(6);
    CHECK(usable_slots(endpoints[endpoint_id("e1")], bench.m_now) == 1);
}

TEST_CASE("an endpoint that returns is loaded slowly")
{
    endpoint_state endpoint;
    endpoint.m_listing.m_slots = 8;
    endpoint.m_returned_at = time_point(seconds(50));
    CHECK(usable_slots(endpoint, time_point(seconds(50))) == 1);
    CHECK(usable_slots(endpoint, time_point(seconds(55))) == 4);
    CHECK(usable_slots(endpoint, time_point(seconds(61))) == 8);
}

TEST_CASE("a slot whose request may still run rests before it is used again")
{
    broker_bench bench;
    bench.add_endpoint("e1", 1);
    const request_id first = bench.ask("a", seconds(10));
    bench.ask("a", seconds(10));
    bench.release(first, slot_outcome::still_busy);
    CHECK(bench.grants().size() == 1);
    bench.m_now += seconds(5);
    bench.tick();
    CHECK(bench.grants().size() == 2);
}

TEST_CASE("a new owner grants nothing until the hosts have listed what they hold")
{
    broker_bench bench;
    bench.add_endpoint("e1", 1);
    begin_ownership(bench.m_broker, {host_id("h1"), host_id("h2")}, bench.m_now, bench.m_out);
    bench.ask("a");
    CHECK(bench.grants().empty());
    const std::int64_t asked_at = bench.m_now.time_since_epoch().count();
    const held_slot held{{9, 9}, customer_id("b"), endpoint_id("e1")};
    on_holdings(bench.m_broker, host_id("h2"), {service_id("s"), asked_at, {held}}, bench.lookup(),
                bench.m_now, bench.m_out);
    on_holdings(bench.m_broker, host_id("h1"), {service_id("s"), asked_at, {}}, bench.lookup(),
                bench.m_now, bench.m_out);
    CHECK(bench.grants().empty());
    bench.release({9, 9});
    CHECK(bench.grants().size() == 1);
}

TEST_CASE("a slot whose return was lost comes back when the host no longer lists it")
{
    broker_bench bench;
    bench.add_endpoint("e1", 1);
    bench.ask("a", seconds(10));
    bench.ask("a", seconds(10));
    bench.m_now += seconds(1);
    bench.tick();
    const std::int64_t asked_at = bench.m_now.time_since_epoch().count();
    on_holdings(bench.m_broker, host_id("h1"), {service_id("s"), asked_at, {}}, bench.lookup(),
                bench.m_now, bench.m_out);
    CHECK(bench.grants().size() == 2);
}
