#include "hostile/hostile_checks.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <thread>

#include "core/time.h"
#include "net/http_status.h"
#include "support/loopback.h"

namespace guavabay::test {

namespace {

/// Longest time of one exchange.
constexpr seconds exchange_limit{60};

/// Sends requests until none is left; a connection that fails is replaced.
asio::awaitable<void> exchange_some(asio::io_context& context, ip_address address,
                                    const std::vector<std::string>& requests, std::size_t& next,
                                    std::vector<received_answer>& answers)
{
    asio::ip::tcp::socket socket(context);
    beast::flat_buffer buffer;
    while (next < requests.size()) {
        const std::size_t number = next++;
        error_code error;
        if (!socket.is_open()) {
            buffer.clear();
            co_await socket.async_connect(address.tcp(), to_coroutine(error));
        }
        if (!error) {
            co_await asio::async_write(socket, asio::buffer(requests[number]), to_coroutine(error));
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        if (!error) {
            co_await http::async_read(socket, buffer, parser, to_coroutine(error));
        }
        if (!error) {
            const auto& response = parser.get();
            const auto retry_after = response[http::field::retry_after];
            answers[number] = {response.result_int(),
                               static_cast<unsigned>(std::atoi(std::string(retry_after).c_str())),
                               response.body()};
        }
        if (error || !parser.keep_alive()) {
            error_code ignored;
            socket.close(ignored);
        }
    }
}

} // namespace

std::string header_with_length(std::size_t length)
{
    return post_header + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::string get_request(const std::string& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: callers.example\r\n\r\n";
}

std::string make_id(std::uint64_t number)
{
    char text[sizeof "0123456789abcdef"];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

std::string submit_request_text(std::uint64_t id, const std::string& body)
{
    return "POST /queue/" + make_id(id) +
           " HTTP/1.1\r\nHost: callers.example\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string repeat_json(const std::string& item, std::size_t count)
{
    std::string list = "[";
    for (std::size_t i = 0; i < count; ++i) {
        list += (i == 0 ? "" : ",") + item;
    }
    return list + "]";
}

std::vector<received_answer> exchange(const ip_address& address,
                                      const std::vector<std::string>& requests,
                                      std::size_t connections)
{
    asio::io_context context{1};
    std::vector<received_answer> answers(requests.size());
    std::size_t next = 0;
    for (std::size_t i = 0; i < connections; ++i) {
        asio::co_spawn(context, exchange_some(context, address, requests, next, answers),
                       asio::detached);
    }
    context.run_for(exchange_limit);
    return answers;
}

std::size_t count_status(const std::vector<received_answer>& answers, unsigned status)
{
    return static_cast<std::size_t>(
        std::count_if(answers.begin(), answers.end(),
                      [status](const received_answer& one) { return one.m_status == status; }));
}

bool are_accepted_or_refused(const std::vector<received_answer>& answers)
{
    return std::all_of(answers.begin(), answers.end(), [](const received_answer& one) {
        const bool is_refusal = one.m_status == http_status::too_many_requests ||
                                one.m_status == http_status::unavailable;
        return one.m_status == http_status::ok || (is_refusal && one.m_retry_after_s > 0);
    });
}

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

void check_resources(running_program& program, std::size_t socket_limit, std::size_t memory_mb)
{
    wait_until_settled(program);
    CHECK(program.is_alive());
    CHECK(program.peak_memory_mb() <= memory_mb);
    CHECK(program.open_sockets() <= socket_limit);
}

} // namespace guavabay::test
