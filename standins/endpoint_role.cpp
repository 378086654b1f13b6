#include <boost/json.hpp>
#include <cmath>
#include <fstream>
#include <iostream>
#include <random>
#include <set>

#include "net/address.h"
#include "net/asio.h"
#include "net/base64.h"
#include "roles.h"
#include "switches.h"

namespace standins {

using namespace guavabay;
namespace json = boost::json;

namespace {

std::int64_t wall_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// The stand-in endpoint: a number of slots and connections, a record of each run, and faults.
class endpoint_role {
public:
    endpoint_role(asio::io_context& context, const options& given)
        : m_context(context), m_given(given), m_name(given.text("name", "e1")),
          m_address("127.0.0.1:" + given.text("port")),
          m_acceptor(context, parse_address(m_address)->tcp()),
          m_random(static_cast<std::uint64_t>(given.number("seed", 1))),
          m_slots(given.number("slots", 8)), m_max_connections(given.number("connections", 64))
    {
        if (!given.text("record").empty()) {
            m_record.open(given.text("record"), std::ios::app);
        }
        asio::co_spawn(m_context, accept(), asio::detached);
        if (!given.text("store").empty()) {
            asio::co_spawn(m_context, list("live"), asio::detached);
        }
    }

private:
    /// Writes this endpoint's listing into the store, as the platform would.
    asio::awaitable<void> list(std::string state)
    {
        const json::object listing{{"address", m_address},
                                   {"zone", m_given.text("zone", "z1")},
                                   {"rack", m_given.text("rack", "r1")},
                                   {"slots", m_slots},
                                   {"state", state}};
        const std::string key =
            "guavabay/endpoint/" + m_given.text("service", "convert") + "/" + m_name;
        const json::object body{{"key", to_base64(key)},
                                {"value", to_base64(json::serialize(listing))}};
        asio::steady_timer timer(m_context);
        for (int attempt = 0; attempt < 100; ++attempt) {
            beast::tcp_stream stream(m_context);
            error_code error;
            co_await stream.async_connect(parse_address(m_given.text("store"))->tcp(),
                                          to_coroutine(error));
            http::request<http::string_body> request(http::verb::post, "/v3/kv/put", 11);
            request.body() = json::serialize(body);
            request.prepare_payload();
            if (!error) {
                co_await http::async_write(stream, request, to_coroutine(error));
            }
            beast::flat_buffer buffer;
            http::response<http::string_body> response;
            if (!error) {
                co_await http::async_read(stream, buffer, response, to_coroutine(error));
            }
            if (!error) {
                co_return;
            }
            timer.expires_after(std::chrono::milliseconds(100));
            co_await timer.async_wait(to_coroutine(error));
        }
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            error_code error;
            auto socket = co_await m_acceptor.async_accept(to_coroutine(error));
            if (!error && m_connections < m_max_connections) {
                asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
            }
        }
    }

    asio::awaitable<void> pause(long milliseconds)
    {
        asio::steady_timer timer(m_context, std::chrono::milliseconds(milliseconds));
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }

    /// Never ends while connections that were open at a moment stay silent.
    asio::awaitable<void> stay_silent()
    {
        while (true) {
            co_await pause(1000);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        ++m_connections;
        const long opened_at = m_silenced;
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        error_code error;
        stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
        bool open = true;
        while (open) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(64U << 20U);
            co_await http::async_read_header(stream, buffer, parser, to_coroutine(error));
            if (error) {
                break;
            }
            if (opened_at != m_silenced) {
                co_await stay_silent();
            }
            if (m_switches.get("mute_header") != 0) {
                co_await stay_silent();
            }
            if (parser.get()[http::field::expect] == "100-continue") {
                const http::response<http::empty_body> go_on(http::status::continue_, 11);
                co_await http::async_write(stream, go_on, to_coroutine(error));
            }
            if (!error) {
                co_await http::async_read(stream, buffer, parser, to_coroutine(error));
            }
            if (error) {
                break;
            }
            open = co_await answer(stream, parser.release());
        }
        --m_connections;
    }

    asio::awaitable<bool> answer(beast::tcp_stream& stream,
                                 http::request<http::string_body> request)
    {
        const std::string target(request.target());
        error_code error;
        if (target.starts_with("/-/")) {
            http::response<http::string_body> response(http::status::ok, 11);
            response.body() = control(target);
            response.prepare_payload();
            co_await http::async_write(stream, response, to_coroutine(error));
            co_return !error;
        }
        const std::int64_t start = wall_ms();
        ++m_running;
        ++m_runs;
        m_overfilled += m_running > m_slots ? 1 : 0;
        m_peak = std::max(m_peak, m_running);
        const std::string id(request["X-Caller-Id"]);
        const bool idempotent =
            request.method() != http::verb::post && request.method() != http::verb::patch;
        record(id, start, idempotent);
        co_await pause(run_time());
        --m_running;
        if (m_switches.take("break")) {
            co_return false;
        }
        http::response<http::string_body> response(
            m_switches.take("fail") ? http::status::internal_server_error : http::status::ok, 11);
        response.set("X-Answered-By", m_name);
        response.body() = id + "|" + request.body() + "|" + id;
        response.prepare_payload();
        if (m_switches.take("truncate")) {
            response.content_length(response.body().size() + 100);
            http::response_serializer<http::string_body> serializer(response);
            co_await http::async_write(stream, serializer, to_coroutine(error));
            co_return false;
        }
        co_await http::async_write(stream, response, to_coroutine(error));
        co_return !error && request.keep_alive();
    }

    std::string control(const std::string& target)
    {
        if (target == "/-/leave") {
            m_leaving_since = wall_ms();
            asio::co_spawn(m_context, list("leaving"), asio::detached);
            return "leaving\n";
        }
        if (target == "/-/return") {
            m_leaving_since = 0;
            asio::co_spawn(m_context, list("live"), asio::detached);
            return "live\n";
        }
        if (target == "/-/silence") {
            ++m_silenced;
            return "silenced\n";
        }
        if (target == "/-/stats") {
            return json::serialize(json::object{{"runs", m_runs},
                                                {"running", m_running},
                                                {"peak", m_peak},
                                                {"overfilled", m_overfilled},
                                                {"connections", m_connections}}) +
                   "\n";
        }
        return m_switches.set_from_path(target) ? "set\n" : "unknown\n";
    }

    long run_time()
    {
        const long stall = m_switches.get("stall");
        const auto mean = static_cast<double>(m_given.number("service-us", 2000)) / 1000;
        std::exponential_distribution<double> distribution(1.0 / mean);
        return stall > 0 ? stall : std::lround(distribution(m_random));
    }

    void record(const std::string& id, std::int64_t start, bool idempotent)
    {
        if (m_record.is_open()) {
            m_record << json::serialize(json::object{{"id", id},
                                                     {"endpoint", m_name},
                                                     {"start_ms", start},
                                                     {"idempotent", idempotent},
                                                     {"leaving_since_ms", m_leaving_since}})
                     << std::endl;
        }
    }

    asio::io_context& m_context;
    options m_given;
    std::string m_name;
    std::string m_address;
    asio::ip::tcp::acceptor m_acceptor;
    std::mt19937_64 m_random;
    switches m_switches;
    std::ofstream m_record;
    long m_slots;
    long m_max_connections;
    long m_connections = 0;
    long m_running = 0;
    long m_runs = 0;
    long m_peak = 0;
    long m_overfilled = 0;
    long m_silenced = 0;
    std::int64_t m_leaving_since = 0;
};

} // namespace

int run_endpoint(const options& given)
{
    asio::io_context context(1);
    const endpoint_role role(context, given);
    context.run();
    return 0;
}

} // namespace standins
