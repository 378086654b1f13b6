#include "hostile/client_crowd.h"

#include <thread>

namespace guavabay::test {

namespace {

/// A crowd has finished when no connection takes a byte for this time.
constexpr milliseconds max_pause{1000};
constexpr milliseconds send_interval{2};

} // namespace

client_crowd::client_crowd(const ip_address& address, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        client& one = m_clients.emplace_back(client{asio::ip::tcp::socket(m_context), {}});
        error_code error;
        one.m_socket.connect(address.tcp(), error);
        one.m_failed = error.failed();
        if (!one.m_failed) {
            one.m_socket.non_blocking(true);
        }
    }
}

bool client_crowd::send_some(client& one, const std::string& piece, std::size_t bytes_each)
{
    if (one.m_failed || one.m_sent >= bytes_each) {
        return false;
    }
    if (one.m_waiting.empty()) {
        one.m_waiting = piece;
    }
    error_code error;
    const std::size_t length = one.m_socket.write_some(asio::buffer(one.m_waiting), error);
    one.m_failed = error && error != asio::error::would_block && error != asio::error::try_again;
    one.m_waiting.erase(0, error ? 0 : length);
    one.m_sent += error ? 0 : length;
    return !error && length > 0;
}

void client_crowd::flood(const std::string& first, const std::string& piece, std::size_t bytes_each)
{
    for (client& one : m_clients) {
        one.m_waiting = first;
        one.m_sent = 0;
    }
    time_point last_progress = read_clock();
    while (read_clock() - last_progress < max_pause) {
        bool progress = false;
        bool finished = true;
        for (client& one : m_clients) {
            progress = send_some(one, piece, bytes_each) || progress;
            finished = finished && (one.m_failed || one.m_sent >= bytes_each);
        }
        if (finished) {
            return;
        }
        if (progress) {
            last_progress = read_clock();
        }
        else {
            std::this_thread::sleep_for(send_interval);
        }
    }
}

void client_crowd::drip(char byte)
{
    for (client& one : m_clients) {
        if (!one.m_failed) {
            error_code error;
            one.m_socket.write_some(asio::buffer(&byte, 1), error);
            one.m_failed = error && error != asio::error::would_block;
        }
    }
}

} // namespace guavabay::test
