#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <memory>

#include "dispatch/machine_controller.h"
#include "dispatch/ownership.h"
#include "net/http_status.h"
#include "support/loopback.h"
#include "support/paced_store.h"

using namespace guavabay;
using guavabay::test::paced_store;
using guavabay::test::run_until;

namespace {

const service_id serving_pool("service-a");
const service_id standby_pool("service-b");

/// Stand-in for the platform's interface for machines: one machine in each of two pools. Answers
/// orders after a delay.
class machine_platform {
public:
    explicit machine_platform(asio::io_context& context)
        : m_context(context), m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    [[nodiscard]] ip_address address() const
    {
        const auto endpoint = m_acceptor.local_endpoint();
        return {endpoint.address(), endpoint.port()};
    }

    int m_lists_read = 0;
    int m_orders_received = 0;
    int m_orders_open = 0;
    std::string m_last_order;
    milliseconds m_order_delay{0};

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
            http::response<http::string_body> response;
            response.keep_alive(true);
            if (request.method() == http::verb::get) {
                ++m_lists_read;
                const boost::json::array machines{list_entry("machine-1", standby_pool),
                                                  list_entry("machine-2", serving_pool)};
                response.body() =
                    boost::json::serialize(boost::json::object{{"machines", machines}});
            }
            else {
                ++m_orders_received;
                ++m_orders_open;
                m_last_order = request.body();
                asio::steady_timer timer(m_context, m_order_delay);
                co_await timer.async_wait(to_coroutine(error));
                --m_orders_open;
                response.body() = "{}";
            }
            response.prepare_payload();
            co_await http::async_write(socket, response, to_coroutine(error));
        }
    }

    static boost::json::object list_entry(const std::string& machine, const service_id& pool)
    {
        return {{"machine", machine},
                {"pool", pool.str()},
                {"state", "up"},
                {"zone", "zone-a"},
                {"labels", boost::json::array{"kind-a", "rack-a"}},
                {"capacity", {{"cpu", 64000}, {"mem-mb", 1000}, {"gpu", 0}}},
                {"id", "worker of " + machine}};
    }

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
};

/// A controller of a fleet with a pool that serves and one that stands by.
struct controlled_fleet {
    controlled_fleet()
    {
        m_settings.m_host = host_id("host-a");
        m_settings.m_machines_address = m_platform.address();
        m_settings.m_machine_orders_per_s = 16;
        pool_config serving;
        serving.m_service = serving_pool;
        pool_config standby;
        standby.m_service = standby_pool;
        standby.m_standby = true;
        m_config.m_pools = {serving, standby};
    }

    void start()
    {
        const revision token = m_store.put(owner_key(machine_control_shard()), "host-a");
        machine_controller_dependencies dependencies;
        dependencies.m_context = &m_context;
        dependencies.m_client = &m_http;
        dependencies.m_store = &m_client;
        dependencies.m_settings = &m_settings;
        dependencies.m_operator = &m_operator;
        dependencies.m_lease_valid_until = [this] { return m_lease_valid_until; };
        dependencies.m_config = [this] { return &m_config; };
        dependencies.m_cordon =
            [this](cordon_request request) -> asio::awaitable<std::optional<cordon_reply>> {
            cordon_reply reply;
            reply.m_owner = request.m_service == serving_pool;
            reply.m_needed = m_needed;
            co_return reply;
        };
        m_controller = std::make_shared<machine_controller>(std::move(dependencies), token);
        m_controller->start();
    }

    /// Requests the maintenance of both machines.
    void request_wave()
    {
        m_store.put("op/wave/1", R"({"wave":1,"machines":["machine-1","machine-2"],)"
                                 R"("duration-s":20,"cap":2})");
        m_operator.start();
    }

    [[nodiscard]] bool has_owner_record() const
    {
        return m_store.contains(owner_key(machine_control_shard()));
    }

    asio::io_context m_context;
    paced_store m_store{m_context};
    machine_platform m_platform{m_context};
    http_client m_http{m_context, 4};
    store_client m_client{m_http, m_store.address()};
    prefix_watch m_operator{m_context, m_client, "op/", [](const std::vector<std::string>&) {}};
    host_settings m_settings;
    operator_config m_config;
    time_point m_lease_valid_until = read_boot_clock() + seconds(60);
    double m_needed = 0;
    std::shared_ptr<machine_controller> m_controller;
};

} // namespace

// Guards against a process that ends whenever it becomes the controller: a temporary that the
// compiler did not keep over a suspension was destroyed while the progress of waves was read. Also
// guards against a controller that waits for ever when all owners are on its own host.
TEST_CASE("a controller reads all pages of the progress of waves and goes on to the machines",
          "[machine_controller]")
{
    controlled_fleet fleet;
    const int records = GENERATE(0, 1, 600);
    for (int i = 0; i < records; ++i) {
        fleet.m_store.put("w/" + std::to_string(i), "not a record");
        fleet.m_store.put("status/wave/" + std::to_string(i), R"({"state":"succeeded"})");
    }
    fleet.start();
    CHECK(run_until(fleet.m_context, [&] { return fleet.m_platform.m_lists_read >= 2; }));
}

// Guards against two controllers that order at the same time: the record was removed while orders
// of the former controller were open.
TEST_CASE("a released controller keeps its record until its open orders have ended",
          "[machine_controller]")
{
    controlled_fleet fleet;
    fleet.m_needed = 2;
    fleet.m_platform.m_order_delay = milliseconds(400);
    fleet.start();
    REQUIRE(run_until(fleet.m_context, [&] { return fleet.m_platform.m_orders_open == 1; }));
    bool released = false;
    asio::co_spawn(
        fleet.m_context,
        [&]() -> asio::awaitable<void> {
            co_await fleet.m_controller->release();
            released = true;
        },
        asio::detached);
    bool removed_early = false;
    CHECK(run_until(fleet.m_context, [&] {
        const bool is_open = fleet.m_platform.m_orders_open > 0;
        removed_early = removed_early || (is_open && !fleet.has_owner_record());
        return released;
    }));
    CHECK_FALSE(removed_early);
    CHECK_FALSE(fleet.has_owner_record());
    CHECK(fleet.m_platform.m_orders_received == 1);
}

// Guards against waves that are never finished: no worker reports for a machine that is off, so
// that machines of the standby pool never counted as drained.
TEST_CASE("machines that stand by are maintained without a report of an owner",
          "[machine_controller]")
{
    controlled_fleet fleet;
    fleet.request_wave();
    fleet.start();
    REQUIRE(run_until(
        fleet.m_context, [&] { return fleet.m_platform.m_orders_received > 0; }, seconds(5)));
    CHECK(fleet.m_platform.m_last_order.find("machine-1") != std::string::npos);
    // The other machine has not been reported as drained.
    fleet.m_context.run_for(milliseconds(400));
    CHECK(fleet.m_platform.m_orders_received == 1);
}

TEST_CASE("a controller whose lease has ended sends no orders", "[machine_controller]")
{
    controlled_fleet fleet;
    fleet.m_needed = 2;
    fleet.m_lease_valid_until = read_boot_clock() - milliseconds(1);
    fleet.start();
    fleet.m_context.run_for(milliseconds(600));
    CHECK(fleet.m_platform.m_orders_received == 0);
}
