#include <catch2/catch.hpp>

#include "core/time.h"
#include "hostile/client_crowd.h"
#include "hostile/hostile_checks.h"
#include "net/http_status.h"
#include "support/loopback.h"

using namespace guavabay;
using namespace guavabay::test;

// Each case starts the program with low limits, lets a small crowd of clients attack it, and checks
// that the process is alive, stays within its memory and its descriptors, and answers afterwards.

namespace {

/// Enough clients to exceed the memory, each with a share of this size.
constexpr std::size_t flood_clients = 8;
constexpr std::size_t flood_bytes = 8 * megabyte;

const std::string chunked_header = post_header + "Transfer-Encoding: chunked\r\n\r\n";
const std::string one_chunk = "1\r\nx\r\n";
const std::string trailer_piece = "X-Trailer: " + std::string(4096, 'a') + "\r\n";
const std::string extension_piece(4096, 'a');

/// A header of fields that take far more memory than bytes, before a body that does not come.
constexpr std::size_t field_clients = 400;
constexpr std::size_t max_field_sockets = field_clients + max_sockets;
const std::string header_of_fields = [] {
    constexpr std::size_t fields = 4000;
    std::string text = post_header + "Content-Length: 10\r\n";
    for (std::size_t i = 0; i < fields; ++i) {
        text += "a:\r\n";
    }
    return text + "\r\n";
}();

/// Sends a byte at a time for longer than a header and a body may take.
void drip_for_long(client_crowd& clients, char byte)
{
    constexpr int bytes = 60;
    for (int sent = 0; sent < bytes; ++sent) {
        clients.drip(byte);
        std::this_thread::sleep_for(milliseconds(50));
    }
}

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

TEST_CASE("headers of many small fields do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    client_crowd clients(host.m_callers, field_clients);
    clients.flood(header_of_fields + "x", "", (header_of_fields + "x").size());
    check_resources(*host.m_program, max_field_sockets);
    CHECK(host.answers());
}

TEST_CASE("headers of many small fields do not exhaust the memory of serve", "[hostile_callers]")
{
    const serve_process host({"--max-held-bytes", "16777216"});
    REQUIRE(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
    client_crowd clients(host.m_callers, field_clients);
    clients.flood(header_of_fields + "x", "", (header_of_fields + "x").size());
    check_resources(*host.m_program, max_field_sockets);
    CHECK(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
}

TEST_CASE("methods that callers make up do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t count = 1000;
    constexpr std::size_t method_bytes = 15000;
    std::vector<std::string> requests;
    for (std::size_t i = 0; i < count; ++i) {
        requests.push_back("M" + std::to_string(i) + std::string(method_bytes, 'x') +
                           " /queue/ HTTP/1.1\r\nHost: callers.example\r\n\r\n");
    }
    exchange(host.m_callers, requests, 4);
    const auto metrics = exchange(host.m_metrics, {get_request("/metrics")}, 1);
    CHECK(metrics.front().m_status == http_status::ok);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("a body that the memory can never hold is refused for good", "[hostile_callers]")
{
    dispatch_process host(memory_settings,
                          R"({"max-body-bytes":1073741824,"header-timeout-ms":60000})");
    REQUIRE(host.answers());
    constexpr std::size_t body_bytes = 512 * megabyte;
    const auto answers = exchange(host.m_callers, {header_with_length(body_bytes)}, 1);
    CHECK(answers.front().m_status == http_status::too_large);
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("idle connections leave descriptors of serve for other ports", "[hostile_callers]")
{
    constexpr std::size_t system_limit = 96;
    const serve_process host({}, system_limit);
    REQUIRE(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
    constexpr std::size_t count = 120;
    const client_crowd clients(host.m_callers, count);
    check_resources(*host.m_program, system_limit);
    CHECK(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
    CHECK(has_status_in_time(host.m_operators, get_request("/live"), http_status::ok));
}

TEST_CASE("idle connections of operators leave descriptors of serve for callers",
          "[hostile_callers]")
{
    constexpr std::size_t system_limit = 96;
    const serve_process host({}, system_limit);
    REQUIRE(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
    constexpr std::size_t count = 120;
    const client_crowd clients(host.m_operators, count);
    check_resources(*host.m_program, system_limit);
    CHECK(has_status_in_time(host.m_callers, get_request("/-/live"), http_status::ok));
    CHECK(has_status_in_time(host.m_operators, get_request("/live"), http_status::ok));
}
