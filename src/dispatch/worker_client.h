#pragma once

#include <utility>

#include "dispatch/worker_relays.h"
#include "net/http_client.h"
#include "peer/host_link.h"
#include "worker/worker.h"
#include "worker/worker_order.h"

namespace guavabay {

/// Report of a worker, empty unless its outcome is accepted.
using hold_result = std::pair<std::optional<worker_report>, order_outcome>;

/// Calls workers on behalf of shard owners, directly or through another entry host. A relay that
/// does not answer is avoided for a while: a hold is then repeated directly, and the outcome of an
/// order is unknown. Must be used on the thread that runs the HTTP client.
class worker_client {
public:
    /// Creates a client that calls directly until set_relays(); the HTTP client must outlive it.
    explicit worker_client(http_client& client) : m_client(client) {}

    /// Allows calls through registered hosts that own no shard. The link and the maps must outlive
    /// this client.
    void set_relays(host_link& link, const std::map<host_id, host_record>& members,
                    const std::map<service_id, owner_record>& owners, host_id self);

    /// Sends an order to a worker; through a relay near its zone if one is allowed and known.
    asio::awaitable<order_outcome> send_order(worker_order order, fencing_token token, zone_id zone,
                                              bool may_relay);

    /// Renews a worker's lease and reads its runs. The worker may delay its answer by `wait`.
    asio::awaitable<hold_result> hold(hold_request request, fencing_token token, milliseconds wait,
                                      zone_id zone, bool may_relay);

    /// Makes a call that another host relays.
    asio::awaitable<host_message> relay_order(worker_order_request request);
    asio::awaitable<host_message> relay_hold(worker_hold_request request);

    /// Numbers of calls that other hosts relayed, and of those that they did not answer in time.
    [[nodiscard]] std::uint64_t relayed() const { return m_relayed; }
    [[nodiscard]] std::uint64_t relay_failures() const { return m_relay_failures; }

private:
    asio::awaitable<order_outcome> send_order_directly(worker_order order, fencing_token token);
    asio::awaitable<hold_result> hold_directly(hold_request request, fencing_token token,
                                               milliseconds wait);
    /// Address of the relay for a worker; empty for a direct call.
    std::optional<std::string> find_relay(const worker_id& worker, const zone_id& zone,
                                          bool may_relay);
    void report_relay_failure(const std::string& relay, const worker_id& worker, const char* call);

    http_client& m_client;
    host_link* m_peer_link = nullptr;
    const std::map<host_id, host_record>* m_members = nullptr;
    const std::map<service_id, owner_record>* m_owners = nullptr;
    host_id m_self;
    worker_relays m_relays;
    std::uint64_t m_relayed = 0;
    std::uint64_t m_relay_failures = 0;
};

} // namespace guavabay
