#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <memory>

#include "core/json_fields.h"
#include "dispatch/ownership.h"
#include "dispatch/shard_owner.h"
#include "support/loopback.h"
#include "support/paced_store.h"

using namespace guavabay;
using guavabay::test::paced_store;
using guavabay::test::run_until;

namespace json = boost::json;

namespace {

const service_id service("service-a");
const queue_id queue("queue-a");

/// Enough for one stop order on a dead connection and one on a new connection. The platform allows
/// 3 s from the confirmation of a cancellation to the stop.
constexpr milliseconds max_stop_delay{1500};

/// A worker on loopback whose runs last until they are stopped or their lease ends. Its open
/// connections can fall silent, while new ones work.
class lasting_worker {
public:
    explicit lasting_worker(asio::io_context& context)
        : m_context(context), m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(m_context, accept(), asio::detached);
    }

    /// The worker's registration.
    [[nodiscard]] worker_listing listing() const
    {
        worker_listing listing;
        listing.m_id = worker_id("worker-a");
        listing.m_address = "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
        listing.m_service = service;
        listing.m_zone = zone_id("zone-a");
        listing.m_machine = machine_id("machine-a");
        listing.m_kind = "a";
        listing.m_rack = rack_id("rack-a");
        listing.m_labels = {"a", "rack-a"};
        listing.m_capacity = {100'000, 1'000'000, 0};
        listing.m_incarnation_start_ms = 1;
        return listing;
    }

    /// Nothing is read from or sent on the connections that are open now any more.
    void silence_open_connections() { m_first_live = m_connections; }

    /// Number of runs of a submission that have neither been stopped nor lost their lease.
    [[nodiscard]] std::size_t running(const std::string& id) const
    {
        return clock_ms() > m_lease_until_ms
                   ? 0
                   : static_cast<std::size_t>(
                         std::count_if(m_runs.begin(), m_runs.end(), [&](const auto& run) {
                             return run.first.starts_with(id + ".");
                         }));
    }

    [[nodiscard]] std::size_t running() const { return m_runs.size(); }

    bool m_holds_starts = false; ///< Starts are answered late, so that each has its connection.

private:
    asio::awaitable<void> pause(milliseconds length)
    {
        asio::steady_timer timer(m_context, length);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }

    asio::awaitable<void> accept()
    {
        while (true) {
            error_code error;
            asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(to_coroutine(error));
            if (error) {
                co_return;
            }
            asio::co_spawn(m_context, serve(std::move(socket), m_connections++), asio::detached);
        }
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket, std::size_t number)
    {
        error_code error;
        beast::flat_buffer buffer;
        while (true) {
            http::request<http::string_body> request;
            co_await http::async_read(socket, buffer, request, to_coroutine(error));
            if (error) {
                co_return;
            }
            if (number < m_first_live) {
                continue;
            }
            const json::object body = parse_json_object(request.body()).value();
            json::object result{{"clock-ms", clock_ms()}, {"born", 1}};
            if (body.contains("deadline-ms")) {
                m_lease_until_ms = std::max(m_lease_until_ms, number_field(body, "deadline-ms"));
            }
            const std::string task = text_field(body, "task");
            if (request.target() == "/v1/run-start") {
                m_runs[task] = number_field(body, "run");
                if (m_holds_starts) {
                    co_await pause(milliseconds(100));
                }
            }
            else if (request.target() == "/v1/run-stop") {
                m_runs.erase(task);
            }
            else {
                co_await pause(milliseconds(number_field(body, "wait-ms")));
                json::array running;
                for (const auto& [name, run] : m_runs) {
                    running.push_back(json::array{name, run, "", 100});
                }
                result["running-tasks"] = std::move(running);
                result["finished"] = json::array();
            }
            if (number < m_first_live) {
                continue;
            }
            http::response<http::string_body> response;
            response.body() = json::serialize(result);
            response.prepare_payload();
            co_await http::async_write(socket, response, to_coroutine(error));
            if (error) {
                co_return;
            }
        }
    }

    static std::int64_t clock_ms()
    {
        return std::chrono::duration_cast<milliseconds>(read_clock().time_since_epoch()).count();
    }

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_connections = 0;
    std::size_t m_first_live = 0; ///< Earlier connections are silent.
    std::map<std::string, std::int64_t> m_runs;
    std::int64_t m_lease_until_ms = 0;
};

/// The owner of a shard, its store and a worker.
struct held_worker {
    held_worker()
    {
        shard_owner_dependencies dependencies;
        dependencies.m_context = &m_context;
        dependencies.m_http = &m_http;
        dependencies.m_workers = &m_workers;
        dependencies.m_store = &m_client;
        dependencies.m_host = host_id("host-a");
        dependencies.m_lease_valid_until = [] { return read_boot_clock() + seconds(1); };
        dependencies.m_store_unreachable_for_all = [] { return false; };
        const revision token = m_store.put(owner_key(service), "host-a");
        m_owner = std::make_shared<shard_owner>(std::move(dependencies), service, token);
        queue_contract contract;
        contract.m_queue = queue;
        contract.m_service = service;
        m_owner->start({contract});
        REQUIRE(run_until(m_context, [this] { return m_owner->state().m_loaded; }));
        m_owner->set_workers({m_worker.listing()});
    }

    /// Submits long-running tasks, one a submission, all at once, and waits until they run.
    void start_tasks(std::size_t count)
    {
        m_worker.m_holds_starts = true;
        for (std::size_t i = 0; i < count; ++i) {
            asio::co_spawn(
                m_context,
                [this, i]() -> asio::awaitable<void> {
                    submission work;
                    work.m_steps.emplace_back();
                    work.m_steps[0].m_long_running = true;
                    work.m_steps[0].m_demand = {100, 1, 0};
                    co_await m_owner->submit(queue, name(i), std::move(work));
                },
                asio::detached);
        }
        REQUIRE(run_until(m_context, [&] { return m_worker.running() == count; }));
        m_worker.m_holds_starts = false;
        m_context.run_for(milliseconds(500));
    }

    /// Cancels a submission and waits for the confirmation.
    void cancel(std::size_t index)
    {
        std::optional<owner_answer> answer;
        asio::co_spawn(
            m_context,
            [this, index, &answer]() -> asio::awaitable<void> {
                answer = (co_await m_owner->cancel(name(index))).m_answer;
            },
            asio::detached);
        REQUIRE(run_until(m_context, [&] { return answer.has_value(); }));
        REQUIRE(*answer == owner_answer::done);
    }

    static submission_id name(std::size_t index)
    {
        return submission_id("000000000000000" + std::to_string(index));
    }

    asio::io_context m_context;
    paced_store m_store{m_context};
    lasting_worker m_worker{m_context};
    http_client m_http{m_context, 16};
    worker_client m_workers{m_http};
    store_client m_client{m_http, m_store.address()};
    std::shared_ptr<shard_owner> m_owner;
};

} // namespace

// Guards against cancelled work that runs on: a stop order waited for its answer on one dead
// connection after the other, with a longer pause after each, while new connections worked.
TEST_CASE("a cancelled run ends soon although kept connections to its worker fell silent",
          "[silent_connections]")
{
    const int phase_ms = GENERATE(60, 120);
    CAPTURE(phase_ms);
    held_worker held;
    held.start_tasks(5);
    held.m_context.run_for(milliseconds(phase_ms));
    held.m_worker.silence_open_connections();
    held.cancel(0);
    const time_point cancelled_at = read_clock();
    REQUIRE(
        run_until(held.m_context, [&] { return held.m_worker.running(held.name(0).str()) == 0; }));
    CHECK(to_milliseconds(read_clock() - cancelled_at) <=
          static_cast<double>(max_stop_delay.count()));
}

// Guards against work that is lost: a lease was to be renewed on one dead connection after the
// other, until it ended.
TEST_CASE("runs keep their lease although kept connections to their worker fell silent",
          "[silent_connections]")
{
    held_worker held;
    held.start_tasks(8);
    held.m_worker.silence_open_connections();
    const bool any_lost = run_until(
        held.m_context, [&] { return held.m_worker.running(held.name(0).str()) == 0; }, seconds(5));
    CHECK_FALSE(any_lost);
}
