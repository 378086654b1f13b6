#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <random>

#include "dispatch/caller_server.h"
#include "net/http_status.h"
#include "support/local_host.h"
#include "support/loopback.h"

using namespace guavabay;
using guavabay::test::free_address;
using guavabay::test::run_until;

namespace {

constexpr std::uint32_t max_header_bytes = 1024;
constexpr std::uint64_t max_body_bytes = 4096;
constexpr std::size_t max_held_bytes = 16384;

/// A server for callers whose handler echoes the body, and clients on loopback.
struct echo_server {
    echo_server()
        : m_server(m_context, m_address, m_budget, budget_port::callers,
                   [this](caller_request request) { return echo(std::move(request)); })
    {
        m_budget->m_limits.m_max_bytes = max_held_bytes;
        m_budget->m_limits.m_ports.fill({100, 100});
        request_limits limits;
        limits.m_max_header_bytes = max_header_bytes;
        limits.m_max_body_bytes = max_body_bytes;
        limits.m_header_timeout = milliseconds(200);
        m_server.set_limits(limits);
    }

    asio::awaitable<caller_answer> echo(caller_request request)
    {
        m_handled.push_back(request.m_body);
        caller_answer answer;
        answer.m_status = http_status::ok;
        answer.m_body = std::move(request.m_body);
        co_return answer;
    }

    /// Sends bytes, ends its side of the connection if asked to, and reads until the server ends
    /// the other one.
    asio::awaitable<void> run_client(std::string bytes, bool end, std::string& received)
    {
        asio::ip::tcp::socket socket(m_context);
        error_code error;
        co_await socket.async_connect(m_address.tcp(), to_coroutine(error));
        co_await asio::async_write(socket, asio::buffer(bytes), to_coroutine(error));
        if (end) {
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        }
        co_await asio::async_read(socket, asio::dynamic_buffer(received), to_coroutine(error));
        --m_clients;
    }

    /// Starts a client; its answer is complete when no client is left.
    void start(const std::string& bytes, std::string& received, bool end = true)
    {
        ++m_clients;
        asio::co_spawn(m_context, run_client(bytes, end, received), asio::detached);
    }

    [[nodiscard]] bool wait_for_clients()
    {
        return run_until(m_context,
                         [this] { return m_clients == 0 && m_server.open_connections() == 0; });
    }

    /// The answer to some bytes.
    std::string exchange(const std::string& bytes, bool end = true)
    {
        std::string received;
        start(bytes, received, end);
        REQUIRE(wait_for_clients());
        return received;
    }

    asio::io_context m_context{1};
    ip_address m_address{free_address(m_context)};
    std::shared_ptr<connection_budget> m_budget = std::make_shared<connection_budget>();
    std::vector<std::string> m_handled; ///< Bodies of all requests that were handed on.
    int m_clients = 0;
    caller_server m_server;
};

const std::string header = "POST /queue/a HTTP/1.1\r\nHost: a\r\n";
const std::string chunked = header + "Transfer-Encoding: chunked\r\n\r\n";

std::string with_body(const std::string& body)
{
    return header + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool has_status(const std::string& answer, unsigned status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

} // namespace

TEST_CASE("a chunked body with small extensions and trailers is served", "[caller_server]")
{
    echo_server server;
    const std::string answer =
        server.exchange(chunked + "3;a=b\r\nabc\r\n2\r\nde\r\n0;c\r\nX-Trailer: 1\r\n\r\n");
    CHECK(has_status(answer, http_status::ok));
    CHECK(server.m_handled == std::vector<std::string>{"abcde"});
}

TEST_CASE("a body in chunks of one byte is served up to the limit", "[caller_server]")
{
    echo_server server;
    std::string bytes = chunked;
    for (std::size_t i = 0; i < max_body_bytes; ++i) {
        bytes += "1\r\nx\r\n";
    }
    CHECK(has_status(server.exchange(bytes + "0\r\n\r\n"), http_status::ok));
    REQUIRE(server.m_handled.size() == 1);
    CHECK(server.m_handled.front().size() == max_body_bytes);
}

TEST_CASE("pipelined requests are answered in their order", "[caller_server]")
{
    echo_server server;
    const std::string answer = server.exchange(with_body("one") + with_body("two"));
    CHECK(answer.find("one") < answer.find("two"));
    CHECK(server.m_handled == std::vector<std::string>{"one", "two"});
}

TEST_CASE("a request beyond a limit is refused with its status and not handed on",
          "[caller_server]")
{
    echo_server server;
    const std::string long_line(max_header_bytes, 'a');
    const std::string trailers = chunked + "1\r\nx\r\n0\r\nX-Trailer: ";
    CHECK(has_status(server.exchange(trailers + long_line + "\r\n\r\n"),
                     http_status::header_too_large));
    CHECK(has_status(server.exchange(chunked + "1;a=" + long_line + "\r\nx\r\n0\r\n\r\n"),
                     http_status::header_too_large));
    CHECK(has_status(server.exchange(header + "X-Long: " + long_line + "\r\n\r\n"),
                     http_status::header_too_large));
    CHECK(has_status(server.exchange(with_body(std::string(max_body_bytes + 1, 'x'))),
                     http_status::too_large));
    CHECK(server.m_handled.empty());
    CHECK(server.m_budget->m_bytes == 0);
}

TEST_CASE("a body whose framing is out of proportion is refused", "[caller_server]")
{
    echo_server server;
    std::string bytes = chunked;
    const std::string extension(max_header_bytes / 2, 'a');
    while (bytes.size() < 10 * max_body_bytes) {
        bytes += "1;" + extension + "\r\nx\r\n";
    }
    CHECK(has_status(server.exchange(bytes + "0\r\n\r\n"), http_status::too_large));
    CHECK(server.m_handled.empty());
}

TEST_CASE("a request that stops short of its end gets 408", "[caller_server]")
{
    echo_server server;
    CHECK(has_status(server.exchange("POST /queue/a HT", false), http_status::request_timeout));
    CHECK(has_status(server.exchange(header + "Content-Length: 5\r\n\r\nab", false),
                     http_status::request_timeout));
    CHECK(server.m_handled.empty());
}

TEST_CASE("a request refused for memory gets 503 and is not handed on", "[caller_server]")
{
    echo_server server;
    constexpr std::size_t count = 8;
    std::vector<std::string> answers(count);
    const std::string part = header + "Content-Length: " + std::to_string(max_body_bytes) +
                             "\r\n\r\n" + std::string(max_body_bytes - 1, 'x');
    for (std::string& answer : answers) {
        server.start(part, answer, false);
    }
    REQUIRE(server.wait_for_clients());
    const auto refused = std::count_if(answers.begin(), answers.end(), [](const std::string& one) {
        return has_status(one, http_status::unavailable) &&
               one.find("Retry-After: 1") != std::string::npos;
    });
    CHECK(refused >= 4); // Eight bodies of which the budget holds four.
    CHECK(server.m_handled.empty());
    CHECK(server.m_budget->m_peak_bytes <= max_held_bytes + max_body_bytes);
    CHECK(has_status(server.exchange(with_body("x")), http_status::ok));
}

namespace {

/// Requests that are near what HTTP allows, in pieces from which the fuzz test puts inputs
/// together.
const std::vector<std::string> pieces{
    "POST /queue/a HTTP/1.1\r\n",
    "GET / HTTP/1.0\r\n",
    "GET  / HTTP/1.1\r\n",
    "Host: a\r\n",
    "Host: a\r\n folded\r\n",
    "Content-Length: 3\r\n",
    "Content-Length: 4\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: 18446744073709551616\r\n",
    "Content-Length: 3, 3\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Expect: 100-continue\r\n",
    "Connection: close\r\n",
    "Connection: keep-alive\r\n",
    "\r\n",
    "\n",
    "abc",
    "3\r\nabc\r\n",
    "3;x=\"y\"\r\nabc\r\n",
    "FFFFFFFFFFFFFFFF\r\n",
    "FFFFFFFFFFFFFFFFF\r\n",
    "00000000000003\r\nabc\r\n",
    "0\r\n",
    "0\r\n\r\n",
    "0;a\r\n",
    "X-Trailer: 1\r\n",
    std::string("X-Nul: a\0b\r\n", 12),
    std::string("\0", 1),
    "Content-Length : 3\r\n",
    std::string(2000, 'a'),
    std::string(5000, 'x'),
};

/// Puts some pieces together and changes a few bytes.
std::string make_input(std::mt19937_64& random)
{
    const auto below = [&random](std::size_t limit) {
        return static_cast<std::size_t>(random() % limit);
    };
    std::string input;
    const std::size_t count = 1 + below(14);
    for (std::size_t i = 0; i < count; ++i) {
        input += i == 0 && below(4) != 0 ? pieces.front() : pieces.at(below(pieces.size()));
    }
    if (below(3) == 0) {
        input.at(below(input.size())) = static_cast<char>(below(256));
    }
    if (below(4) == 0) {
        input.resize(below(input.size()) + 1);
    }
    return input;
}

std::uint64_t number_from_environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace

// GUAVABAY_FUZZ_INPUTS and GUAVABAY_FUZZ_SEED set the number of inputs and the seed for runs by
// hand.
TEST_CASE("no input of a client breaks the reading of requests", "[caller_server][fuzz]")
{
    const std::uint64_t inputs = number_from_environment("GUAVABAY_FUZZ_INPUTS", 1000);
    const std::uint64_t seed = number_from_environment("GUAVABAY_FUZZ_SEED", 1);
    INFO("seed " << seed);
    echo_server server;
    std::mt19937_64 random(seed);
    for (std::uint64_t i = 0; i < inputs; ++i) {
        const std::string input = make_input(random);
        INFO("input " << i << ": " << input);
        server.m_handled.clear();
        server.exchange(input);
        for (const std::string& body : server.m_handled) {
            REQUIRE(body.size() <= max_body_bytes);
        }
        REQUIRE(server.m_budget->m_bytes == 0);
        REQUIRE(server.m_server.requests_in_flight() == 0);
    }
    CHECK(has_status(server.exchange(with_body("x")), http_status::ok));
}
