#include <catch2/catch.hpp>
#include <deque>
#include <memory>

#include "net/address.h"
#include "net/connection_budget.h"

using namespace guavabay;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t smallest_memory_mb = 160;
constexpr std::size_t smallest_descriptors = 4100;
constexpr std::size_t largest_body_bytes = 256 * kilobyte;

struct fake_connection : budgeted_connection {
    void close_socket() override { ++m_closed; }
    int m_closed = 0;
};

/// A budget with the connections that were admitted to it.
struct counted_connections {
    explicit counted_connections(const budget_limits& limits) { m_budget.m_limits = limits; }
    counted_connections(const counted_connections&) = delete;
    counted_connections& operator=(const counted_connections&) = delete;
    ~counted_connections()
    {
        for (const auto& one : m_connections) {
            if (one->is_linked()) {
                leave(m_budget, *one);
            }
        }
    }

    fake_connection& open(std::uint64_t source = 1, budget_port port = budget_port::callers)
    {
        fake_connection& one = *m_connections.emplace_back(std::make_unique<fake_connection>());
        one.m_port = port;
        one.m_source = source;
        m_last_refusal = admit(m_budget, one);
        return one;
    }

    /// A connection that is reading a body of which some bytes have come.
    fake_connection& read(std::size_t bytes)
    {
        fake_connection& one = open();
        enter_state(m_budget, one, connection_state::reading_body);
        hold(m_budget, one, bytes);
        return one;
    }

    void pass(milliseconds time) { m_budget.m_now += time; }

    connection_budget m_budget;
    std::deque<std::unique_ptr<fake_connection>> m_connections;
    std::optional<budget_reason> m_last_refusal;
};

budget_limits small_limits(std::size_t bytes, std::size_t connections, std::size_t per_address)
{
    budget_limits limits;
    limits.m_max_bytes = bytes;
    limits.m_ports.fill({connections, per_address});
    return limits;
}

} // namespace

TEST_CASE("the smallest host takes 64 of the largest bodies at once", "[connection_budget]")
{
    counted_connections all(derive_budget_limits(smallest_memory_mb, smallest_descriptors));
    constexpr std::size_t count = 64;
    for (std::size_t i = 0; i < count; ++i) {
        all.read(largest_body_bytes);
        all.pass(milliseconds(100));
    }
    for (const auto& one : all.m_connections) {
        CHECK_FALSE(one->m_close_reason.has_value());
    }
}

TEST_CASE("the smallest host takes all connections of a balancer's share", "[connection_budget]")
{
    counted_connections all(derive_budget_limits(smallest_memory_mb, smallest_descriptors));
    constexpr std::size_t count = 3000;
    for (std::size_t i = 0; i < count; ++i) {
        all.open();
        REQUIRE_FALSE(all.m_last_refusal.has_value());
        all.pass(milliseconds(10));
    }
    CHECK(all.m_budget.m_ports.front().m_count == count);
    CHECK(all.m_budget.m_closed == decltype(all.m_budget.m_closed){});
}

TEST_CASE("the ports together leave descriptors for files and for calls to others",
          "[connection_budget]")
{
    const budget_limits limits = derive_budget_limits(smallest_memory_mb, smallest_descriptors);
    std::size_t sum = 0;
    for (const port_limits& port : limits.m_ports) {
        sum += port.m_connections;
    }
    constexpr std::size_t files = 200;
    constexpr std::size_t calls = 450; // To 146 peers, to the workers of a service, to the store.
    CHECK(sum + files + calls <= smallest_descriptors);
}

TEST_CASE("the largest and slowest connection is closed for memory before small ones",
          "[connection_budget]")
{
    counted_connections all(small_limits(100 * kilobyte, 100, 100));
    fake_connection& large_and_old = all.read(60 * kilobyte);
    fake_connection& small_and_old = all.read(kilobyte);
    all.pass(milliseconds(2000));
    fake_connection& large_and_new = all.read(30 * kilobyte);
    fake_connection& last = all.read(20 * kilobyte);
    CHECK(large_and_old.m_closed == 1);
    CHECK(large_and_old.m_close_reason == budget_reason::memory);
    CHECK(small_and_old.m_closed == 0);
    CHECK(large_and_new.m_closed == 0);
    CHECK(last.m_closed == 0);
}

TEST_CASE("many small connections are closed in the order of their cost until enough is free",
          "[connection_budget]")
{
    counted_connections all(small_limits(64 * kilobyte, 100, 100));
    constexpr std::size_t count = 16;
    for (std::size_t i = 0; i < count; ++i) {
        all.read(4 * kilobyte);
        all.pass(milliseconds(500));
    }
    all.read(kilobyte);
    std::size_t closed = 0;
    for (const auto& one : all.m_connections) {
        closed += one->m_close_reason ? 1 : 0;
    }
    CHECK(closed == 3); // Down to seven eighths of the limit.
    CHECK(all.m_connections.front()->m_closed == 1);
    CHECK(all.m_connections.back()->m_closed == 0);
}

TEST_CASE("a request that was handed on is not closed for memory", "[connection_budget]")
{
    counted_connections all(small_limits(100 * kilobyte, 100, 100));
    fake_connection& handled = all.read(90 * kilobyte);
    enter_state(all.m_budget, handled, connection_state::handling);
    all.pass(milliseconds(5000));
    fake_connection& refused = all.read(20 * kilobyte);
    CHECK(handled.m_closed == 0);
    CHECK(refused.m_close_reason == budget_reason::memory);
    CHECK_FALSE(hold(all.m_budget, refused, 21 * kilobyte));
}

TEST_CASE("answers that are not taken are closed for memory", "[connection_budget]")
{
    counted_connections all(small_limits(100 * kilobyte, 100, 100));
    fake_connection& not_taken = all.open();
    enter_state(all.m_budget, not_taken, connection_state::writing);
    hold(all.m_budget, not_taken, 80 * kilobyte);
    all.pass(milliseconds(1000));
    fake_connection& reading = all.read(30 * kilobyte);
    CHECK(not_taken.m_closed == 1);
    CHECK(reading.m_closed == 0);
}

TEST_CASE("bytes are counted until a closed connection leaves, and none twice",
          "[connection_budget]")
{
    counted_connections all(small_limits(100 * kilobyte, 100, 100));
    fake_connection& first = all.read(60 * kilobyte);
    all.pass(milliseconds(1000));
    all.read(50 * kilobyte);
    REQUIRE(first.m_close_reason.has_value());
    CHECK(all.m_budget.m_bytes == 110 * kilobyte);
    fake_connection& third = all.read(40 * kilobyte);
    CHECK(third.m_closed == 0);
    leave(all.m_budget, first);
    CHECK(all.m_budget.m_bytes == 90 * kilobyte);
    CHECK(all.m_budget.m_closing_bytes == 0);
}

TEST_CASE("on a full port the slowest connection makes room", "[connection_budget]")
{
    counted_connections all(small_limits(kilobyte, 2, 2));
    fake_connection& idle = all.open(1);
    all.pass(milliseconds(700));
    fake_connection& later = all.open(2);
    all.pass(milliseconds(700));
    fake_connection& newest = all.open(3);
    CHECK_FALSE(all.m_last_refusal.has_value());
    CHECK(idle.m_close_reason == budget_reason::connections);
    CHECK(later.m_closed == 0);
    CHECK(newest.m_closed == 0);
    CHECK(all.m_budget.m_ports.front().m_count == 2);
}

TEST_CASE("on a full port a new connection is refused if no other is slow", "[connection_budget]")
{
    counted_connections all(small_limits(kilobyte, 2, 2));
    all.open(1);
    fake_connection& handled = all.open(2);
    enter_state(all.m_budget, handled, connection_state::handling);
    all.pass(milliseconds(500));
    all.open(3);
    CHECK(all.m_last_refusal == budget_reason::connections);
    CHECK(handled.m_closed == 0);
}

TEST_CASE("one address does not take all connections", "[connection_budget]")
{
    counted_connections all(small_limits(kilobyte, 4, 3));
    for (int i = 0; i < 4; ++i) {
        all.open(1);
    }
    CHECK(all.m_last_refusal == budget_reason::address);
    all.open(2);
    CHECK_FALSE(all.m_last_refusal.has_value());
    all.pass(milliseconds(2000));
    all.open(1);
    CHECK_FALSE(all.m_last_refusal.has_value());
    CHECK(all.m_connections.front()->m_close_reason == budget_reason::address);
}

TEST_CASE("a crowd on one port leaves the connections of the others", "[connection_budget]")
{
    counted_connections all(small_limits(kilobyte, 2, 2));
    for (int i = 0; i < 5; ++i) {
        all.open(1);
    }
    all.open(1, budget_port::readiness);
    CHECK_FALSE(all.m_last_refusal.has_value());
}

TEST_CASE("connections are closed when the time of their state is over", "[connection_budget]")
{
    counted_connections all(small_limits(100 * kilobyte, 100, 100));
    const state_timeouts timeouts{milliseconds(15000), milliseconds(3000), milliseconds(3000),
                                  milliseconds(0), milliseconds(5000)};
    fake_connection& idle = all.open();
    fake_connection& handled = all.open();
    enter_state(all.m_budget, handled, connection_state::handling);
    fake_connection& slow = all.read(1);
    all.pass(milliseconds(3000));
    close_expired(all.m_budget, budget_port::callers, timeouts);
    CHECK(slow.m_closed == 0);
    all.pass(milliseconds(1));
    close_expired(all.m_budget, budget_port::callers, timeouts);
    CHECK(slow.m_close_reason == budget_reason::body_timeout);
    all.pass(milliseconds(20000));
    close_expired(all.m_budget, budget_port::callers, timeouts);
    CHECK(slow.m_closed == 1);
    CHECK(idle.m_close_reason == budget_reason::idle_timeout);
    CHECK(handled.m_closed == 0);
}

TEST_CASE("addresses of one IPv6 network count as one", "[connection_budget]")
{
    const auto source = [](const char* text) { return source_of(asio::ip::make_address(text)); };
    CHECK(source("2001:db8::1") == source("2001:db8::ffff:1"));
    CHECK(source("2001:db8::1") != source("2001:db8:0:1::1"));
    CHECK(source("::ffff:127.0.0.1") == source("127.0.0.1"));
}
