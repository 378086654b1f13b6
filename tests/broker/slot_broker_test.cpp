#include <catch2/catch.hpp>

#include "broker/slot_broker.h"

using namespace guavabay;

namespace {

/// A broker with two customers' contracts, called directly without a network.
struct broker_fixture {
    broker_fixture()
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

TEST_CASE("slots are granted up to their number and reused when released")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 2);
    const request_id first = fixture.ask("a");
    fixture.ask("a");
    const request_id third = fixture.ask("a");
    CHECK(fixture.grants().size() == 2);
    fixture.release(first);
    REQUIRE(fixture.grants().size() == 3);
    CHECK(fixture.grants()[2].m_request == third);
}

TEST_CASE("a repeated slot request gets the same grant and no second slot")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 2);
    fixture.ask("a");
    --fixture.m_next;
    fixture.ask("a");
    CHECK(fixture.grants().size() == 2);
    CHECK(fixture.m_broker.m_endpoints[endpoint_id("e1")].m_slots_in_use == 1);
}

TEST_CASE("a customer's limits hold at the owner, whatever host it asks from")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 100);
    service_grant& grant = fixture.m_contracts[customer_id("a")].m_services[0];
    grant.m_concurrency = 3;
    grant.m_queue_limit = 2;
    std::vector<request_id> asked;
    asked.reserve(9);
    for (int i = 0; i < 9; ++i) {
        asked.push_back(fixture.ask("a"));
    }
    CHECK(fixture.grants().size() == 3);
    CHECK(fixture.refusal(asked.back()) == error_kind::queue_full);
    fixture.ask("b");
    CHECK(fixture.grants().size() == 4);
}

TEST_CASE("the rate of a customer is limited over all hosts, with its burst")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 1000);
    service_grant& grant = fixture.m_contracts[customer_id("a")].m_services[0];
    grant.m_rate_per_second = 10;
    grant.m_burst = 5;
    for (int i = 0; i < 5; ++i) {
        fixture.ask("a");
    }
    CHECK(fixture.refusal(fixture.ask("a")) == error_kind::rate_exceeded);
    fixture.m_now += milliseconds(100);
    CHECK_FALSE(fixture.refusal(fixture.ask("a")));
}

TEST_CASE("what cannot be served before its deadline is refused at once")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 1);
    const request_id first = fixture.ask("a");
    fixture.release(first, slot_outcome::answered, milliseconds(100));
    for (int i = 0; i < 11; ++i) {
        fixture.ask("a");
    }
    CHECK(fixture.refusal(fixture.ask("a", milliseconds(500))) == error_kind::deadline_unreachable);
    CHECK_FALSE(fixture.refusal(fixture.ask("a", seconds(3))));
}

TEST_CASE("expired requests leave the queue and never take a slot")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 1);
    const request_id running = fixture.ask("a");
    const request_id waiting = fixture.ask("a", milliseconds(50));
    fixture.m_now += milliseconds(60);
    fixture.tick();
    CHECK(fixture.refusal(waiting) == error_kind::deadline_expired);
    fixture.release(running);
    CHECK(fixture.grants().size() == 1);
}

TEST_CASE("a customer's flood delays another customer only by the slot in use")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 1);
    request_id running = fixture.ask("a");
    for (int i = 0; i < 500; ++i) {
        fixture.ask("a");
    }
    const request_id other = fixture.ask("b");
    fixture.release(running);
    fixture.release(fixture.grants().back().m_request);
    bool served = false;
    for (const slot_grant_message& grant : fixture.grants()) {
        served = served || grant.m_request == other;
    }
    CHECK(served);
}

TEST_CASE("interactive requests go before batch, and batch is not starved")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 1);
    fixture.m_contracts[customer_id("b")].m_services[0].m_class = service_class::batch;
    fixture.ask("a");
    for (int i = 0; i < 100; ++i) {
        fixture.ask("b");
        fixture.ask("a");
    }
    int batch = 0;
    for (int i = 0; i < 64; ++i) {
        fixture.release(fixture.grants().back().m_request);
        batch += fixture.m_broker.m_accounts[customer_id("b")].m_running > 0 ? 1 : 0;
    }
    CHECK(batch >= 3);
    CHECK(batch <= 6);
}

TEST_CASE("the caller's zone is preferred and another zone takes the overflow")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 1, "z1");
    fixture.add_endpoint("e2", 1, "z2");
    fixture.ask("a", seconds(3), "z2");
    fixture.ask("a", seconds(3), "z2");
    REQUIRE(fixture.grants().size() == 2);
    CHECK(fixture.grants()[0].m_endpoint == endpoint_id("e2"));
    CHECK(fixture.grants()[1].m_endpoint == endpoint_id("e1"));
}

TEST_CASE("a leaving endpoint gets no new request, queued ones included")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 1);
    const request_id running = fixture.ask("a");
    fixture.ask("a");
    fixture.m_broker.m_endpoints[endpoint_id("e1")].m_listing.m_leaving = true;
    fixture.release(running);
    CHECK(fixture.grants().size() == 1);
    fixture.add_endpoint("e2", 1);
    fixture.tick();
    REQUIRE(fixture.grants().size() == 2);
    CHECK(fixture.grants()[1].m_endpoint == endpoint_id("e2"));
}

TEST_CASE("an endpoint that fails all requests is ejected, but at most a third of the endpoints")
{
    broker_fixture fixture;
    for (const char* name : {"e1", "e2", "e3"}) {
        fixture.add_endpoint(name, 1);
    }
    endpoint_table& endpoints = fixture.m_broker.m_endpoints;
    for (int i = 0; i < 5; ++i) {
        record_outcome(endpoints, endpoint_id("e1"), false, fixture.m_now);
        record_outcome(endpoints, endpoint_id("e2"), false, fixture.m_now);
    }
    CHECK(usable_slots(endpoints[endpoint_id("e1")], fixture.m_now) == 0);
    CHECK(usable_slots(endpoints[endpoint_id("e2")], fixture.m_now) == 1);
    fixture.m_now += seconds(6);
    CHECK(usable_slots(endpoints[endpoint_id("e1")], fixture.m_now) == 1);
}

TEST_CASE("an endpoint returns from ejection with a slow start")
{
    endpoint_state endpoint;
    endpoint.m_listing.m_slots = 8;
    endpoint.m_slow_start_at = time_point(seconds(50));
    CHECK(usable_slots(endpoint, time_point(seconds(50))) == 1);
    CHECK(usable_slots(endpoint, time_point(seconds(55))) == 4);
    CHECK(usable_slots(endpoint, time_point(seconds(61))) == 8);
}

/// Guards against overload of an endpoint that still works on a request its entry host gave up.
TEST_CASE("a slot whose request may still run is reused only after a delay")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 1);
    const request_id first = fixture.ask("a", seconds(10));
    fixture.ask("a", seconds(10));
    fixture.release(first, slot_outcome::still_busy);
    CHECK(fixture.grants().size() == 1);
    fixture.m_now += seconds(5);
    fixture.tick();
    CHECK(fixture.grants().size() == 2);
}

/// Guards against granting a slot twice when the ownership of a service moves.
TEST_CASE("a new owner grants nothing until the hosts have listed what they hold")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 1);
    begin_ownership(fixture.m_broker, {host_id("h1"), host_id("h2")}, fixture.m_now, fixture.m_out);
    fixture.ask("a");
    CHECK(fixture.grants().empty());
    const std::int64_t asked_at = fixture.m_now.time_since_epoch().count();
    const held_slot held{{9, 9}, customer_id("b"), endpoint_id("e1")};
    on_holdings(fixture.m_broker, host_id("h2"), {service_id("s"), asked_at, {held}},
                fixture.lookup(), fixture.m_now, fixture.m_out);
    on_holdings(fixture.m_broker, host_id("h1"), {service_id("s"), asked_at, {}}, fixture.lookup(),
                fixture.m_now, fixture.m_out);
    CHECK(fixture.grants().empty());
    fixture.release({9, 9});
    CHECK(fixture.grants().size() == 1);
}

TEST_CASE("a slot whose release was lost is freed when the host no longer lists it")
{
    broker_fixture fixture;
    fixture.add_endpoint("e1", 1);
    fixture.ask("a", seconds(10));
    fixture.ask("a", seconds(10));
    fixture.m_now += seconds(1);
    fixture.tick();
    const std::int64_t asked_at = fixture.m_now.time_since_epoch().count();
    on_holdings(fixture.m_broker, host_id("h1"), {service_id("s"), asked_at, {}}, fixture.lookup(),
                fixture.m_now, fixture.m_out);
    CHECK(fixture.grants().size() == 2);
}
