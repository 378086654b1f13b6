#include <boost/asio/write.hpp>
#include <deque>
#include <sstream>

#include "net/asio.h"
#include "roles.h"
#include "store_table.h"
#include "switches.h"

namespace standins {

using namespace guavabay;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds watch_poll{5};
constexpr std::chrono::milliseconds expiry_interval{200};

std::int64_t now_ms()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// The stand-in store: the table, the faults and a count of calls, behind HTTP.
class store_role {
public:
    store_role(asio::io_context& context, const asio::ip::tcp::endpoint& address)
        : m_context(context), m_acceptor(context, address)
    {
        asio::co_spawn(m_context, accept(), asio::detached);
        asio::co_spawn(m_context, expire(), asio::detached);
    }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            error_code error;
            auto socket = co_await m_acceptor.async_accept(to_coroutine(error));
            if (!error) {
                asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
            }
        }
    }

    asio::awaitable<void> expire()
    {
        asio::steady_timer timer(m_context);
        while (true) {
            timer.expires_after(expiry_interval);
            error_code ignored;
            co_await timer.async_wait(to_coroutine(ignored));
            if (m_switches.take("lapse")) {
                m_table.expire_all();
            }
            if (m_switches.get("outage") == 0) {
                m_table.expire(now_ms());
            }
        }
    }

    asio::awaitable<void> pause(long milliseconds)
    {
        asio::steady_timer timer(m_context, std::chrono::milliseconds(milliseconds));
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        beast::tcp_stream stream(std::move(socket));
        beast::flat_buffer buffer;
        error_code error;
        while (!error) {
            http::request<http::string_body> request;
            co_await http::async_read(stream, buffer, request, to_coroutine(error));
            if (error) {
                co_return;
            }
            const std::string target(request.target());
            http::response<http::string_body> response(http::status::ok, 11);
            if (m_switches.set_from_path(target)) {
                response.body() = "set\n";
            }
            else if (target == "/-/calls") {
                response.body() = std::to_string(m_calls) + "\n";
            }
            else {
                ++m_calls;
                if (m_switches.get("outage") != 0) {
                    co_return;
                }
                if (m_switches.get("slow") != 0) {
                    co_await pause(m_switches.get("slow"));
                }
                if (target == "/v3/watch") {
                    co_await watch(stream, request.body());
                    co_return;
                }
                const bool lose = target == "/v3/kv/txn" && m_switches.take("lose");
                const bool drop = target == "/v3/kv/txn" && m_switches.take("drop");
                if (drop) {
                    co_return;
                }
                response.body() = json::serialize(answer(target, request.body()));
                if (lose) {
                    co_return;
                }
            }
            response.prepare_payload();
            co_await http::async_write(stream, response, to_coroutine(error));
        }
    }

    json::object answer(const std::string& target, const std::string& body)
    {
        const json::value value = json::parse(body);
        const json::object& request = value.as_object();
        if (target == "/v3/kv/range") {
            return m_table.range(request);
        }
        if (target == "/v3/kv/txn") {
            return m_table.transact(request);
        }
        if (target == "/v3/kv/put") {
            return m_table.put(request);
        }
        if (target == "/v3/lease/grant") {
            return m_table.grant(request, now_ms());
        }
        if (target == "/v3/lease/keepalive") {
            return m_table.keep(request, now_ms());
        }
        if (target == "/v3/lease/revoke") {
            return m_table.revoke(request);
        }
        return {{"error", "no such call"}};
    }

    asio::awaitable<void> watch(beast::tcp_stream& stream, const std::string& body)
    {
        const json::value value = json::parse(body);
        const json::object& create = value.at("create_request").as_object();
        std::int64_t next = std::stoll(create.at("start_revision").as_string().c_str());
        const std::string key = create.at("key").as_string().c_str();
        const std::string end = create.at("range_end").as_string().c_str();
        http::response<http::empty_body> response(http::status::ok, 11);
        response.chunked(true);
        http::response_serializer<http::empty_body> serializer(response);
        error_code error;
        co_await http::async_write_header(stream, serializer, to_coroutine(error));
        co_await write_line(stream, created_line(), error);
        while (!error && m_switches.get("outage") == 0) {
            const bool silent = m_switches.get("silent_watch") != 0;
            if (!silent && m_table.revision() >= next) {
                json::array events;
                for (const store_table::change& one : m_table.changes_since(next, key, end)) {
                    events.push_back(one.m_event);
                }
                next = m_table.revision() + 1;
                if (!events.empty()) {
                    co_await write_line(stream, event_line(std::move(events)), error);
                }
            }
            co_await pause(watch_poll.count());
        }
    }

    [[nodiscard]] json::object revision_header() const
    {
        return {{"revision", std::to_string(m_table.revision())}};
    }

    [[nodiscard]] std::string created_line() const
    {
        json::object result{{"header", revision_header()}, {"created", true}};
        return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
    }

    [[nodiscard]] std::string event_line(json::array events) const
    {
        json::object result{{"header", revision_header()}, {"events", std::move(events)}};
        return json::serialize(json::object{{"result", std::move(result)}}) + "\n";
    }

    static asio::awaitable<void> write_line(beast::tcp_stream& stream, std::string line,
                                            error_code& error)
    {
        std::ostringstream chunk;
        chunk << std::hex << line.size() << "\r\n" << line << "\r\n";
        const std::string bytes = chunk.str();
        co_await asio::async_write(stream, asio::buffer(bytes), to_coroutine(error));
    }

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    store_table m_table;
    switches m_switches;
    std::uint64_t m_calls = 0;
};

} // namespace

int run_store(const options& given)
{
    asio::io_context context(1);
    const store_role role(context, {asio::ip::make_address("127.0.0.1"),
                                    static_cast<std::uint16_t>(given.number("port"))});
    context.run();
    return 0;
}

} // namespace standins
