#include "http_server.h"

#include <stdexcept>
#include <unistd.h>

namespace review {

namespace {

std::string percent_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded +=
                static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        }
        else {
            decoded += text[i];
        }
    }
    return decoded;
}

void parse_target(std::string_view target, http_request& request)
{
    const std::size_t mark = target.find('?');
    request.m_path = std::string(target.substr(0, mark));
    if (mark == std::string_view::npos) {
        return;
    }
    std::string_view rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos) {
            request.m_query[std::string(pair.substr(0, equals))] =
                percent_decode(pair.substr(equals + 1));
        }
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
}

void reset(beast::tcp_stream& stream)
{
    error_code ignored;
    stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    stream.socket().close(ignored);
}

} // namespace

unsigned short find_free_port()
{
    constexpr unsigned first_port = 20000;
    constexpr unsigned port_count = 9000;
    // Scenarios that run at the same time begin their search at different ports.
    static unsigned next = static_cast<unsigned>(getpid()) * 61U;
    for (unsigned tries = 0; tries < port_count; ++tries) {
        const auto port = static_cast<unsigned short>(first_port + next++ % port_count);
        asio::io_context context;
        asio::ip::tcp::socket probe(context);
        error_code error;
        probe.open(asio::ip::tcp::v4(), error);
        probe.bind({asio::ip::address_v4::loopback(), port}, error);
        if (!error) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

http_server::http_server(asio::io_context& context, handler handler)
    : m_context(context), m_handler(std::move(handler))
{
}

void http_server::open()
{
    m_port = m_port == 0 ? find_free_port() : m_port;
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4::loopback(), m_port);
    m_acceptor = std::make_shared<asio::ip::tcp::acceptor>(m_context, endpoint);
    asio::co_spawn(m_context, accept(m_acceptor), asio::detached);
}

void http_server::close()
{
    error_code ignored;
    m_acceptor->close(ignored);
    reset_connections();
}

void http_server::reset_connections()
{
    for (const std::shared_ptr<beast::tcp_stream>& stream : m_connections) {
        reset(*stream);
    }
    m_connections.clear();
}

std::string http_server::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

asio::awaitable<void> http_server::accept(std::shared_ptr<asio::ip::tcp::acceptor> acceptor)
{
    while (acceptor->is_open()) {
        error_code error;
        asio::ip::tcp::socket socket = co_await acceptor->async_accept(to_coroutine(error));
        if (!error) {
            auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
            m_connections.insert(stream);
            asio::co_spawn(m_context, serve(stream), asio::detached);
        }
    }
}

asio::awaitable<void> http_server::serve(std::shared_ptr<beast::tcp_stream> stream)
{
    error_code error;
    stream->socket().set_option(asio::ip::tcp::no_delay(true), error);
    beast::flat_buffer buffer;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(16U << 20U);
        co_await http::async_read(*stream, buffer, parser, to_coroutine(error));
        if (error) {
            break;
        }
        const http::request<http::string_body>& received = parser.get();
        http_request request;
        request.m_method = std::string(received.method_string());
        parse_target({received.target().data(), received.target().size()}, request);
        request.m_body = received.body();
        const auto expected = received["Guavabay-Expect-Instance"];
        request.m_expected_instance = std::string(expected.data(), expected.size());
        const std::optional<http_reply> reply = co_await m_handler(std::move(request));
        if (!reply) {
            continue;
        }
        http::response<http::string_body> response(http::int_to_status(reply->m_status), 11);
        response.set(http::field::content_type, "application/json");
        response.body() = reply->m_body;
        response.prepare_payload();
        co_await http::async_write(*stream, response, to_coroutine(error));
        if (error) {
            break;
        }
    }
    m_connections.erase(stream);
}

} // namespace review
