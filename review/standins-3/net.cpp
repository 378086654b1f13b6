#include "net.h"

#include <boost/beast/core/detail/base64.hpp>
#include <random>

namespace review {

namespace {

using stream = boost::beast::tcp_stream;

auto to_result(boost::system::error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

request make_request(const http::request<http::string_body>& read)
{
    request made;
    made.m_method = std::string(read.method_string());
    const std::string target(read.target());
    const std::size_t mark = target.find('?');
    made.m_path = target.substr(0, mark);
    made.m_query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    made.m_instance = std::string(read["Guavabay-Expect-Instance"]);
    made.m_holder = std::string(read["Guavabay-Duty-Holder"]);
    made.m_token = std::atoll(std::string(read["Guavabay-Fencing-Token"]).c_str());
    boost::system::error_code error;
    const json::value parsed = json::parse(read.body(), error);
    if (!error && parsed.is_object()) {
        made.m_body = parsed.get_object();
    }
    return made;
}

unsigned hex_value(char digit)
{
    const std::string digits = "0123456789ABCDEF";
    const auto upper = static_cast<char>(std::toupper(static_cast<unsigned char>(digit)));
    return static_cast<unsigned>(digits.find(upper));
}

} // namespace

asio::awaitable<void> pause_for(milliseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::int64_t number_of(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_int64() ? value->get_int64() : 0;
}

std::string text_of(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::string parameter_of(const std::string& query, const std::string& name)
{
    std::size_t at = 0;
    while (at < query.size()) {
        const std::size_t end = std::min(query.find('&', at), query.size());
        const std::string part = query.substr(at, end - at);
        at = end + 1;
        if (!part.starts_with(name + "=")) {
            continue;
        }
        std::string text;
        for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
            if (part[i] == '%' && i + 2 < part.size()) {
                text += static_cast<char>(hex_value(part[i + 1]) * 16 + hex_value(part[i + 2]));
                i += 2;
            }
            else {
                text += part[i];
            }
        }
        return text;
    }
    return {};
}

std::string to_base64(const std::string& bytes)
{
    std::string text(boost::beast::detail::base64::encoded_size(bytes.size()), '\0');
    text.resize(boost::beast::detail::base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::string from_base64(const std::string& text)
{
    std::string bytes(boost::beast::detail::base64::decoded_size(text.size()), '\0');
    bytes.resize(
        boost::beast::detail::base64::decode(bytes.data(), text.data(), text.size()).first);
    return bytes;
}

unsigned short find_free_port()
{
    // Ports from the range of outgoing connections could be taken while a runner is down.
    constexpr unsigned first_port = 20000;
    constexpr unsigned port_count = 12000;
    static std::mt19937 random{std::random_device{}()};
    asio::io_context context;
    while (true) {
        const asio::ip::tcp::endpoint tried(
            asio::ip::address_v4::loopback(),
            static_cast<unsigned short>(first_port + random() % port_count));
        boost::system::error_code error;
        asio::ip::tcp::acceptor acceptor(context);
        acceptor.open(tried.protocol(), error);
        acceptor.bind(tried, error);
        if (!error) {
            return tried.port();
        }
    }
}

http_server::http_server(asio::io_context& context, handler handle)
    : m_context(context), m_handle(std::move(handle)), m_port(find_free_port())
{
}

void http_server::start()
{
    m_acceptor = std::make_shared<asio::ip::tcp::acceptor>(
        m_context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), m_port));
    asio::co_spawn(m_context, accept(m_acceptor), asio::detached);
}

void http_server::stop()
{
    boost::system::error_code ignored;
    if (m_acceptor) {
        m_acceptor->close(ignored);
        m_acceptor.reset();
    }
    for (const socket_pointer& socket : m_sockets) {
        // Closing without a linger time resets the connection, as the end of a process does.
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    m_sockets.clear();
}

asio::awaitable<void> http_server::accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor)
{
    while (acceptor->is_open()) {
        boost::system::error_code error;
        auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
        co_await acceptor->async_accept(*socket, to_result(error));
        if (error) {
            co_return;
        }
        m_sockets.insert(socket);
        asio::co_spawn(m_context, serve(socket), asio::detached);
    }
}

asio::awaitable<void> http_server::serve(socket_pointer socket)
{
    boost::system::error_code error;
    socket->set_option(asio::ip::tcp::no_delay(true), error);
    boost::beast::flat_buffer buffer;
    while (true) {
        http::request<http::string_body> read;
        co_await http::async_read(*socket, buffer, read, to_result(error));
        if (error) {
            break;
        }
        const reply answer = co_await m_handle(make_request(read));
        if (answer.m_status == 0) {
            break;
        }
        http::response<http::string_body> response;
        response.version(11);
        response.result(answer.m_status);
        response.set(http::field::content_type, "application/json");
        response.body() = json::serialize(answer.m_body);
        response.keep_alive(read.keep_alive());
        response.prepare_payload();
        co_await http::async_write(*socket, response, to_result(error));
        if (error || !read.keep_alive()) {
            break;
        }
    }
    m_sockets.erase(socket);
}

asio::awaitable<reply> call(std::string address, std::string method, std::string host,
                            std::string target, std::string body, milliseconds timeout)
{
    reply answer;
    boost::system::error_code error;
    stream connection(co_await asio::this_coro::executor);
    connection.expires_after(timeout);
    const std::size_t colon = address.find(':');
    const asio::ip::tcp::endpoint target_endpoint(
        asio::ip::make_address(address.substr(0, colon)),
        static_cast<unsigned short>(std::stoi(address.substr(colon + 1))));
    co_await connection.async_connect(target_endpoint, to_result(error));
    if (error) {
        co_return answer;
    }
    http::request<http::string_body> sent(http::string_to_verb(method), target, 11);
    sent.set(http::field::host, host);
    sent.set("Guavabay-Deadline-Ms", std::to_string(timeout.count()));
    sent.set(http::field::content_type, "application/json");
    sent.body() = std::move(body);
    sent.prepare_payload();
    co_await http::async_write(connection, sent, to_result(error));
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> read;
    if (!error) {
        co_await http::async_read(connection, buffer, read, to_result(error));
    }
    if (error) {
        co_return answer;
    }
    answer.m_status = read.result_int();
    boost::system::error_code malformed;
    const json::value parsed = json::parse(read.body(), malformed);
    if (!malformed && parsed.is_object()) {
        answer.m_body = parsed.get_object();
    }
    co_return answer;
}

} // namespace review
