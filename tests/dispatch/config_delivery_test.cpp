#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "dispatch/prefix_watch.h"
#include "net/http_status.h"
#include "platform/operator_records.h"
#include "support/local_host.h"
#include "support/loopback.h"
#include "support/paced_store.h"

using namespace guavabay;
using guavabay::test::free_address;
using guavabay::test::local_host;
using guavabay::test::paced_store;
using guavabay::test::run_until;
using guavabay::test::to_text;
using guavabay::test::wait_limit;

namespace {

const std::string config_key(platform::config_key);

/// Bandwidth of a link on which a value of `slow_value_bytes`, sent as base64, takes longer than
/// the longest long poll with its margin.
constexpr std::size_t slow_link_bytes_per_s = 100'000;
constexpr std::size_t slow_value_bytes = 220'000;

/// A valid configuration with a number of routes.
std::string make_config(std::int64_t version, std::size_t routes)
{
    boost::json::array list;
    for (std::size_t i = 0; i < routes; ++i) {
        list.push_back({{"name", "queue-" + std::to_string(i)},
                        {"host", "callers.example"},
                        {"prefix", "/queue-" + std::to_string(i) + "/"},
                        {"service", "service-a"}});
    }
    return boost::json::serialize(
        boost::json::object{{"version", version},
                            {"routes", std::move(list)},
                            {"services", boost::json::array{{{"name", "service-a"}}}}});
}

/// A watch of the operator's records on a store whose answers are paced.
struct watched_store {
    watched_store()
        : m_store(m_context), m_http(m_context, 4), m_client(m_http, m_store.address()),
          m_watch(m_context, m_client, "op/", [](const std::vector<std::string>&) {})
    {
    }

    /// Starts the watch with a configuration in the store; false if it is not loaded.
    bool load(std::string config)
    {
        const revision written = m_store.put(config_key, std::move(config));
        m_watch.start();
        return run_until(m_context, [&] { return has(written); });
    }

    /// True if the local copy holds this revision of the configuration or a newer one.
    [[nodiscard]] bool has(revision wanted) const
    {
        const auto found = m_watch.items().find(config_key);
        return found != m_watch.items().end() && found->second.m_revision >= wanted;
    }

    asio::io_context m_context;
    paced_store m_store;
    http_client m_http;
    store_client m_client;
    prefix_watch m_watch;
};

/// Sends a GET request and returns the answer.
http_answer get(asio::io_context& context, http_client& http, const ip_address& address,
                const std::string& target)
{
    http_answer answer;
    bool answered = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http_call request{"GET", target, {}, {}};
            answer = co_await http.call(address, std::move(request), milliseconds(500));
            answered = true;
        },
        asio::detached);
    run_until(context, [&] { return answered; });
    return answer;
}

} // namespace

// Guards against a record that a host never loads because each transfer is abandoned half way.
TEST_CASE("a record whose transfer outlasts the read timeout is loaded", "[config_delivery]")
{
    watched_store watched;
    const revision written = watched.m_store.put(config_key, std::string(slow_value_bytes, 'x'));
    watched.m_store.m_bytes_per_s = slow_link_bytes_per_s;
    watched.m_watch.start();
    CHECK(run_until(watched.m_context, [&] { return watched.has(written); }));
}

// Guards against a change that a host never receives because each transfer is abandoned half way.
TEST_CASE("a change whose transfer outlasts the long poll is received", "[config_delivery]")
{
    watched_store watched;
    REQUIRE(watched.load("{}"));
    watched.m_store.m_bytes_per_s = slow_link_bytes_per_s;
    const revision second = watched.m_store.put(config_key, std::string(slow_value_bytes, 'x'));
    CHECK(run_until(watched.m_context, [&] { return watched.has(second); }));
    CHECK(watched.m_store.copies_sent(config_key) == 2);
}

// Guards against waiting for ever on a connection that fell silent in the middle of an answer.
TEST_CASE("a transfer that stalls is repeated on another connection", "[config_delivery]")
{
    watched_store watched;
    REQUIRE(watched.load("{}"));
    watched.m_store.m_stall = true;
    const revision second = watched.m_store.put(config_key, std::string(slow_value_bytes, 'x'));
    REQUIRE(
        run_until(watched.m_context, [&] { return watched.m_store.copies_sent(config_key) == 2; }));
    CHECK_FALSE(run_until(
        watched.m_context, [&] { return watched.has(second); }, milliseconds(300)));
    watched.m_store.m_stall = false;
    CHECK(run_until(watched.m_context, [&] { return watched.has(second); }));
}

// Guards against a host that asks no peer for the configuration, because it takes the refusals of
// the store for a transfer in progress.
TEST_CASE("refusals of the store do not count as received data", "[config_delivery]")
{
    watched_store watched;
    watched.m_store.put(config_key, "{}");
    watched.m_store.m_refuse_status = http_status::unavailable;
    watched.m_watch.start();
    REQUIRE(run_until(watched.m_context, [&] { return watched.m_client.call_count() >= 3; }));
    CHECK(watched.m_watch.last_received_at() == time_point{});
    watched.m_store.m_refuse_status = 0;
    REQUIRE(run_until(watched.m_context, [&] { return watched.m_watch.is_loaded(); }));
    CHECK(watched.m_watch.last_received_at() > time_point{});
}

// Guards against a host that falls further behind with each change, because it receives every
// version since its last poll.
TEST_CASE("a watch that has fallen behind skips superseded versions", "[config_delivery]")
{
    constexpr std::size_t value_bytes = 40'000;
    constexpr int versions_per_transfer = 6;
    watched_store watched;
    const auto put_versions = [&](int count) {
        revision last;
        for (int i = 0; i < count; ++i) {
            last = watched.m_store.put(config_key, std::string(value_bytes, 'x'));
        }
        return last;
    };
    REQUIRE(watched.load(std::string(value_bytes, 'x')));
    watched.m_store.m_bytes_per_s = slow_link_bytes_per_s * 2;

    // Changes come faster than the link can carry them: each transfer finds several new versions.
    const std::size_t before = watched.m_store.copies_sent(config_key);
    revision last = put_versions(1);
    std::size_t versions_written = 1;
    for (int transfer = 1; transfer <= 5; ++transfer) {
        const std::size_t copies = watched.m_store.copies_sent(config_key);
        REQUIRE(run_until(watched.m_context, [&] {
            return watched.m_store.copies_sent(config_key) > copies || watched.has(last);
        }));
        last = put_versions(versions_per_transfer);
        versions_written += versions_per_transfer;
    }
    CHECK(run_until(watched.m_context, [&] { return watched.has(last); }));
    CHECK(watched.m_store.copies_sent(config_key) - before < versions_written / 2);
}

// Guards against links that fill with copies of the configuration, which delay the next version and
// so cause more copies.
TEST_CASE("a peer that lags behind is sent each version at most once", "[config_delivery]")
{
    constexpr int greetings = 20;
    asio::io_context context;
    paced_store store(context);
    const revision written = store.put(config_key, make_config(1, 300));
    const ip_address peer_address = free_address(context);
    int copies = 0;
    std::int64_t announced = 0;
    host_link peer(context, peer_address,
                   [&](host_message message, bool) -> asio::awaitable<std::optional<host_message>> {
                       if (const auto* received = std::get_if<greeting>(&message)) {
                           copies += received->m_config.empty() ? 0 : 1;
                           announced = std::max(announced, received->m_config_revision);
                       }
                       co_return std::nullopt;
                   });
    local_host host(context, "host-a", store.address(), {to_text(peer_address)});
    REQUIRE(run_until(context, [&] { return announced == written.get(); }));

    greeting behind;
    behind.m_host = "host-b";
    behind.m_address = to_text(peer_address);
    behind.m_config_revision = 1;
    behind.m_store_answers = true;
    for (int i = 0; i < greetings; ++i) {
        peer.send(to_text(host.m_peer_address), behind);
        context.run_for(milliseconds(20));
    }
    context.run_for(milliseconds(200));
    CHECK(copies <= 1);
}

// Guards against a host that stays unready although a peer has the configuration.
TEST_CASE("a host that the store refuses gets the configuration from a peer", "[config_delivery]")
{
    asio::io_context context;
    paced_store store(context);
    store.put(config_key, make_config(1, 300));
    paced_store refusing(context);
    refusing.m_refuse_status = http_status::unavailable;
    const local_host served(context, "host-a", store.address(), {});
    const local_host refused(context, "host-b", refusing.address(),
                             {to_text(served.m_peer_address)});
    http_client http(context, 1);
    bool ready = false;
    const time_point end = read_clock() + wait_limit;
    while (!ready && read_clock() < end) {
        ready = get(context, http, refused.m_readiness_address, "/").m_status == http_status::ok;
        context.run_for(milliseconds(50));
    }
    CHECK(ready);
}

// The names are those of docs/OPERATIONS.md.
TEST_CASE("metrics tell what arrived from the store and from peers", "[config_delivery]")
{
    asio::io_context context;
    paced_store store(context);
    store.put(config_key, make_config(1, 300));
    const local_host first(context, "host-a", store.address(), {});
    const local_host second(context, "host-b", store.address(), {to_text(first.m_peer_address)});
    http_client http(context, 1);
    std::string text;
    const auto value = [&text](const std::string& name) {
        const std::size_t at = text.find("\n" + name + " ");
        REQUIRE(at != std::string::npos);
        return std::stod(text.substr(at + name.size() + 2));
    };
    CHECK(run_until(context, [&] {
        text = get(context, http, second.m_metrics_address, "/metrics").m_body;
        return !text.empty() && value("guavabay_store_received_bytes_total") > 20'000 &&
               value("guavabay_peer_sent_total{message=\"greeting\"}") >= 1;
    }));
    CHECK(value("guavabay_peer_sent_total{message=\"greeting\"}") >= 1);
    CHECK(value("guavabay_peer_sent_bytes_total{message=\"greeting\"}") > 0);
    CHECK(value("guavabay_peer_received_total{message=\"relay_reply\"}") == 0);
    CHECK(value("guavabay_peer_received_bytes_total{message=\"greeting\"}") < 20'000);
}
