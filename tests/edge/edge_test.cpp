#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

#include "contract/contract_parser.h"
#include "edge/edge_server.h"
#include "support/virtual_hosts.h"

using namespace guavabay;

namespace {

/// An endpoint on loopback whose behaviour is chosen connection by connection.
class scripted_endpoint {
public:
    /// How the endpoint treats the requests of one connection.
    enum class manner { answer, mute, break_after_request, truncate, until_close, late };

    scripted_endpoint(asio::io_context& context, std::vector<manner> manners)
        : m_context(context), m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}),
          m_manners(std::move(manners))
    {
        asio::co_spawn(m_context, accept(), asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    std::vector<std::string> m_complete; ///< Bodies and targets of complete requests.

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            error_code error;
            auto socket = co_await m_acceptor.async_accept(to_coroutine(error));
            if (error) {
                co_return;
            }
            const std::size_t turn = std::min(m_accepted++, m_manners.size() - 1);
            asio::co_spawn(m_context, serve(std::move(socket), m_manners[turn]), asio::detached);
        }
    }

    asio::awaitable<void> wait(milliseconds length)
    {
        asio::steady_timer timer(m_context, length);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket, manner how)
    {
        beast::flat_buffer buffer;
        error_code error;
        while (!error) {
            http::request_parser<http::string_body> parser;
            co_await http::async_read_header(socket, buffer, parser, to_coroutine(error));
            if (how == manner::mute) {
                co_await wait(seconds(60));
                co_return;
            }
            if (!error && parser.get()[http::field::expect] == "100-continue") {
                const http::response<http::empty_body> go_on(http::status::continue_, 11);
                co_await http::async_write(socket, go_on, to_coroutine(error));
            }
            if (!error) {
                co_await http::async_read(socket, buffer, parser, to_coroutine(error));
            }
            if (error) {
                co_return;
            }
            const http::request<http::string_body> request = parser.release();
            const std::string told = std::string(request.target()) + request.body();
            m_complete.push_back(told);
            if (how == manner::break_after_request) {
                co_return;
            }
            if (how == manner::late) {
                how = manner::answer;
                co_await wait(milliseconds(900));
            }
            std::string head = "HTTP/1.1 200 OK\r\n";
            const std::size_t extra = how == manner::truncate ? 50 : 0;
            if (how != manner::until_close) {
                head += "Content-Length: " + std::to_string(told.size() + extra) + "\r\n";
            }
            const std::string whole = head + "\r\n" + told;
            co_await asio::async_write(socket, asio::buffer(whole), to_coroutine(error));
            if (how == manner::truncate || how == manner::until_close) {
                co_return;
            }
        }
    }

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<manner> m_manners;
    std::size_t m_accepted = 0;
};

/// A whole request path with a fake control thread that grants everything.
struct edge_bench {
    explicit edge_bench(std::vector<scripted_endpoint::manner> manners, edge_limits limits = {})
        : m_endpoint(m_context, std::move(manners)),
          m_flow(
              m_context, limits, 1, [this](edge_event&& event) { return decide(event); },
              m_metrics),
          m_server(m_context, *parse_address("127.0.0.1:0"), limits, m_flow, m_shared,
                   [this] { m_idle = true; })
    {
        config_table table(validate_record);
        contract_record record;
        std::vector<contract_fault> faults;
        record.m_terms = *parse_contract(
            guavabay::test::make_contract("a", "s", R"({"run_limit_ms":3000})"), faults);
        table.merge({"contract/a", revision(1), format_contract_record(record)});
        m_flow.take(make_config_view(table));
    }

    bool decide(const edge_event& event)
    {
        if (const auto* wanted = std::get_if<slot_wanted>(&event)) {
            const slot_given given{wanted->m_request, endpoint_id("e"), m_endpoint.address()};
            asio::post(m_context, [this, given] { m_flow.take(edge_answer(given)); });
        }
        return true;
    }

    /// Sends bytes on one connection and gives all that comes back until it is closed.
    std::string exchange(const std::string& bytes)
    {
        std::string got;
        begin(bytes, got);
        run_until([&] { return m_exchanges == 0; });
        return got;
    }

    /// Starts an exchange whose answer arrives in a string that outlives it.
    void begin(const std::string& bytes, std::string& got)
    {
        ++m_exchanges;
        asio::co_spawn(m_context, exchange_bytes(bytes, got), asio::detached);
    }

    asio::awaitable<void> exchange_bytes(std::string bytes, std::string& got)
    {
        asio::ip::tcp::socket socket(m_context);
        error_code error;
        const asio::ip::tcp::endpoint target(asio::ip::make_address("127.0.0.1"), m_server.port());
        co_await socket.async_connect(target, to_coroutine(error));
        co_await asio::async_write(socket, asio::buffer(bytes), to_coroutine(error));
        std::array<char, 4096> part{};
        while (!error) {
            const std::size_t length =
                co_await socket.async_read_some(asio::buffer(part), to_coroutine(error));
            got.append(part.data(), length);
        }
        --m_exchanges;
    }

    void run_until(const std::function<bool()>& holds)
    {
        m_context.run_one();
        while (!holds()) {
            m_context.run_one();
        }
    }

    static std::string request(const std::string& method, const std::string& target,
                               const std::string& body = {})
    {
        return method + " " + target + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
               "Authorization: Bearer key-a\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    asio::io_context m_context{1};
    scripted_endpoint m_endpoint;
    request_metrics m_metrics;
    shared_state m_shared;
    request_flow m_flow;
    edge_server m_server;
    int m_exchanges = 0;
    bool m_idle = false;
};

using manner = scripted_endpoint::manner;

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a request gets the whole answer to itself")
{
    edge_bench bench({manner::answer});
    const std::string answer = bench.exchange(bench.request("POST", "/s/one", "body"));
    CHECK(has(answer, "200 OK"));
    CHECK(has(answer, "/s/onebody"));
}

TEST_CASE("a POST to an endpoint that gives no sign is called not run and has not run")
{
    edge_bench bench({manner::mute});
    const std::string answer = bench.exchange(bench.request("POST", "/s/one", "body"));
    CHECK(has(answer, "502"));
    CHECK(has(answer, "\"ran\":\"no\""));
    CHECK(bench.m_endpoint.m_complete.empty());
}

TEST_CASE("a POST without a body is held back as well")
{
    edge_bench bench({manner::mute});
    const std::string answer = bench.exchange(bench.request("POST", "/s/one"));
    CHECK(has(answer, "\"ran\":\"no\""));
    CHECK(bench.m_endpoint.m_complete.empty());
}

TEST_CASE("a POST whose connection breaks after it was complete is unknown and never sent again")
{
    edge_bench bench({manner::break_after_request});
    const std::string answer = bench.exchange(bench.request("POST", "/s/one", "body"));
    CHECK(has(answer, "\"ran\":\"unknown\""));
    CHECK(bench.m_endpoint.m_complete.size() == 1);
}

TEST_CASE("a GET whose answer was cut is sent again, and the cut answer is never passed on")
{
    edge_bench bench({manner::truncate, manner::break_after_request, manner::answer});
    const std::string answer = bench.exchange(bench.request("GET", "/s/one"));
    CHECK(has(answer, "200 OK"));
    CHECK(bench.m_endpoint.m_complete.size() == 3);
}

TEST_CASE("a POST whose answer was cut, or cannot be told from one that was, is unknown")
{
    for (const manner how : {manner::truncate, manner::until_close}) {
        edge_bench bench({how});
        const std::string answer = bench.exchange(bench.request("POST", "/s/one", "body"));
        CHECK(has(answer, "answer_truncated"));
        CHECK(has(answer, "\"ran\":\"unknown\""));
        CHECK(bench.m_endpoint.m_complete.size() == 1);
    }
}

TEST_CASE("a late answer on a reused connection goes to nobody else")
{
    edge_bench bench({manner::answer, manner::answer});
    CHECK(has(bench.exchange(bench.request("GET", "/s/first")), "/s/first"));
    edge_bench slow({manner::late, manner::answer});
    CHECK(has(slow.exchange(slow.request("GET", "/s/first")), "/s/first"));
    const std::string second = slow.exchange(slow.request("GET", "/s/second"));
    CHECK(has(second, "/s/second"));
    CHECK_FALSE(has(second, "/s/first"));
}

TEST_CASE("requests that could be read in two ways are refused and reach no endpoint")
{
    const std::string start = "POST /s/one HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key-a\r\n";
    const std::vector<std::string> table{
        start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
        start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n",
        start + "Content-Length: -4\r\n\r\nbody",
        start + "Content-Length: 4 4\r\n\r\nbody",
        start + "X-One: a\rb\r\nContent-Length: 4\r\n\r\nbody",
        "POST /s/one HTTP/1.1\r\nHost : x\r\nContent-Length: 4\r\n\r\nbody",
        "POST /s/o ne HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST /s/one HTTP/9.9\r\nHost: x\r\n\r\n",
        std::string("GET /s/\0one HTTP/1.1\r\n\r\n", 24),
        "nonsense\r\n\r\n",
    };
    for (const std::string& bytes : table) {
        edge_bench bench({manner::answer});
        const std::string answer = bench.exchange(bytes);
        INFO(bytes);
        CHECK(has(answer, "HTTP/1.1 400"));
        CHECK(bench.m_endpoint.m_complete.empty());
    }
}

TEST_CASE("an absolute target names no service and a hop's fields stay on their hop")
{
    edge_bench bench({manner::answer});
    const std::string answer = bench.exchange(bench.request("GET", "http://elsewhere/s/one"));
    CHECK(has(answer, "unknown_service"));
    CHECK(bench.m_endpoint.m_complete.empty());
}

TEST_CASE("what exceeds a limit is refused as not run")
{
    edge_limits limits;
    limits.m_max_body_bytes = 1024;
    limits.m_max_header_bytes = 1024;
    edge_bench bench({manner::answer}, limits);
    const std::string large =
        bench.exchange(bench.request("POST", "/s/one", std::string(2000, 'x')));
    CHECK(has(large, "413"));
    CHECK(has(large, "\"ran\":\"no\""));
    const std::string header =
        bench.exchange("GET /s/one HTTP/1.1\r\nX: " + std::string(3000, 'x') + "\r\n\r\n");
    CHECK(has(header, "request_too_large"));
    CHECK(bench.m_endpoint.m_complete.empty());
}

TEST_CASE("a key without a contract and a key that is missing are refused")
{
    edge_bench bench({manner::answer});
    CHECK(has(bench.exchange("GET /s/one HTTP/1.1\r\nConnection: close\r\n\r\n"), "401"));
    CHECK(has(bench.exchange("GET /s/one HTTP/1.1\r\nConnection: close\r\n"
                             "Authorization: Bearer other\r\n\r\n"),
              "no_contract"));
}

TEST_CASE("a planned stop lets a request in flight finish and then says that nothing is left")
{
    edge_limits limits;
    limits.m_drain_time = seconds(0);
    edge_bench bench({manner::late}, limits);
    std::string got;
    bench.begin(bench.request("GET", "/s/one"), got);
    bench.run_until([&] { return !bench.m_endpoint.m_complete.empty(); });
    bench.m_server.stop();
    bench.run_until([&] { return bench.m_idle; });
    CHECK(bench.m_server.active_requests() == 0);
    bench.run_until([&] { return bench.m_exchanges == 0; });
    CHECK(has(got, "200 OK"));
    CHECK(has(got, "Connection: close"));
}
