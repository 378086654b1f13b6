#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/address.h"
#include "store/store.h"

namespace guavabay {

/// Where the platform's store is and which part of it belongs to this system.
struct store_settings {
    std::vector<ip_address> m_addresses;
    std::string m_prefix; ///< First part of every key, for example guavabay/.
    std::chrono::milliseconds m_call_patience{2000}; ///< After it the result of a call is unknown.
};

/// A client of a store that speaks the etcd v3 JSON gateway. Runs on one thread's context, keeps
/// one watch over all keys of the prefix that are not marked as unwatched, and reports everything
/// as store events.
class etcd_store {
public:
    /// Called for each event on the thread of the context.
    using event_handler = std::function<void(store_event&&)>;

    /// Makes a client; nothing is sent before start.
    etcd_store(asio::io_context& context, store_settings settings, event_handler handler);

    /// Starts to read and to watch.
    void start();

    /// Carries out a call; its result comes as an event.
    void call(store_call call);

private:
    using tcp_stream = beast::tcp_stream;

    asio::awaitable<void> follow();
    asio::awaitable<bool> read_all();
    asio::awaitable<void> watch();
    asio::awaitable<void> check_watch(std::size_t generation);
    asio::awaitable<void> run_call(store_call call);
    asio::awaitable<std::optional<std::string>> exchange(std::string target, std::string body);
    void take_watch_line(std::string_view line);
    [[nodiscard]] const ip_address& address() const;

    asio::io_context& m_context;
    store_settings m_settings;
    event_handler m_handler;
    asio::steady_timer m_retry;
    std::vector<tcp_stream> m_idle;
    std::size_t m_address_turn = 0;
    revision m_seen;              ///< Newest position of the history that the watch has shown.
    std::size_t m_generation = 0; ///< Counts watches, so that an old check ends itself.
    std::optional<tcp_stream> m_watch_stream;
};

} // namespace guavabay
