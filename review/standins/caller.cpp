#include "caller.h"

namespace review {

asio::awaitable<caller_answer> call_host(asio::io_context& context, record& log,
                                         std::string address, std::string method,
                                         std::string target, std::string body,
                                         milliseconds time_budget)
{
    caller_answer answer;
    const std::size_t colon = address.find(':');
    const asio::ip::tcp::endpoint endpoint(
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
    beast::tcp_stream stream(context);
    stream.expires_after(time_budget);
    error_code error;
    co_await stream.async_connect(endpoint, to_coroutine(error));
    http::request<http::string_body> request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, "jobs.example");
    request.set(http::field::content_type, "application/json");
    request.set("Guavabay-Deadline-Ms", std::to_string(time_budget.count()));
    request.body() = std::move(body);
    request.prepare_payload();
    if (!error) {
        co_await http::async_write(stream, request, to_coroutine(error));
    }
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!error) {
        co_await http::async_read(stream, buffer, response, to_coroutine(error));
    }
    if (!error) {
        answer.m_status = response.result_int();
        answer.m_body = response.body();
    }
    log.add("CALL " + method + " " + target + " at " + address + " -> " +
            (answer.m_status == 0 ? "no answer" : std::to_string(answer.m_status)) + " " +
            answer.m_body);
    co_return answer;
}

} // namespace review
