#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <memory>

#include "core/json_fields.h"
#include "dispatch/worker_client.h"
#include "support/loopback.h"

using namespace guavabay;
using guavabay::test::run_until;

namespace json = boost::json;

namespace {

const fencing_token token(5);
const zone_id zone("zone-a");

/// A worker on loopback that runs one task and counts the calls.
class counting_worker {
public:
    explicit counting_worker(asio::io_context& context)
        : m_context(context), m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(m_context, accept(), asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    int m_holds = 0;
    int m_starts = 0;

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            error_code error;
            asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(to_coroutine(error));
            if (error) {
                co_return;
            }
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        error_code error;
        beast::flat_buffer buffer;
        while (true) {
            http::request<http::string_body> request;
            co_await http::async_read(socket, buffer, request, to_coroutine(error));
            if (error) {
                co_return;
            }
            json::object body{{"clock-ms", 1000}, {"born", 7}};
            if (request.target() == "/v1/hold") {
                ++m_holds;
                body["running-tasks"] = json::array{json::array{"a.0.0.1", 3, "cp", 40, 12}};
                body["finished"] = json::array{json::array{9, "a.0.0.2", 4, "done", ""}};
            }
            else {
                ++m_starts;
            }
            http::response<http::string_body> response;
            response.body() = json::serialize(body);
            response.prepare_payload();
            co_await http::async_write(socket, response, to_coroutine(error));
            if (error) {
                co_return;
            }
        }
    }

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

/// How the relay host treats messages.
enum class relay_mode { relays, silent, absent };

/// An owner's client, a relay host and a worker.
struct relayed_worker {
    explicit relayed_worker(relay_mode mode) : m_worker(m_context), m_mode(mode)
    {
        if (mode != relay_mode::absent) {
            m_relay_link = std::make_unique<host_link>(
                m_context, m_relay_address, [this](host_message message, bool /*reply_expected*/) {
                    return handle(std::move(message));
                });
        }
        host_record relay{host_id("relay"), 1, format(m_relay_address), zone, false, 1};
        m_members[relay.m_host] = relay;
        m_client.set_relays(m_owner_link, m_members, m_owners, host_id("owner"));
    }

    static std::string format(const ip_address& address)
    {
        return address.m_ip.to_string() + ":" + std::to_string(address.m_port);
    }

    /// An address on loopback that is free at present.
    static ip_address free_address(asio::io_context& context)
    {
        asio::ip::tcp::acceptor probe(context, {asio::ip::make_address("127.0.0.1"), 0});
        return *parse_address("127.0.0.1:" + std::to_string(probe.local_endpoint().port()));
    }

    asio::awaitable<std::optional<host_message>> handle(host_message message)
    {
        ++m_messages;
        if (m_mode == relay_mode::silent) {
            co_return std::nullopt;
        }
        if (auto* order = std::get_if<worker_order_request>(&message)) {
            host_message reply = co_await m_relay_client.relay_order(std::move(*order));
            co_return std::optional<host_message>(std::move(reply));
        }
        host_message reply =
            co_await m_relay_client.relay_hold(std::move(std::get<worker_hold_request>(message)));
        co_return std::optional<host_message>(std::move(reply));
    }

    hold_result hold()
    {
        std::optional<hold_result> result;
        asio::co_spawn(
            m_context,
            [this, &result]() -> asio::awaitable<void> {
                hold_request request{worker_id("w"), m_worker.address(), 5000, 8};
                result =
                    co_await m_client.hold(std::move(request), token, milliseconds(0), zone, true);
            },
            asio::detached);
        REQUIRE(run_until(m_context, [&] { return result.has_value(); }));
        return *result;
    }

    order_outcome start_run()
    {
        std::optional<order_outcome> result;
        asio::co_spawn(
            m_context,
            [this, &result]() -> asio::awaitable<void> {
                worker_order order;
                order.m_worker = worker_id("w");
                order.m_address = m_worker.address();
                order.m_task = {submission_id("a"), 0, 0, 1};
                order.m_run = run_number(3);
                result = co_await m_client.send_order(std::move(order), token, zone, true);
            },
            asio::detached);
        REQUIRE(run_until(m_context, [&] { return result.has_value(); }));
        return *result;
    }

    asio::io_context m_context;
    counting_worker m_worker;
    relay_mode m_mode;
    int m_messages = 0;
    ip_address m_relay_address = free_address(m_context);
    ip_address m_owner_address = free_address(m_context);
    http_client m_http{m_context, 4};
    http_client m_relay_http{m_context, 4};
    worker_client m_relay_client{m_relay_http};
    std::unique_ptr<host_link> m_relay_link;
    host_link m_owner_link{
        m_context, m_owner_address,
        [](host_message /*message*/, bool /*reply_expected*/)
            -> asio::awaitable<std::optional<host_message>> { co_return std::nullopt; }};
    std::map<host_id, host_record> m_members;
    std::map<service_id, owner_record> m_owners;
    worker_client m_client{m_http};
};

} // namespace

TEST_CASE("a relayed hold returns the worker's whole report", "[worker_client]")
{
    relayed_worker pool(relay_mode::relays);
    const auto [report, outcome] = pool.hold();
    CHECK(outcome == order_outcome::accepted);
    REQUIRE(report);
    CHECK(report->m_clock_ms == 1000);
    CHECK(report->m_incarnation_start_ms == 7);
    REQUIRE(report->m_running.size() == 1);
    CHECK(report->m_running.front().m_task == task_name{submission_id("a"), 0, 0, 1});
    CHECK(report->m_running.front().m_checkpoint == "cp");
    CHECK(report->m_running.front().m_percent == 40);
    REQUIRE(report->m_ended.size() == 1);
    CHECK(report->m_ended.front().m_number == 9);
    CHECK(pool.m_messages == 1);
    CHECK(pool.m_http.opened() == 0);
    CHECK(pool.start_run() == order_outcome::accepted);
    CHECK(pool.m_worker.m_starts == 1);
    CHECK(pool.m_http.opened() == 0);
}

// Guards against a worker whose lease ends, with all that runs on it, because the host between it
// and the owner was killed or frozen.
TEST_CASE("a worker is held directly when its relay does not answer", "[worker_client]")
{
    const relay_mode mode = GENERATE(relay_mode::silent, relay_mode::absent);
    relayed_worker pool(mode);
    const auto [report, outcome] = pool.hold();
    CHECK(outcome == order_outcome::accepted);
    CHECK(report);
    CHECK(pool.m_client.relay_failures() == 1);
    const int messages = pool.m_messages;
    pool.hold();
    CHECK(pool.m_messages == messages);
}

// Guards against a run that is started twice, or is taken for not started, after its relay failed:
// the relay may have passed the order on.
TEST_CASE("the outcome of an order that a relay has received but not answered is unknown",
          "[worker_client]")
{
    relayed_worker pool(relay_mode::silent);
    CHECK(pool.start_run() == order_outcome::unknown);
    CHECK(pool.m_worker.m_starts == 0);
}

TEST_CASE("an order that could not be sent to a relay is sent directly", "[worker_client]")
{
    relayed_worker pool(relay_mode::absent);
    CHECK(pool.start_run() == order_outcome::accepted);
    CHECK(pool.m_worker.m_starts == 1);
}

TEST_CASE("messages about workers with values out of range are rejected", "[worker_client]")
{
    const auto decodes = [](const host_message& message) {
        const std::string frame = encode_frame(1, message);
        return decode_frame(std::string_view(frame).substr(sizeof(std::uint32_t))).has_value();
    };
    const auto invalid_outcome = static_cast<order_outcome>(200);
    CHECK(decodes(worker_order_reply{order_outcome::accepted}));
    CHECK_FALSE(decodes(worker_order_reply{invalid_outcome}));
    CHECK_FALSE(decodes(worker_hold_reply{invalid_outcome, {}}));
    worker_order_request order;
    CHECK(decodes(order));
    order.m_order.m_kind = static_cast<worker_order::kind>(9);
    CHECK_FALSE(decodes(order));
    worker_hold_reply report{order_outcome::accepted, {}};
    report.m_report.m_ended.push_back({1, {}, {}, static_cast<run_end>(50), ""});
    CHECK_FALSE(decodes(report));
    relay_reply relayed;
    CHECK(decodes(relayed));
    relayed.m_progress = 7;
    CHECK_FALSE(decodes(relayed));
}
