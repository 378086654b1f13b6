#include <catch2/catch.hpp>
#include <memory>

#include "dispatch/dispatcher.h"
#include "dispatch/request_notes.h"
#include "net/http_status.h"
#include "platform/operator_records.h"
#include "support/captured_log.h"
#include "support/loopback.h"
#include "support/paced_store.h"

using namespace guavabay;
using guavabay::test::captured_log;
using guavabay::test::paced_store;
using guavabay::test::run_until;

namespace {

const std::string id = "00000000000000a1";

request_note make_note(owner_answer answer, milliseconds time)
{
    return {"DELETE",
            submission_id(id),
            queue_id("queue-a"),
            service_id("service-a"),
            "host-b",
            answer,
            time,
            7};
}

/// An entry host with loopback addresses and a route of the path /queue-a/.
struct local_host {
    local_host()
    {
        m_store.put(std::string(platform::config_key), make_config("/queue-a/"));
        host_settings settings;
        settings.m_host = host_id("host-a");
        settings.m_zone = zone_id("zone-a");
        settings.m_caller_address = m_caller_address;
        settings.m_readiness_address = free_address();
        settings.m_peer_address = free_address();
        settings.m_metrics_address = m_metrics_address;
        settings.m_store_address = m_store.address();
        m_host = std::make_unique<dispatcher>(m_context, std::move(settings));
        m_host->start();
    }

    static std::string make_config(const std::string& prefix)
    {
        return R"({"version":5,"routes":[{"name":"queue-a","host":"127.0.0.1","prefix":")" +
               prefix + R"(","service":"service-a"}],"services":[{"name":"service-a"}]})";
    }

    ip_address free_address()
    {
        m_probes.emplace_back(m_context,
                              asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        const std::uint16_t port = m_probes.back().local_endpoint().port();
        m_probes.back().close();
        return {asio::ip::make_address("127.0.0.1"), port};
    }

    /// Sends a request and returns the answer.
    http_answer call(const std::string& method, const ip_address& address,
                     const std::string& target)
    {
        std::optional<http_answer> answer;
        asio::co_spawn(
            m_context,
            [&]() -> asio::awaitable<void> {
                http_call request{method, target, {}, {}};
                answer = co_await m_http.call(address, std::move(request), seconds(3));
            },
            asio::detached);
        REQUIRE(run_until(m_context, [&] { return answer.has_value(); }));
        return *answer;
    }

    /// Repeats a request until it is answered with a status; false if it is not.
    bool call_until(const std::string& method, const std::string& target, unsigned status)
    {
        for (int i = 0; i < 100; ++i) {
            if (call(method, m_caller_address, target).m_status == status) {
                return true;
            }
            m_context.run_for(milliseconds(100));
        }
        return false;
    }

    asio::io_context m_context;
    std::vector<asio::ip::tcp::acceptor> m_probes;
    paced_store m_store{m_context};
    http_client m_http{m_context, 4};
    ip_address m_caller_address = free_address();
    ip_address m_metrics_address = free_address();
    std::unique_ptr<dispatcher> m_host;
};

} // namespace

TEST_CASE("a cancellation is logged unless it is done at once", "[request_notes]")
{
    CHECK(describe_cancellation(make_note(owner_answer::done, milliseconds(20))).empty());
    CHECK(describe_cancellation(make_note(owner_answer::done, milliseconds(900))) ==
          "dispatch: cancellation not done at once id=" + id +
              " queue=queue-a service=service-a owner=host-b answer=0 after_ms=900 config=7");
    request_note unowned = make_note(owner_answer::not_owner, milliseconds(460));
    unowned.m_owner.clear();
    CHECK(describe_cancellation(unowned) ==
          "dispatch: cancellation not done at once id=" + id +
              " queue=queue-a service=service-a owner=none answer=3 after_ms=460 config=7");
}

TEST_CASE("an unknown id and a missing route are logged once for each request", "[request_notes]")
{
    remembered_keys noted;
    const time_point now(seconds(5));
    const request_note none = make_note(owner_answer::none, milliseconds(3));
    CHECK_FALSE(describe_unknown_id(none, noted, now).empty());
    CHECK(describe_unknown_id(none, noted, now).empty());
    request_note other_service = none;
    other_service.m_service = service_id("service-b");
    CHECK_FALSE(describe_unknown_id(other_service, noted, now).empty());

    operator_config config;
    config.m_version = 9;
    const std::string path = "/queue-x/" + id;
    const auto describe = [&](const std::string& method, const std::string& what) {
        return describe_missing_route(method, "callers", what, config, noted, now);
    };
    CHECK(describe("DELETE", path) == "dispatch: no route for an id method=DELETE id=" + id +
                                          " host=callers path=" + path + " config=9 routes=0");
    CHECK(describe("DELETE", path).empty());
    CHECK_FALSE(describe("POST", path).empty());
    CHECK(describe("DELETE", "/queue-x/").empty());
    CHECK(describe("DELETE", "/favicon.ico").empty());
    CHECK(describe("DELETE", "").empty());
}

// Guards against a cancellation that no shard carries out and that no log tells of: another shard
// or none was found by the route.
TEST_CASE("an entry host logs a cancellation that reaches no submission", "[request_notes]")
{
    local_host host;
    const captured_log log;
    REQUIRE(host.call_until("DELETE", "/queue-a/" + id, http_status::gone));
    const std::string unknown = log.lines_with("dispatch: cancellation not done at once id=" + id);
    CHECK(unknown.find(" queue=queue-a service=service-a owner=host-a answer=2 after_ms=") !=
          std::string::npos);
    CHECK_FALSE(log.lines_with("shard: cancellation of an unknown submission: id=" + id).empty());

    CHECK(host.call("GET", host.m_caller_address, "/queue-a/" + id).m_status == http_status::gone);
    CHECK(host.call("GET", host.m_caller_address, "/queue-a/" + id).m_status == http_status::gone);
    const std::string asked = log.lines_with("dispatch: id not known method=GET id=" + id);
    CHECK(std::count(asked.begin(), asked.end(), '\n') == 1);

    const std::string metrics = host.call("GET", host.m_metrics_address, "/metrics").m_body;
    CHECK(metrics.find("\nguavabay_cancellations_total{service=\"service-a\",outcome=\"unknown\"} "
                       "1.0") != std::string::npos);

    host.m_store.put(std::string(platform::config_key), host.make_config("/queue-b/"));
    REQUIRE(host.call_until("DELETE", "/queue-a/" + id, http_status::not_found));
    const std::string unrouted = log.lines_with("dispatch: no route for an id method=DELETE id=");
    CHECK(unrouted.find(id + " host=127.0.0.1:") != std::string::npos);
    CHECK(unrouted.find(" path=/queue-a/" + id + " config=5 routes=1\n") != std::string::npos);
}
