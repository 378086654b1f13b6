#pragma once

#include <map>
#include <vector>

#include "net.h"

namespace review {

/// The platform's store: items, a history for watches, and leases.
class store {
public:
    explicit store(asio::io_context& context);

    void start();

    [[nodiscard]] std::string address() const { return m_server.address(); }

    /// Writes as the operator and the runners do.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// Called after a write under a condition, with the first key and the size of its value.
    std::function<void(const std::string&, std::size_t)> m_on_commit;

    /// Value of an item; empty if there is none.
    [[nodiscard]] std::string get(const std::string& key) const;

private:
    struct item {
        std::string m_value;
        std::int64_t m_revision = 0;
        std::int64_t m_created = 0;
        std::int64_t m_lease = 0;
    };
    struct change {
        std::string m_key;
        std::int64_t m_revision = 0;
        json::object m_event;
    };

    asio::awaitable<reply> answer(request asked);
    asio::awaitable<reply> watch(request asked);
    reply read_range(const request& asked) const;
    reply commit(const request& asked);
    json::object encode(const std::string& key, const item& what) const;
    void write(const std::string& key, const std::string& value, std::int64_t lease,
               std::int64_t revision);
    void erase(const std::string& key, std::int64_t revision);
    void end_lease(std::int64_t lease);
    asio::awaitable<void> expire_leases();

    asio::io_context& m_context;
    http_server m_server;
    std::map<std::string, item> m_items;
    std::vector<change> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_next_lease = 1;
    std::map<std::int64_t, std::pair<milliseconds, steady::time_point>> m_leases;
};

} // namespace review
