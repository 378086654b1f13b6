#include "support/loopback_worker.h"

#include <algorithm>
#include <boost/json.hpp>

#include "core/json_fields.h"
#include "core/time.h"
#include "net/http_status.h"

namespace guavabay::test {

namespace json = boost::json;

namespace {

/// Time that a worker takes for an order.
constexpr milliseconds order_time{20};

/// Interval at which a worker looks whether its lease has ended.
constexpr milliseconds lease_check_interval{5};

/// Percent of a long-running task that is at work.
constexpr int full_percent = 100;

std::int64_t clock_ms()
{
    return std::chrono::duration_cast<milliseconds>(read_clock().time_since_epoch()).count();
}

} // namespace

loopback_worker::loopback_worker(asio::io_context& context, const std::string& name)
    : m_context(context), m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
      m_name(name)
{
    asio::co_spawn(m_context, accept(), asio::detached);
    asio::co_spawn(m_context, watch_lease(), asio::detached);
}

worker_listing loopback_worker::listing(const service_id& service) const
{
    worker_listing listing;
    listing.m_id = worker_id(m_name);
    listing.m_address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    listing.m_service = service;
    listing.m_zone = zone_id("zone-a");
    listing.m_machine = machine_id("machine-" + m_name);
    listing.m_kind = "a";
    listing.m_rack = rack_id("rack-a");
    listing.m_labels = {"a", "rack-a"};
    listing.m_capacity = {64000, 262144, 0};
    listing.m_incarnation_start_ms = 1;
    return listing;
}

void loopback_worker::silence_connections(bool idle_only)
{
    for (const std::weak_ptr<connection>& known : m_connections) {
        const std::shared_ptr<connection> open = known.lock();
        if (open && !(idle_only && open->m_calling)) {
            open->m_silent = true;
        }
    }
}

std::size_t loopback_worker::served_connections() const
{
    return static_cast<std::size_t>(
        std::count_if(m_connections.begin(), m_connections.end(), [](const auto& known) {
            const std::shared_ptr<connection> open = known.lock();
            return open && !open->m_silent;
        }));
}

bool loopback_worker::is_calling() const
{
    return std::any_of(m_connections.begin(), m_connections.end(), [](const auto& known) {
        const std::shared_ptr<connection> open = known.lock();
        return open && open->m_calling && !open->m_silent;
    });
}

std::size_t loopback_worker::run_count(const submission_id& submission) const
{
    return static_cast<std::size_t>(
        std::count_if(m_runs.begin(), m_runs.end(), [&](const auto& entry) {
            return entry.first.starts_with(submission.str() + ".");
        }));
}

asio::awaitable<void> loopback_worker::accept()
{
    while (true) {
        error_code error;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(to_coroutine(error));
        if (error) {
            co_return;
        }
        auto open = std::make_shared<connection>(std::move(socket));
        m_connections.push_back(open);
        asio::co_spawn(m_context, serve(std::move(open)), asio::detached);
    }
}

asio::awaitable<void> loopback_worker::serve(std::shared_ptr<connection> served)
{
    error_code error;
    beast::flat_buffer buffer;
    asio::steady_timer timer(m_context);
    while (true) {
        http::request<http::string_body> request;
        co_await http::async_read(served->m_socket, buffer, request, to_coroutine(error));
        if (error) {
            co_return;
        }
        if (served->m_silent) {
            continue;
        }
        served->m_calling = true;
        const json::object body = parse_json_object(request.body()).value();
        timer.expires_after(request.target() == "/v1/hold"
                                ? milliseconds(number_field(body, "wait-ms"))
                                : order_time);
        co_await timer.async_wait(to_coroutine(error));
        http::response<http::string_body> response;
        response.body() = json::serialize(answer(request.target(), body));
        response.prepare_payload();
        if (!served->m_silent) {
            co_await http::async_write(served->m_socket, response, to_coroutine(error));
        }
        served->m_calling = false;
        if (error) {
            co_return;
        }
    }
}

asio::awaitable<void> loopback_worker::watch_lease()
{
    asio::steady_timer timer(m_context);
    while (true) {
        if (!m_runs.empty() && clock_ms() > m_deadline_ms) {
            ++m_ended_leases;
            m_runs.clear();
        }
        timer.expires_after(lease_check_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

json::object loopback_worker::answer(std::string_view target, const json::object& body)
{
    m_deadline_ms = std::max(m_deadline_ms, number_field(body, "deadline-ms"));
    json::object result{{"clock-ms", clock_ms()}, {"born", 1}};
    if (target == "/v1/run-start") {
        m_runs[text_field(body, "task")] = number_field(body, "run");
    }
    else if (target == "/v1/run-stop") {
        m_runs.erase(text_field(body, "task"));
    }
    else if (target == "/v1/hold") {
        json::array running;
        for (const auto& [task, run] : m_runs) {
            running.push_back(json::array{task, run, "", full_percent});
        }
        result["running-tasks"] = std::move(running);
        result["finished"] = json::array();
    }
    return result;
}

} // namespace guavabay::test
