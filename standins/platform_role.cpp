#include <boost/json.hpp>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "core/json_fields.h"
#include "core/time.h"
#include "fleet/wave_plan.h"
#include "net/address.h"
#include "net/asio.h"
#include "net/base64.h"
#include "roles.h"

namespace standins {

using namespace guavabay;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds work_interval{50};
const std::string prefix = "guavabay/";

/// The platform's side of the fleet: empties hosts that drain and reboots hosts that are away.
class platform_role {
public:
    platform_role(asio::io_context& context, const options& given)
        : m_context(context), m_store(*parse_address(given.text("store"))),
          m_drain(given.number("drain-ms", 100)), m_reboot(given.number("reboot-ms", 300)),
          m_pools(given.text("pools", "conversion:8,administrative:4"))
    {
        asio::co_spawn(m_context, work(), asio::detached);
    }

private:
    struct machine {
        host_state m_seen = host_state::serving;
        time_point m_since{};
        host_report m_report{true, false, {}, {}};
        bool m_reported = false;
    };

    asio::awaitable<std::string> call(std::string target, std::string body)
    {
        beast::tcp_stream stream(m_context);
        stream.expires_after(std::chrono::seconds(2));
        error_code error;
        co_await stream.async_connect(m_store.tcp(), to_coroutine(error));
        http::request<http::string_body> request(http::verb::post, target, 11);
        request.body() = std::move(body);
        request.prepare_payload();
        http::response<http::string_body> response;
        if (!error) {
            co_await http::async_write(stream, request, to_coroutine(error));
        }
        beast::flat_buffer buffer;
        if (!error) {
            co_await http::async_read(stream, buffer, response, to_coroutine(error));
        }
        co_return error ? std::string() : response.body();
    }

    asio::awaitable<void> put(std::string key, std::string value)
    {
        const json::object body{{"key", to_base64(prefix + key)}, {"value", to_base64(value)}};
        co_await call("/v3/kv/put", json::serialize(body));
    }

    asio::awaitable<void> add_hosts()
    {
        std::stringstream stream(m_pools);
        std::string part;
        int rack = 0;
        while (std::getline(stream, part, ',')) {
            const std::size_t colon = part.find(':');
            const int count = std::stoi(part.substr(colon + 1));
            for (int i = 0; i < count; ++i) {
                rack += i % 4 == 0 ? 1 : 0;
                fleet_host host;
                host.m_id = worker_id(part.substr(0, colon) + "-" + std::to_string(i));
                host.m_pool = pool_id(part.substr(0, colon));
                host.m_rack = rack_id("r" + std::to_string(rack));
                host.m_zone = zone_id("z" + std::to_string(rack % 3 + 1));
                co_await put("host/" + host.m_id.str(), format_fleet_host(host));
            }
        }
    }

    asio::awaitable<void> work()
    {
        co_await add_hosts();
        asio::steady_timer timer(m_context);
        while (true) {
            const json::object body{{"key", to_base64(prefix + "host/")},
                                    {"range_end", to_base64(prefix + "host0")}};
            const std::string answer = co_await call("/v3/kv/range", json::serialize(body));
            const auto object = parse_json_object(answer);
            if (object && object->contains("kvs")) {
                for (const json::value& entry : object->at("kvs").as_array()) {
                    co_await work_on(entry.as_object());
                }
            }
            timer.expires_after(work_interval);
            error_code ignored;
            co_await timer.async_wait(to_coroutine(ignored));
        }
    }

    asio::awaitable<void> work_on(const json::object& entry)
    {
        const std::string key = from_base64(text_field(entry, "key")).value_or("");
        const std::string name = key.substr(prefix.size() + 5);
        const std::string value = from_base64(text_field(entry, "value")).value_or("");
        const auto host = parse_fleet_host(name, value);
        if (!host) {
            co_return;
        }
        machine& one = m_machines[name];
        const host_report before = one.m_report;
        advance(one, *host);
        const bool changed = before.m_up != one.m_report.m_up ||
                             before.m_empty != one.m_report.m_empty ||
                             before.m_maintained != one.m_report.m_maintained;
        if (changed || !one.m_reported) {
            one.m_reported = true;
            co_await put("report/" + name, format_host_report(one.m_report));
        }
    }

    void advance(machine& one, const fleet_host& host) const
    {
        const time_point now = read_clock();
        if (host.m_state != one.m_seen) {
            one.m_seen = host.m_state;
            one.m_since = now;
            one.m_report.m_empty = host.m_state == host_state::away;
            one.m_report.m_up = host.m_state != host_state::away;
        }
        if (host.m_state == host_state::draining && now - one.m_since >= m_drain) {
            one.m_report.m_empty = true;
        }
        if (host.m_state == host_state::away && now - one.m_since >= m_reboot) {
            one.m_report.m_up = true;
            one.m_report.m_maintained = wave_number(host.m_maintained.get() + 1);
        }
    }

    asio::io_context& m_context;
    ip_address m_store;
    milliseconds m_drain;
    milliseconds m_reboot;
    std::string m_pools;
    std::map<std::string, machine> m_machines;
};

} // namespace

int run_platform(const options& given)
{
    asio::io_context context(1);
    const platform_role role(context, given);
    context.run();
    return 0;
}

} // namespace standins
