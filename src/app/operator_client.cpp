#include "app/operator_client.h"

#include "core/result.h"

namespace guavabay {

namespace {

constexpr std::chrono::seconds call_patience{20};

asio::awaitable<void> exchange(beast::tcp_stream& stream, const ip_address& address,
                               const http::request<http::string_body>& request,
                               http::response<http::string_body>& response, error_code& error)
{
    stream.expires_after(call_patience);
    co_await stream.async_connect(address.tcp(), to_coroutine(error));
    if (!error) {
        co_await http::async_write(stream, request, to_coroutine(error));
    }
    if (!error) {
        beast::flat_buffer buffer;
        co_await http::async_read(stream, buffer, response, to_coroutine(error));
    }
}

} // namespace

operator_client::operator_client(std::vector<ip_address> addresses, std::string key)
    : m_addresses(std::move(addresses)), m_key(std::move(key))
{
}

std::optional<operator_reply> operator_client::call(const operator_call& wanted)
{
    for (std::size_t i = 0; i < m_addresses.size(); ++i) {
        const std::size_t index = (m_first + i) % m_addresses.size();
        std::optional<operator_reply> reply = call_one(m_addresses[index], wanted);
        if (reply) {
            m_first = index;
            return reply;
        }
    }
    return std::nullopt;
}

std::optional<operator_reply> operator_client::call_one(const ip_address& address,
                                                        const operator_call& wanted)
{
    http::request<http::string_body> request(wanted.m_method, wanted.m_target, 11);
    request.set(http::field::host, "operator");
    request.keep_alive(false);
    if (!m_key.empty()) {
        request.set(http::field::authorization, "Bearer " + m_key);
    }
    for (const auto& [name, value] : wanted.m_headers) {
        request.set(name, value);
    }
    request.body() = wanted.m_body;
    request.prepare_payload();
    asio::io_context context(1);
    beast::tcp_stream stream(context);
    http::response<http::string_body> response;
    error_code error;
    asio::co_spawn(context, exchange(stream, address, request, response, error), asio::detached);
    context.run();
    if (error) {
        return fail(address.m_ip.to_string() + ":" + std::to_string(address.m_port) + ": " +
                    error.message());
    }
    return operator_reply{response.result_int(), response.body()};
}

std::vector<setting> declare_operator_settings()
{
    return {
        {"operators",
         setting_kind::address_list,
         "",
         true,
         0,
         0,
         "",
         "Operator addresses of entry hosts, tried in turn.",
         {}},
        {"operator-key",
         setting_kind::text,
         "",
         false,
         0,
         0,
         "",
         "Bearer key for the operator addresses.",
         {}},
        {"operator",
         setting_kind::text,
         "operator",
         false,
         0,
         0,
         "",
         "Name of the operator, kept with each change.",
         {}},
        {"wait",
         setting_kind::number,
         "0",
         false,
         0,
         3600,
         "s",
         "Longest wait until a change is in force everywhere.",
         {}},
        {"if-version",
         setting_kind::text,
         "",
         false,
         0,
         0,
         "",
         "Version that the contract must still have.",
         {}},
        {"operation",
         setting_kind::text,
         "",
         false,
         0,
         0,
         "",
         "Id of the operation, to repeat one whose answer was lost.",
         {}},
        {"assume-gone",
         setting_kind::text,
         "",
         false,
         0,
         0,
         "",
         "Entry hosts, separated by commas, that the operator knows to be gone.",
         {}},
        {"json",
         setting_kind::word,
         "no",
         false,
         0,
         0,
         "",
         "Whether to print JSON.",
         {"no", "yes"}},
    };
}

operator_client make_operator_client(const setting_values& values)
{
    std::vector<ip_address> addresses;
    for (const std::string& text : values.list("operators")) {
        addresses.push_back(*parse_address(text));
    }
    return {std::move(addresses), values.text("operator-key")};
}

} // namespace guavabay
