#include <catch2/catch.hpp>

#include "hostile/client_crowd.h"
#include "hostile/hostile_checks.h"
#include "net/http_status.h"
#include "peer/host_message.h"
#include "submission/submission_log.h"
#include "support/local_host.h"

using namespace guavabay;
using namespace guavabay::test;

// Complete frames on the port for peers: what they decode to, what they leave behind and what they
// make a process do for long.

namespace {

/// A port that takes connections and never answers.
struct silent_listener {
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
};

/// Text of numbers as the inner protocol has them.
std::string little_endian(std::uint32_t number)
{
    return {reinterpret_cast<const char*>(&number), sizeof number};
}

std::string hold_frame(std::uint64_t number, const std::string& address, std::size_t name_bytes)
{
    worker_hold_request request;
    request.m_hold.m_worker = worker_id(std::string(name_bytes, 'w'));
    request.m_hold.m_address = address;
    constexpr std::uint32_t an_hour_ms = 3600000;
    request.m_wait_ms = an_hour_ms;
    return encode_frame(number, request);
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

TEST_CASE("a step after one that does not exist does not end the process", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    REQUIRE(host.accepts(1));
    submission what;
    what.m_steps.resize(2);
    constexpr std::uint32_t no_step = 4000000000;
    what.m_steps[1].m_after = {no_step};
    submit_request request;
    request.m_service = service_id("service-a");
    request.m_queue = queue_id("queue");
    request.m_id = submission_id(make_id(2));
    request.m_submission = encode_submission(what);
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

TEST_CASE("names of ever new hosts do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    constexpr std::size_t frames = 6;
    constexpr std::size_t names = 150000;
    for (std::size_t i = 0; i < frames; ++i) {
        greeting message;
        message.m_host = "host-b";
        message.m_address = "127.0.0.1:9";
        for (std::size_t k = 0; k < names; ++k) {
            message.m_peers.push_back("host-" + std::to_string(i * names + k) + ".example:1");
        }
        client_crowd clients(host.m_peers, 1);
        const std::string frame = encode_frame(0, message);
        clients.flood(frame, "", frame.size());
    }
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("greetings of ever new hosts do not exhaust the memory and the descriptors",
          "[hostile_callers]")
{
    dispatch_process host(descriptor_settings, common_limits);
    REQUIRE(host.answers());
    // Each host takes connections, so that the process keeps one to each that it greets.
    constexpr std::size_t hosts = 200;
    std::vector<std::unique_ptr<silent_listener>> listeners;
    std::string frames;
    for (std::size_t i = 0; i < hosts; ++i) {
        listeners.push_back(std::make_unique<silent_listener>());
        greeting message;
        message.m_host = "host-" + std::to_string(i);
        message.m_address = listeners.back()->address();
        frames += encode_frame(0, message);
    }
    client_crowd clients(host.m_peers, 1);
    clients.flood(frames, "", frames.size());
    // All of them are greeted within this time.
    std::this_thread::sleep_for(seconds(15));
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("large calls that peers leave in work do not exhaust the memory", "[hostile_callers]")
{
    dispatch_process host(memory_settings, common_limits);
    REQUIRE(host.answers());
    const silent_listener worker;
    constexpr std::size_t count = 30;
    constexpr std::size_t name_bytes = 4U << 20U;
    const std::string frame = hold_frame(1, worker.address(), name_bytes);
    std::vector<std::unique_ptr<client_crowd>> clients;
    for (std::size_t i = 0; i < count; ++i) {
        clients.push_back(std::make_unique<client_crowd>(host.m_peers, 1));
        clients.back()->flood(frame, "", frame.size());
    }
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}

TEST_CASE("many calls that peers leave in work do not exhaust the descriptors", "[hostile_callers]")
{
    dispatch_process host(descriptor_settings, common_limits);
    REQUIRE(host.answers());
    const silent_listener worker;
    constexpr std::size_t count = 400;
    std::string frames;
    for (std::size_t i = 0; i < count; ++i) {
        frames += hold_frame(i + 1, worker.address(), 8);
    }
    client_crowd clients(host.m_peers, 1);
    clients.flood(frames, "", frames.size());
    check_resources(*host.m_program, max_sockets);
    CHECK(host.answers());
}
