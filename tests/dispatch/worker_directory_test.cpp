#include <catch2/catch.hpp>
#include <string>

#include "dispatch/worker_directory.h"
#include "support/loopback.h"
#include "support/paced_store.h"

using namespace guavabay;
using guavabay::test::paced_store;
using guavabay::test::run_until;

namespace {

/// Workers of a large fleet.
constexpr int worker_count = 1100;

/// Longest time until a change of the list is known. Machines that move between pools wait for it
/// before they get work.
constexpr milliseconds max_news_delay{500};

std::string worker_key(int index)
{
    return "servers/worker-" + std::to_string(index);
}

worker_id worker_name(int index)
{
    return worker_id("worker-" + std::to_string(index));
}

std::string make_entry(const std::string& service)
{
    return R"({"service":")" + service +
           R"(","address":"10.0.0.1:80","zone":"zone-a","state":"ready","sequence":1,)"
           R"("machine":"machine-a","labels":["kind-a","rack-a"],)"
           R"("capacity":{"cpu":64000,"mem-mb":262144,"gpu":0}})";
}

/// A directory on a store that lists a large fleet.
struct followed_fleet {
    followed_fleet()
        : m_store(m_context), m_http(m_context, 4), m_client(m_http, m_store.address()),
          m_directory(m_context, m_client,
                      [this](const worker_list_changes& changes) { record(changes); })
    {
        for (int i = 0; i < worker_count; ++i) {
            m_store.put(worker_key(i), make_entry("service-a"));
        }
        m_directory.start();
    }

    void record(const worker_list_changes& changes)
    {
        ++m_notifications;
        for (const worker_listing& listing : changes.m_updated) {
            m_workers[listing.m_id] = listing;
        }
        for (const worker_id& id : changes.m_removed) {
            m_workers.erase(id);
        }
    }

    bool follow()
    {
        m_directory.set_needed(true);
        return run_until(m_context, [this] { return m_directory.is_loaded(); });
    }

    asio::io_context m_context;
    paced_store m_store;
    http_client m_http;
    store_client m_client;
    std::map<worker_id, worker_listing> m_workers;
    int m_notifications = 0;
    worker_directory m_directory;
};

} // namespace

// Guards against machines that move between pools and idle because the owner of their new pool
// learns of them with the next reading of the whole list.
TEST_CASE("a worker that joins a large fleet is known at once", "[worker_directory]")
{
    followed_fleet fleet;
    REQUIRE(fleet.follow());
    REQUIRE(fleet.m_workers.size() == worker_count);
    fleet.m_store.put(worker_key(worker_count), make_entry("service-a"));
    CHECK(run_until(
        fleet.m_context, [&] { return fleet.m_workers.contains(worker_name(worker_count)); },
        max_news_delay));
    fleet.m_store.remove(worker_key(0));
    CHECK(run_until(
        fleet.m_context, [&] { return !fleet.m_workers.contains(worker_name(0)); },
        max_news_delay));
}

// Guards against readings of the whole list at intervals, whose cost grows with the fleet.
TEST_CASE("the entries of a large fleet are transferred once", "[worker_directory]")
{
    followed_fleet fleet;
    REQUIRE(fleet.follow());
    for (int i = 0; i < 30; ++i) {
        fleet.m_store.put(worker_key(worker_count + i), make_entry("service-a"));
        fleet.m_context.run_for(milliseconds(100));
    }
    CHECK(run_until(
        fleet.m_context, [&] { return fleet.m_workers.size() == worker_count + 30; },
        max_news_delay));
    CHECK(fleet.m_store.copies_sent(worker_key(1)) == 1);
}

// Guards against a call to the store for each of many changes.
TEST_CASE("changes of the worker list that come together share calls", "[worker_directory]")
{
    followed_fleet fleet;
    REQUIRE(fleet.follow());
    const std::uint64_t before = fleet.m_client.call_count();
    const time_point started_at = read_clock();
    for (int i = 0; i < 300; ++i) {
        fleet.m_store.put(worker_key(i), make_entry("service-b"));
        fleet.m_context.run_for(milliseconds(3));
    }
    CHECK(run_until(fleet.m_context, [&] {
        return fleet.m_workers.at(worker_name(299)).m_service == service_id("service-b");
    }));
    // One call in 200 ms, and those that begin and end the time.
    const auto intervals =
        static_cast<std::uint64_t>((read_clock() - started_at) / milliseconds(200));
    CHECK(fleet.m_client.call_count() - before <= intervals + 2);
}

// Guards against workers that left while the list was not followed and are used again.
TEST_CASE("a list that was not followed is read again", "[worker_directory]")
{
    followed_fleet fleet;
    REQUIRE(fleet.follow());
    fleet.m_directory.set_needed(false);
    CHECK_FALSE(fleet.m_directory.is_loaded());
    // Longer than a long poll, after which no call may follow.
    fleet.m_context.run_for(milliseconds(1700));
    const std::uint64_t calls = fleet.m_client.call_count();
    fleet.m_store.remove(worker_key(0));
    fleet.m_context.run_for(milliseconds(300));
    CHECK(fleet.m_client.call_count() == calls);
    REQUIRE(fleet.follow());
    CHECK_FALSE(fleet.m_workers.contains(worker_name(0)));
    CHECK(fleet.m_directory.listings().size() == worker_count - 1);
}

// Guards against a directory that is needed again before its last call has ended and then never
// becomes complete.
TEST_CASE("a list that is soon needed again becomes complete", "[worker_directory]")
{
    followed_fleet fleet;
    REQUIRE(fleet.follow());
    fleet.m_directory.set_needed(false);
    fleet.m_context.run_for(milliseconds(20));
    CHECK(fleet.follow());
}

// Guards against an entry of another writer that ends the process or hides other workers.
TEST_CASE("an unusable entry names no worker", "[worker_directory]")
{
    followed_fleet fleet;
    REQUIRE(fleet.follow());
    fleet.m_store.put(worker_key(0), "\xff not JSON");
    fleet.m_store.put(worker_key(1), R"({"service":7,"state":"unknown"})");
    REQUIRE(run_until(fleet.m_context, [&] { return !fleet.m_workers.contains(worker_name(1)); }));
    CHECK_FALSE(fleet.m_workers.contains(worker_name(0)));
    CHECK(fleet.m_workers.size() == worker_count - 2);
    fleet.m_store.put(worker_key(0), make_entry("service-a"));
    CHECK(run_until(fleet.m_context, [&] { return fleet.m_workers.contains(worker_name(0)); }));
}
