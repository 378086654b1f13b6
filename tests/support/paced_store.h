#pragma once

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "net/address.h"
#include "store/store_item.h"

namespace guavabay::test {

/// Stand-in for the platform's store on loopback, with the bandwidth of the link to one host.
/// Leases never end. Used on the thread that runs its io_context.
class paced_store {
public:
    /// Listens on a free port and starts to answer calls.
    explicit paced_store(asio::io_context& context);

    /// Address to which hosts send their calls.
    [[nodiscard]] ip_address address() const;

    /// Writes a record as the operator does, without a condition.
    revision put(const std::string& key, std::string value);

    /// Removes a record as the operator does, without a condition.
    revision remove(const std::string& key);

    /// True if there is a record under a key.
    [[nodiscard]] bool contains(const std::string& key) const { return m_items.contains(key); }

    /// The values of all records whose keys begin with a prefix, in the order of their keys.
    [[nodiscard]] std::vector<std::string> values(const std::string& prefix) const;

    /// Number of times a record's value was sent, complete or not.
    [[nodiscard]] std::size_t copies_sent(const std::string& key) const;

    /// Nothing is read from or sent on the connections that are open now any more; new ones work.
    void silence_open_connections() { m_first_live = m_connections; }

    std::size_t m_bytes_per_s = 0;  ///< Of all answers together; zero sends without delay.
    unsigned m_refuse_status = 0;   ///< Status that every call is refused with; zero serves calls.
    unsigned m_refuse_removals = 0; ///< Number of commits with removals that are refused.
    unsigned m_lose_answers = 0;    ///< Number of commits that take effect and get no answer.
    bool m_stall = false;           ///< Stops in the middle of answers until the caller hangs up.

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(asio::ip::tcp::socket socket, std::size_t number);
    /// Produces the answer to a call; a watch waits for a change.
    asio::awaitable<http::response<http::string_body>>
    answer(http::request<http::string_body> request);
    boost::json::object read_range(const std::string& prefix, const std::string& after);
    asio::awaitable<boost::json::object> watch(std::string prefix, std::int64_t after,
                                               milliseconds wait);
    /// Commits a transaction; returns the status.
    unsigned commit(const boost::json::object& body, boost::json::object& result);
    boost::json::object encode_item(const store_item& item);
    revision write(const std::string& key, std::string value, lease_id lease, bool removed);
    /// Sends bytes at the pace of the link; false if the connection failed.
    asio::awaitable<bool> send(asio::ip::tcp::socket& socket, std::string bytes);

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<store_item> m_history; ///< Each change, oldest first.
    std::map<std::string, store_item> m_items;
    std::map<std::string, std::size_t> m_copies;
    std::int64_t m_revision = 1;
    std::int64_t m_next_lease = 1;
    std::size_t m_connections = 0;
    std::size_t m_first_live = 0; ///< Earlier connections are silent.
    time_point m_link_free_at{};
};

} // namespace guavabay::test
