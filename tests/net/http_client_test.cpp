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
