#include <catch2/catch.hpp>

#include "core/time.h"
#include "hostile/client_crowd.h"
#include "hostile/running_program.h"
#include "net/http_status.h"
#include "support/loopback.h"

using namespace guavabay;
using guavabay::test::client_crowd;
using guavabay::test::dispatch_process;
using guavabay::test::has_status_in_time;
using guavabay::test::named_settings;
using guavabay::test::running_program;
using guavabay::test::serve_process;
using guavabay::test::wait_limit;

// Each case starts the program with low limits, lets a small crowd of clients attack it, and checks
// that the process is alive, stays within its memory and its descriptors, and answers afterwards.

namespace {

constexpr std::size_t megabyte = 1U << 20U;

/// Memory of the machine of the tests, in MB; a process may never hold more.
constexpr std::size_t machine_memory_mb = 64;

/// Descriptors of the machine of the tests, and those that are not for sockets.
constexpr std::size_t machine_descriptors = 260;
constexpr std::size_t file_descriptors = 200;

/// Enough clients to exceed the memory, each with a share of this size.
constexpr std::size_t flood_clients = 8;
constexpr std::size_t flood_bytes = 8 * megabyte;

const named_settings memory_settings{{"memory-mb", std::to_string(machine_memory_mb)}};
const named_settings descriptor_settings{{"memory-mb", std::to_string(machine_memory_mb)},
                                         {"max-descriptors", std::to_string(machine_descriptors)}};

/// Limits of the operator's configuration. Bodies are larger than usual, so that a small crowd is
/// enough.
const std::string common_limits = R"({"max-header-bytes":16384,"max-body-bytes":2097152,)"
                                  R"("header-timeout-ms":5000,"idle-timeout-ms":60000})";

const std::string post_header =
    "POST /queue/0123456789abcdef HTTP/1.1\r\nHost: callers.example\r\n";
const std::string chunked_header = post_header + "Transfer-Encoding: chunked\r\n\r\n";
const std::string one_chunk = "1\r\nx\r\n";
const std::string trailer_piece = "X-Trailer: " + std::string(4096, 'a') + "\r\n";
const std::string extension_piece(4096, 'a');

std::string header_with_length(std::size_t length)
{
    return post_header + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string get_request(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: callers.example\r\n\r\n";
}

/// Waits until the process has taken what was sent: the system's buffers hold megabytes for each
/// connection. Its memory and its sockets then stay as they are.
void wait_until_settled(const running_program& program)
{
    constexpr int enough = 10;
    const time_point end = read_clock() + wait_limit;
    std::pair<std::size_t, std::size_t> last;
    for (int unchanged = 0; unchanged < enough && read_clock() < end; ++unchanged) {
        const std::pair now(program.peak_memory_mb(), program.open_sockets());
        unchanged = now == last ? unchanged : 0;
        last = now;
        std::this_thread::sleep_for(milliseconds(100));
    }
}

/// Sends a byte at a time for longer than a header and a body may take.
void drip_for_long(client_crowd& clients, char byte)
{
    constexpr int bytes = 60;
    for (int sent = 0; sent < bytes; ++sent) {
        clients.drip(byte);
        std::this_thread::sleep_for(milliseconds(50));
    }
}

/// Checks the process after an attack.
void check_resources(running_program& program, std::size_t max_sockets)
{
    wait_until_settled(program);
    CHECK(program.is_alive());
    CHECK(program.peak_memory_mb() <= machine_memory_mb);
    CHECK(program.open_sockets() <= max_sockets);
}

/// Sockets that the machine of the tests has.
constexpr std::size_t max_sockets = machine_descriptors - file_descriptors;

} // namespace

TEST_CASE("endless trailers behind a chunked body do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    client_crowd clients(host.m_callers, flood_clients);
    clients.flood(chunked_header + one_chunk + "0\r\n", trailer_piece, flood_bytes);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("an endless chunk extension does not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    client_crowd clients(host.m_callers, flood_clients);
    clients.flood(chunked_header + "1;a=", extension_piece, flood_bytes);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("many bodies that stop short of their end do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 48;
    constexpr std::size_t body_bytes = 2 * megabyte;
    client_crowd clients(host.m_callers, count);
    clients.flood(header_with_length(body_bytes), std::string(4096, 'x'), body_bytes - 8192);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("pipelined requests whose answers nobody reads do not exhaust the memory",
          "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 20;
    client_crowd clients(host.m_callers, count);
    clients.flood(get_request("/queue/"), get_request("/queue/"), megabyte);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("a header that comes one byte at a time does not hold its connection",
          "[hostile_callers]")
{
    dispatch_process host(descriptor_settings,
                          R"({"header-timeout-ms":500,"idle-timeout-ms":60000})");
    REQUIRE(host.answers());
    constexpr std::size_t count = 20;
    constexpr std::size_t few_sockets = 20; ///< The process's own, and an ordinary caller's.
    client_crowd clients(host.m_callers, count);
    clients.flood(post_header + "X-Slow: ", "", 1);
    drip_for_long(clients, 'a');
    check_resources(*host.m_program, few_sockets);
    CHECK(host.answers());
}

TEST_CASE("a body that comes one byte at a time does not hold its connection", "[hostile_callers]")
{
    dispatch_process host(descriptor_settings,
                          R"({"header-timeout-ms":500,"idle-timeout-ms":60000})");
    REQUIRE(host.answers());
    constexpr std::size_t count = 20;
    constexpr std::size_t few_sockets = 20;
    client_crowd clients(host.m_callers, count);
    clients.flood(header_with_length(65536), "x", 1);
    drip_for_long(clients, 'x');
    check_resources(*host.m_program, few_sockets);
    CHECK(host.answers());
}

TEST_CASE("many idle connections leave descriptors for other work", "[hostile_callers]")
{
    dispatch_process host(descriptor_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 90;
    const client_crowd clients(host.m_callers, count);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("many connections to the readiness port leave descriptors for other work",
          "[hostile_callers]")
{
    dispatch_process host(descriptor_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 90;
    const client_crowd clients(host.m_readiness, count);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("answers that nobody takes do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 30;
    client_crowd clients(host.m_metrics, count);
    clients.flood(get_request("/metrics"), get_request("/metrics"), megabyte);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("announced lengths of peers' frames do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 12;
    constexpr std::uint32_t frame_bytes = 8U << 20U;
    client_crowd clients(host.m_peers, count);
    const std::string length(reinterpret_cast<const char*>(&frame_bytes), sizeof frame_bytes);
    clients.flood(length, std::string(4096, 'x'), 65536);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("peers' frames that stop short of their end do not exhaust the memory",
          "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 12;
    constexpr std::uint32_t frame_bytes = 8U << 20U;
    client_crowd clients(host.m_peers, count);
    const std::string length(reinterpret_cast<const char*>(&frame_bytes), sizeof frame_bytes);
    clients.flood(length, std::string(4096, 'x'), frame_bytes - 8192);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("many connections to the peers' port leave descriptors for other work",
          "[hostile_callers]")
{
    dispatch_process host(descriptor_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 90;
    const client_crowd clients(host.m_peers, count);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("endless trailers on the operators' port do not exhaust the memory", "[hostile_callers]")
{
    const serve_process host({});
    REQUIRE(has_status_in_time(host.m_operators, get_request("/live"), http_status::ok));
    client_crowd clients(host.m_operators, flood_clients);
    clients.flood(chunked_header + one_chunk + "0\r\n", trailer_piece, flood_bytes);
    check_resources(*host.m_program, max_sockets);
    CHECK(has_status_in_time(host.m_operators, get_request("/live"), http_status::ok));
}

TEST_CASE("endless trailers on the callers' port of serve do not exhaust the memory",
          "[hostile_callers]")
{
    const serve_process host({});
    REQUIRE(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
    client_crowd clients(host.m_callers, flood_clients);
    clients.flood(chunked_header + one_chunk + "0\r\n", trailer_piece, flood_bytes);
    check_resources(*host.m_program, max_sockets);
    CHECK(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
}

TEST_CASE("many bodies that stop short of their end do not exhaust the memory of serve",
          "[hostile_callers]")
{
    const serve_process host({"--max-body-bytes", "2097152", "--max-held-bytes", "16777216"});
    REQUIRE(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
    constexpr std::size_t count = 48;
    constexpr std::size_t body_bytes = 2 * megabyte;
    client_crowd clients(host.m_callers, count);
    clients.flood(header_with_length(body_bytes), std::string(4096, 'x'), body_bytes - 8192);
    check_resources(*host.m_program, max_sockets);
    CHECK(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
}

TEST_CASE("announced lengths of large packets do not exhaust the memory of serve",
          "[hostile_callers]")
{
    const serve_process host({});
    REQUIRE(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
    constexpr std::size_t count = 30;
    client_crowd clients(host.m_peers, count);
    clients.flood(std::string("\0\x40\0\0", 4), std::string(4096, 'x'), 65536);
    check_resources(*host.m_program, max_sockets);
    CHECK(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
}
