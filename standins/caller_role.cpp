#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <sstream>

#include "metrics/latency_histogram.h"
#include "net/address.h"
#include "net/asio.h"
#include "roles.h"

namespace standins {

using namespace guavabay;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds answer_patience{60};

/// Callers with open-loop load: requests start at their intended times, whatever became of the
/// earlier ones, and latency counts from the intended start.
class caller_role {
public:
    caller_role(asio::io_context& context, const options& given)
        : m_context(context), m_given(given),
          m_random(static_cast<std::uint64_t>(given.number("seed", 1)))
    {
        std::stringstream stream(given.text("targets"));
        std::string part;
        while (std::getline(stream, part, ',')) {
            m_targets.push_back(*parse_address(part));
        }
        if (!given.text("record").empty()) {
            m_record.open(given.text("record"), std::ios::app);
        }
        asio::co_spawn(m_context, generate(), asio::detached);
    }

    void print() const
    {
        std::cout << json::serialize(json::object{
                         {"requests", m_sent},
                         {"ok", m_ok},
                         {"p50_ms", m_latency.quantile(0.5) * 1000},
                         {"p99_ms", m_latency.quantile(0.99) * 1000},
                         {"mean_ms", m_latency.sum() * 1000 /
                                         std::max(1.0, static_cast<double>(m_latency.count()))},
                         {"outcomes", m_outcomes}})
                  << "\n";
    }

private:
    asio::awaitable<void> generate()
    {
        const auto rate = static_cast<double>(m_given.number("rate", 100));
        const long total = m_given.number("requests", 1000);
        const long closed = m_given.number("closed", 0);
        if (closed > 0) {
            for (long i = 0; i < closed; ++i) {
                asio::co_spawn(m_context, closed_loop(total / closed), asio::detached);
            }
            co_return;
        }
        std::exponential_distribution<double> gap(rate);
        auto next = std::chrono::steady_clock::now();
        asio::steady_timer timer(m_context);
        for (long i = 0; i < total; ++i) {
            next += std::chrono::nanoseconds(static_cast<long>(gap(m_random) * 1e9));
            timer.expires_at(next);
            error_code ignored;
            co_await timer.async_wait(to_coroutine(ignored));
            asio::co_spawn(m_context, send(i, next), asio::detached);
        }
    }

    asio::awaitable<void> closed_loop(long count)
    {
        for (long i = 0; i < count; ++i) {
            co_await send(m_sent, std::chrono::steady_clock::now());
        }
    }

    http::request<http::string_body> make_request(const std::string& id, const std::string& key)
    {
        const bool post = m_given.text("method", "get") == "post";
        const std::string path = "/" + m_given.text("service", "convert") + "/x";
        http::request<http::string_body> request(post ? http::verb::post : http::verb::get, path,
                                                 11);
        request.set(http::field::host, "guavabay");
        request.set(http::field::authorization, "Bearer " + m_given.text("key", "demo-key"));
        request.set("X-Caller-Id", id);
        if (!key.empty()) {
            request.set("Idempotency-Key", key);
        }
        if (post) {
            request.body() = "body-of-" + (key.empty() ? id : key);
        }
        request.prepare_payload();
        return request;
    }

    asio::awaitable<void> send(long number, std::chrono::steady_clock::time_point intended)
    {
        ++m_sent;
        const std::string id =
            m_given.text("name", "c") + "-" + std::to_string(number) + "-" + std::to_string(m_sent);
        const bool keyed = m_given.text("keyed") == "yes";
        const long repeat = m_given.number("repeat", 1);
        const std::string key =
            keyed ? m_given.text("name", "c") + "-key-" + std::to_string(number / repeat) : "";
        const auto request = make_request(id, key);
        const std::size_t target = m_turn++ % m_targets.size();
        auto& idle = m_idle[target];
        std::unique_ptr<beast::tcp_stream> stream;
        error_code error;
        if (!idle.empty()) {
            stream = std::move(idle.back());
            idle.pop_back();
        }
        else {
            stream = std::make_unique<beast::tcp_stream>(m_context);
            stream->expires_after(std::chrono::seconds(2));
            co_await stream->async_connect(m_targets[target].tcp(), to_coroutine(error));
            if (error) {
                tell(id, key, 0, "", true, false, "no_connection");
                co_return;
            }
            stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
        }
        stream->expires_after(answer_patience);
        co_await http::async_write(*stream, request, to_coroutine(error));
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        if (!error) {
            co_await http::async_read(*stream, buffer, response, to_coroutine(error));
        }
        if (error) {
            tell(id, key, 0, "", true, false, "broken");
            co_return;
        }
        take(id, key, response, request.body(), intended);
        if (response.keep_alive()) {
            m_idle[target].push_back(std::move(stream));
        }
    }

    void take(const std::string& id, const std::string& key,
              const http::response<http::string_body>& response, const std::string& body,
              std::chrono::steady_clock::time_point intended)
    {
        const auto passed = std::chrono::steady_clock::now() - intended;
        m_latency.record(std::chrono::duration_cast<duration>(passed));
        const bool by_endpoint = response.count("X-Answered-By") > 0;
        const std::string expected = id + "|" + body + "|" + id;
        const bool own = !by_endpoint || response.body() == expected;
        std::string ran;
        std::string outcome = std::to_string(response.result_int());
        if (!by_endpoint) {
            boost::system::error_code error;
            const json::value value = json::parse(response.body(), error);
            if (!error && value.is_object() && value.get_object().contains("ran")) {
                ran = value.at("ran").as_string().c_str();
                outcome = value.at("error").as_string().c_str();
            }
        }
        m_ok += by_endpoint && response.result() == http::status::ok ? 1 : 0;
        tell(id, key, static_cast<int>(response.result_int()), ran, own, by_endpoint, outcome);
    }

    void tell(const std::string& id, const std::string& key, int status, const std::string& ran,
              bool own, bool by_endpoint, const std::string& outcome)
    {
        json::value& count = m_outcomes[outcome];
        count = count.is_int64() ? count.get_int64() + 1 : 1;
        if (m_record.is_open()) {
            m_record << json::serialize(json::object{{"id", id},
                                                     {"status", status},
                                                     {"ran", ran},
                                                     {"own", own},
                                                     {"by_endpoint", by_endpoint},
                                                     {"key", key}})
                     << "\n";
        }
    }

    asio::io_context& m_context;
    options m_given;
    std::mt19937_64 m_random;
    std::vector<ip_address> m_targets;
    std::ofstream m_record;
    std::map<std::size_t, std::vector<std::unique_ptr<beast::tcp_stream>>> m_idle;
    latency_histogram m_latency;
    json::object m_outcomes;
    std::size_t m_turn = 0;
    long m_sent = 0;
    long m_ok = 0;
};

/// Copies bytes between two sockets, in one direction.
asio::awaitable<void> copy_bytes(std::shared_ptr<asio::ip::tcp::socket> from,
                                 std::shared_ptr<asio::ip::tcp::socket> to)
{
    std::array<char, 16384> buffer{};
    error_code error;
    while (!error) {
        const std::size_t length =
            co_await from->async_read_some(asio::buffer(buffer), to_coroutine(error));
        if (!error) {
            co_await asio::async_write(*to, asio::buffer(buffer, length), to_coroutine(error));
        }
    }
    to->shutdown(asio::ip::tcp::socket::shutdown_send, error);
}

asio::awaitable<void> relay(asio::io_context& context, std::uint16_t port,
                            asio::ip::tcp::endpoint target)
{
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), port});
    while (true) {
        error_code error;
        auto near = std::make_shared<asio::ip::tcp::socket>(context);
        auto far = std::make_shared<asio::ip::tcp::socket>(context);
        co_await acceptor.async_accept(*near, to_coroutine(error));
        co_await far->async_connect(target, to_coroutine(error));
        near->set_option(asio::ip::tcp::no_delay(true), error);
        far->set_option(asio::ip::tcp::no_delay(true), error);
        asio::co_spawn(context, copy_bytes(near, far), asio::detached);
        asio::co_spawn(context, copy_bytes(far, near), asio::detached);
    }
}

} // namespace

int run_caller(const options& given)
{
    asio::io_context context(1);
    const caller_role role(context, given);
    context.run();
    role.print();
    return 0;
}

int run_relay(const options& given)
{
    asio::io_context context(1);
    asio::co_spawn(context,
                   relay(context, static_cast<std::uint16_t>(given.number("port")),
                         parse_address(given.text("target"))->tcp()),
                   asio::detached);
    context.run();
    return 0;
}

} // namespace standins
