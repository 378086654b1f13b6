#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

#include "core/json_fields.h"
#include "core/time.h"
#include "fleet/task_record.h"
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
          m_pools(given.text("pools", "conversion:8,administrative:4")),
          m_run(given.number("run-ms", 1000)), m_save(given.number("save-ms", 200)),
          m_record(given.text("record", ""))
    {
        asio::co_spawn(m_context, work(), asio::detached);
    }

private:
    struct machine {
        host_state m_seen = host_state::serving;
        time_point m_since{};
        host_report m_report{true, false, {}, {8000, 16000, 0}, {}};
        bool m_reported = false;
    };

    /// A task's run on one of the machines.
    struct run {
        std::uint64_t m_attempt = 0;
        std::string m_worker;
        resources m_declared;
        time_point m_since{};
        time_point m_saving_since{};
        duration m_before{};
        bool m_active = false;
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

    /// Records whose keys lie between two, as keys without the prefix and values.
    asio::awaitable<std::vector<std::pair<std::string, std::string>>> read(std::string first,
                                                                           std::string end)
    {
        const json::object body{{"key", to_base64(prefix + first)},
                                {"range_end", to_base64(prefix + end)}};
        const std::string answer = co_await call("/v3/kv/range", json::serialize(body));
        const auto object = parse_json_object(answer);
        std::vector<std::pair<std::string, std::string>> records;
        if (object && object->contains("kvs")) {
            for (const json::value& entry : object->at("kvs").as_array()) {
                const std::string key =
                    from_base64(text_field(entry.as_object(), "key")).value_or("");
                records.emplace_back(
                    key.substr(prefix.size()),
                    from_base64(text_field(entry.as_object(), "value")).value_or(""));
            }
        }
        co_return records;
    }

    asio::awaitable<void> work()
    {
        co_await add_hosts();
        asio::steady_timer timer(m_context);
        while (true) {
            for (const auto& [key, value] : co_await read("host/", "host0")) {
                co_await work_on(key.substr(5), value);
            }
            for (const auto& [key, value] : co_await read("~pool/", "~pool0")) {
                co_await run_task(key, value);
            }
            timer.expires_after(work_interval);
            error_code ignored;
            co_await timer.async_wait(to_coroutine(ignored));
        }
    }

    asio::awaitable<void> work_on(std::string name, std::string value)
    {
        const auto host = parse_fleet_host(name, value);
        if (!host) {
            co_return;
        }
        machine& one = m_machines[name];
        const host_report before = one.m_report;
        advance(name, one, *host);
        const bool changed = before.m_up != one.m_report.m_up ||
                             before.m_empty != one.m_report.m_empty ||
                             before.m_maintained_wave != one.m_report.m_maintained_wave;
        if (changed || !one.m_reported) {
            one.m_reported = true;
            co_await put("report/" + name, format_host_report(one.m_report));
        }
    }

    [[nodiscard]] bool is_busy(const std::string& name) const
    {
        return std::any_of(m_runs.begin(), m_runs.end(), [&name](const auto& entry) {
            return entry.second.m_active && entry.second.m_worker == name;
        });
    }

    /// Starts, saves, ends or stops a task's run as the task's record says.
    asio::awaitable<void> run_task(std::string key, std::string value)
    {
        const std::size_t mark = key.find("/task/");
        const auto wanted = parse_task({}, {}, value);
        if (mark == std::string::npos || !wanted) {
            co_return;
        }
        run& one = m_runs[key];
        const time_point now = read_clock();
        const bool starts = wanted->m_state == task_state::starting && !wanted->m_cancel_requested;
        const std::string report_key = key.substr(0, mark) + "/run/" + key.substr(mark + 6);
        if (starts && wanted->m_attempt > one.m_attempt) {
            const bool doubled = one.m_active;
            one = {wanted->m_attempt,
                   wanted->m_worker.str(),
                   wanted->m_declared,
                   now,
                   {},
                   one.m_before,
                   true};
            note(key, doubled ? "double" : "start");
            co_await report(report_key, one, run_state::running);
        }
        else if (one.m_active && !starts && wanted->m_state != task_state::checkpointing) {
            co_await end(key, report_key, one, run_state::stopped);
        }
        else if (one.m_active && wanted->m_state == task_state::checkpointing) {
            one.m_saving_since = one.m_saving_since == time_point{} ? now : one.m_saving_since;
            if (now - one.m_saving_since >= m_save) {
                one.m_before += now - one.m_since;
                co_await end(key, report_key, one, run_state::saved);
            }
        }
        else if (one.m_active && one.m_before + (now - one.m_since) >= m_run) {
            co_await end(key, report_key, one, run_state::done);
        }
    }

    asio::awaitable<void> end(std::string key, std::string report_key, run& one, run_state state)
    {
        one.m_active = false;
        note(key, format_run_report({one.m_attempt, state, {}}));
        co_await report(std::move(report_key), one, state);
    }

    asio::awaitable<void> report(std::string key, const run& one, run_state state)
    {
        co_await put(std::move(key), format_run_report({one.m_attempt, state, one.m_declared}));
    }

    /// Keeps a line of what happened to a task, for scripts that check it.
    void note(const std::string& key, const std::string& what) const
    {
        if (!m_record.empty()) {
            std::ofstream(m_record, std::ios::app) << key << " " << what << "\n";
        }
    }

    void advance(const std::string& name, machine& one, const fleet_host& host) const
    {
        const time_point now = read_clock();
        if (host.m_state != one.m_seen) {
            one.m_seen = host.m_state;
            one.m_since = now;
            one.m_report.m_empty = host.m_state == host_state::away;
            one.m_report.m_up = host.m_state != host_state::away;
        }
        if (host.m_state == host_state::draining && now - one.m_since >= m_drain &&
            !is_busy(name)) {
            one.m_report.m_empty = true;
        }
        if (host.m_state == host_state::away && now - one.m_since >= m_reboot) {
            one.m_report.m_up = true;
            one.m_report.m_maintained_wave = wave_number(host.m_maintained_wave.get() + 1);
        }
    }

    asio::io_context& m_context;
    ip_address m_store;
    milliseconds m_drain;
    milliseconds m_reboot;
    std::string m_pools;
    milliseconds m_run;
    milliseconds m_save;
    std::string m_record;
    std::map<std::string, machine> m_machines;
    std::map<std::string, run> m_runs;
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
