#include <catch2/catch.hpp>

#include "net/http_client.h"
#include "support/loopback.h"

using namespace guavabay;
using guavabay::test::run_until;

namespace {

/// Accepts one connection and counts the bytes that arrive on it.
struct listener {
    explicit listener(asio::io_context& context)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(context, receive(), asio::detached);
    }

    [[nodiscard]] ip_address address() const
    {
        const auto endpoint = m_acceptor.local_endpoint();
        return {endpoint.address(), endpoint.port()};
    }

    asio::awaitable<void> receive()
    {
        error_code error;
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(to_coroutine(error));
        std::array<char, 256> buffer{};
        while (!error) {
            m_received +=
                co_await socket.async_read_some(asio::buffer(buffer), to_coroutine(error));
        }
        m_closed = true;
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_received = 0;
    bool m_closed = false;
};

/// Answers the calls on all connections until those that are open fall silent; new ones work.
struct answering_listener {
    explicit answering_listener(asio::io_context& context)
        : m_context(context), m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    [[nodiscard]] ip_address address() const
    {
        const auto endpoint = m_acceptor.local_endpoint();
        return {endpoint.address(), endpoint.port()};
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
            asio::steady_timer timer(m_context, milliseconds(30));
            co_await timer.async_wait(to_coroutine(error));
            if (number >= m_first_live) {
                http::response<http::string_body> response;
                response.prepare_payload();
                co_await http::async_write(socket, response, to_coroutine(error));
            }
            if (error) {
                co_return;
            }
        }
    }

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::size_t m_connections = 0;
    std::size_t m_first_live = 0; ///< Earlier connections are silent.
};

} // namespace

// Guards against a process that was suspended while it connected and then sends an order on a
// permission that has run out.
TEST_CASE("a call whose permission ends before its connection is open is not sent", "[http_client]")
{
    asio::io_context context;
    listener other(context);
    http_client client(context, 4);
    bool permitted = true;
    std::optional<http_answer> answer;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            http_call order{"POST", "/order", {}, "{}"};
            order.m_may_send = [&permitted] { return permitted; };
            permitted = false;
            answer = co_await client.call(other.address(), std::move(order), milliseconds(300));
        },
        asio::detached);
    REQUIRE(run_until(context, [&] { return answer.has_value() && other.m_closed; }));
    CHECK(answer->m_progress == call_progress::not_sent);
    CHECK(other.m_received == 0);
}

// Guards against orders that come seconds late: after all open connections to a worker had fallen
// silent, each call waited for an answer on another one of them.
TEST_CASE("a call without an answer on a kept connection is not repeated on an older one",
          "[http_client]")
{
    constexpr std::size_t kept = 5;
    asio::io_context context;
    answering_listener other(context);
    http_client client(context, 16);
    std::size_t answered = 0;
    const auto call = [&]() -> asio::awaitable<void> {
        http_call order{"POST", "/order", {}, "{}"};
        const http_answer answer =
            co_await client.call(other.address(), std::move(order), milliseconds(300));
        answered += answer.m_progress == call_progress::answered ? 1 : 0;
    };
    for (std::size_t i = 0; i < kept; ++i) {
        asio::co_spawn(context, call(), asio::detached);
    }
    REQUIRE(run_until(context, [&] { return answered == kept; }));
    REQUIRE(other.m_connections == kept);
    other.m_first_live = kept;
    std::size_t calls = 0;
    while (answered == kept && calls < 2 * kept) {
        bool ended = false;
        asio::co_spawn(context, call(), [&ended](const std::exception_ptr&) { ended = true; });
        REQUIRE(run_until(context, [&] { return ended; }));
        ++calls;
    }
    CHECK(calls == 2);
}
