#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <numeric>

#include "core/json_fields.h"
#include "dispatch/ownership.h"
#include "dispatch/shard_owner.h"
#include "net/http_status.h"
#include "support/loopback.h"
#include "support/paced_store.h"

using namespace guavabay;
using guavabay::test::paced_store;
using guavabay::test::run_until;

namespace json = boost::json;

namespace {

/// Number of workers, tasks that each has room for, and the time over which these end one after the
/// other.
constexpr std::uint32_t worker_count = 60;
constexpr std::uint32_t tasks_per_worker = 4;
constexpr std::uint32_t task_count = worker_count * tasks_per_worker;
constexpr milliseconds last_end{3000};

/// Interval at which a worker that delays its answer looks for ended runs.
constexpr milliseconds end_poll_interval{10};

/// Bandwidth at which the store takes about 40 ms to answer a write, so that tasks end during each.
constexpr std::size_t slow_store_bytes_per_s = 2500;

/// Cores of each task, in thousandths.
constexpr std::int64_t task_cpu = 1000;

const service_id service("service-a");
const queue_id queue("queue-a");
const submission_id submission_name("0123456789abcdef");

/// A worker on loopback that carries out all orders, and whose runs end evenly spread.
class spread_worker {
public:
    spread_worker(asio::io_context& context, std::uint32_t index)
        : m_context(context), m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
          m_index(index)
    {
        asio::co_spawn(m_context, accept(), asio::detached);
    }

    /// The worker's registration.
    [[nodiscard]] worker_listing listing() const
    {
        worker_listing listing;
        listing.m_id = worker_id("worker-" + std::to_string(m_index));
        listing.m_address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
        listing.m_service = service;
        listing.m_zone = zone_id("zone-a");
        listing.m_machine = machine_id("machine-" + std::to_string(m_index));
        listing.m_kind = "a";
        listing.m_rack = rack_id("rack-a");
        listing.m_labels = {"a", "rack-a"};
        listing.m_capacity = {task_cpu * tasks_per_worker, 1'000'000, 0};
        listing.m_incarnation_start_ms = 1;
        return listing;
    }

    [[nodiscard]] std::size_t started() const { return m_runs.size(); }

    [[nodiscard]] std::size_t ended() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_runs.begin(), m_runs.end(), [](const run& item) { return item.has_ended(); }));
    }

private:
    struct run {
        std::string m_task;
        std::int64_t m_number = 0;
        time_point m_ends_at;

        [[nodiscard]] bool has_ended() const { return read_clock() >= m_ends_at; }
    };

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
            const json::object body = parse_json_object(request.body()).value();
            if (request.target() == "/v1/hold") {
                co_await wait_for_end(number_field(body, "acked-through"),
                                      milliseconds(number_field(body, "wait-ms")));
            }
            http::response<http::string_body> response;
            response.body() = json::serialize(answer(request.target(), body));
            response.prepare_payload();
            co_await http::async_write(socket, response, to_coroutine(error));
            if (error) {
                co_return;
            }
        }
    }

    /// Waits until there is an end that was not acknowledged, at most for a time, as workers do
    /// before they answer a hold.
    asio::awaitable<void> wait_for_end(std::int64_t acknowledged, milliseconds limit)
    {
        asio::steady_timer timer(m_context);
        const time_point until = read_clock() + limit;
        const auto first = static_cast<std::size_t>(acknowledged);
        while (read_clock() < until &&
               std::none_of(m_runs.begin() +
                                static_cast<std::ptrdiff_t>(std::min(first, m_runs.size())),
                            m_runs.end(), [](const run& item) { return item.has_ended(); })) {
            timer.expires_after(end_poll_interval);
            error_code ignored;
            co_await timer.async_wait(to_coroutine(ignored));
        }
    }

    json::object answer(std::string_view target, const json::object& body)
    {
        json::object result{{"clock-ms", clock_ms()}, {"born", 1}};
        if (target == "/v1/run-start") {
            // The ends of all workers together are evenly spread, too.
            const auto position =
                static_cast<std::int64_t>(m_runs.size() * worker_count + m_index + 1);
            const milliseconds length(position * last_end.count() / task_count);
            m_runs.push_back(
                {text_field(body, "task"), number_field(body, "run"), read_clock() + length});
        }
        if (target == "/v1/hold") {
            add_runs(result, number_field(body, "acked-through"));
        }
        return result;
    }

    void add_runs(json::object& result, std::int64_t acknowledged) const
    {
        json::array running;
        json::array finished;
        for (std::size_t i = 0; i < m_runs.size(); ++i) {
            const run& item = m_runs[i];
            const auto number = static_cast<std::int64_t>(i) + 1;
            if (!item.has_ended()) {
                running.push_back(json::array{item.m_task, item.m_number, "", 0});
            }
            else if (number > acknowledged) {
                finished.push_back(json::array{number, item.m_task, item.m_number, "done", ""});
            }
        }
        result["running-tasks"] = std::move(running);
        result["finished"] = std::move(finished);
    }

    static std::int64_t clock_ms()
    {
        return std::chrono::duration_cast<milliseconds>(read_clock().time_since_epoch()).count();
    }

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint32_t m_index;
    std::vector<run> m_runs;
};

/// The owner of a shard, its store and a worker.
struct owned_shard {
    owned_shard() : m_store(m_context), m_http(m_context, 8), m_client(m_http, m_store.address())
    {
        std::vector<worker_listing> listings;
        for (std::uint32_t i = 0; i < worker_count; ++i) {
            m_workers.push_back(std::make_unique<spread_worker>(m_context, i));
            listings.push_back(m_workers.back()->listing());
        }
        shard_owner_dependencies dependencies;
        dependencies.m_context = &m_context;
        dependencies.m_http = &m_http;
        dependencies.m_workers = &m_workers_client;
        dependencies.m_store = &m_client;
        dependencies.m_host = host_id("host-a");
        dependencies.m_lease_valid_until = [] { return read_boot_clock() + seconds(1); };
        dependencies.m_store_unreachable_for_all = [] { return false; };
        const revision token = m_store.put(owner_key(service), "host-a");
        m_owner = std::make_shared<shard_owner>(std::move(dependencies), service, token);
        queue_contract contract;
        contract.m_queue = queue;
        contract.m_service = service;
        contract.m_stretch_factor = 10;
        contract.m_target = seconds(10);
        m_owner->start({contract}, {}, 1);
        run_until(m_context, [this] { return m_owner->state().m_loaded; });
        m_owner->set_workers(listings);
    }

    /// Submits one step of many tasks without waiting for the answer.
    void submit()
    {
        submission work;
        work.m_spec = "spec";
        submission_step step;
        step.m_task_count = task_count;
        step.m_demand = {task_cpu, 1, 0};
        step.m_estimate = milliseconds(700);
        work.m_steps.push_back(step);
        asio::co_spawn(
            m_context,
            [this, work]() -> asio::awaitable<void> {
                submission copy = work;
                co_await m_owner->submit(queue, submission_name, std::move(copy),
                                         organisation_id());
            },
            asio::detached);
    }

    [[nodiscard]] std::size_t started() const
    {
        return std::accumulate(
            m_workers.begin(), m_workers.end(), std::size_t{0},
            [](std::size_t sum, const auto& worker) { return sum + worker->started(); });
    }

    [[nodiscard]] std::size_t ended() const
    {
        return std::accumulate(
            m_workers.begin(), m_workers.end(), std::size_t{0},
            [](std::size_t sum, const auto& worker) { return sum + worker->ended(); });
    }

    void release()
    {
        asio::co_spawn(
            m_context, [this]() { return m_owner->release(); }, asio::detached);
    }

    asio::io_context m_context;
    paced_store m_store;
    std::vector<std::unique_ptr<spread_worker>> m_workers;
    http_client m_http;
    worker_client m_workers_client{m_http};
    store_client m_client;
    std::shared_ptr<shard_owner> m_owner;
};

} // namespace

// Guards against an outage of a busy shard when its host is stopped: new ends of tasks kept the log
// from becoming idle.
TEST_CASE("a shard is released while its tasks go on ending", "[shard_release]")
{
    owned_shard owned;
    owned.submit();
    REQUIRE(run_until(owned.m_context, [&] { return owned.started() == task_count; }));
    owned.m_store.m_bytes_per_s = slow_store_bytes_per_s;
    REQUIRE(run_until(owned.m_context, [&] { return owned.ended() >= task_count / 5; }));
    owned.release();
    REQUIRE(run_until(owned.m_context, [&] { return !owned.m_owner->is_alive(); }));
    CHECK_FALSE(owned.m_store.contains(owner_key(service)));
    CHECK(owned.ended() < task_count / 2);
}

// Guards against a shard without an owner until a lease ends, because the closing log entry
// conflicts with a write whose answer was lost.
TEST_CASE("a shard with an open log write is given up at the end of its release", "[shard_release]")
{
    owned_shard owned;
    owned.m_store.m_stall = true;
    owned.submit();
    // Longer than the interval of writes, so that the one with the submission is under way.
    owned.m_context.run_for(milliseconds(300));
    owned.release();
    CHECK(run_until(owned.m_context, [&] { return !owned.m_store.contains(owner_key(service)); }));
}

// Guards against a shard that no host serves any more: it was released while the store refused
// calls, and the record of the stopped owner stayed for as long as its host's lease.
TEST_CASE("a shard that is released in a store outage is given up after it", "[shard_release]")
{
    owned_shard owned;
    run_until(owned.m_context, [&] { return owned.m_owner->state().m_takeover_stored; });
    owned.m_store.m_refuse_removals = 3;
    owned.release();
    REQUIRE(run_until(owned.m_context, [&] { return !owned.m_owner->is_alive(); }));
    CHECK(owned.m_store.contains(owner_key(service)));
    CHECK(run_until(owned.m_context, [&] { return !owned.m_store.contains(owner_key(service)); }));
}
