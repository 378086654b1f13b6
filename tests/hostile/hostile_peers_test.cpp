#include <catch2/catch.hpp>

#include "hostile/client_crowd.h"
#include "hostile/hostile_checks.h"
#include "net/http_status.h"
#include "peer/host_message.h"
#include "support/local_host.h"

using namespace guavabay;
using namespace guavabay::test;

// Complete frames on the port for peers: what they decode to, what they leave behind and what they
// make a process do for long.

namespace {

/// Text of numbers as the inner protocol has them.
std::string little_endian(std::uint32_t number)
{
    return {reinterpret_cast<const char*>(&number), sizeof number};
}

} // namespace

TEST_CASE("a list whose length the data does not hold takes no memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    REQUIRE(host.accepts(1));
    // A submission of which each byte stands for a step.
    constexpr std::uint32_t steps = 4U << 20U;
    submit_request request;
    request.m_service = service_id("service-a");
    request.m_queue = queue_id("queue");
    request.m_id = submission_id(make_id(2));
    request.m_submission =
        '\1' + little_endian(0) + little_endian(steps) + std::string(steps, '\0');
    client_crowd clients(host.m_peers, 1);
    const std::string frame = encode_frame(1, request);
    clients.flood(frame, "", frame.size());
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("a frame of many empty texts does not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t texts = 1900000;
    greeting message;
    message.m_host = "host-b";
    message.m_peers.resize(texts);
    client_crowd clients(host.m_peers, 1);
    const std::string frame = encode_frame(0, message);
    clients.flood(frame, "", frame.size());
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}
