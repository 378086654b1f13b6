#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http_server.h"

namespace review {

/// The platform's store as PROTOCOL.md describes it. Its leases pause while it is down.
class platform_store {
public:
    explicit platform_store(asio::io_context& context);

    [[nodiscard]] std::string address() const { return m_server.address(); }

    /// Refuses all calls with 503, or serves again.
    void set_down(bool down);

    /// Sets the time that an answer takes.
    void set_delay(milliseconds delay) { m_delay = delay; }

    /// Writes a key for the operator or a runner; does nothing while the store is down.
    void put(const std::string& key, const std::string& value);

    /// Raw value of a key; empty if there is none.
    [[nodiscard]] std::string value(const std::string& key) const;

    /// Number of keys with a prefix.
    [[nodiscard]] std::size_t count(const std::string& prefix) const;

private:
    struct item {
        std::string m_key;
        std::string m_value;
        std::int64_t m_revision = 0;
        std::int64_t m_created = 0;
        std::int64_t m_lease = 0;
        bool m_deleted = false;
    };
    struct lease {
        milliseconds m_ttl{0};
        steady::time_point m_ends_at{};
    };

    asio::awaitable<std::optional<http_reply>> handle(http_request request);
    asio::awaitable<std::optional<http_reply>> serve(http_request request);
    asio::awaitable<std::optional<http_reply>> watch(http_request request);
    http_reply read_range(const http_request& request) const;
    http_reply commit(const std::string& body);
    http_reply grant_lease(const std::string& body);
    void write(const std::string& key, const std::string& value, std::int64_t lease,
               std::int64_t revision);
    void remove(const std::string& key, std::int64_t revision);
    void end_lease(std::int64_t id);
    asio::awaitable<void> expire_leases();

    asio::io_context& m_context;
    http_server m_server;
    std::map<std::string, item> m_items;
    std::deque<item> m_history;
    std::map<std::int64_t, lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_next_lease = 1;
    milliseconds m_delay{4};
    bool m_down = false;
    steady::time_point m_down_since{};
};

} // namespace review
