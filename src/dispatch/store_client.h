#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "peer/host_link.h"

namespace guavabay {

/// HTTP client of the platform's store. While the store does not serve this host, calls are relayed
/// by a peer that it does serve. Must be used on the thread that runs the HTTP client.
class store_client {
public:
    /// Returns the addresses of peers that report that the store answers them.
    using peer_lookup = std::function<std::vector<std::string>()>;

    /// Creates a client for the store at an address; the HTTP client must outlive it.
    store_client(http_client& client, ip_address address);

    /// Sets the peers that relay calls. Must be called once, before the first call; the link must
    /// outlive this client.
    void set_relay_peers(host_link& link, peer_lookup peers);

    /// Makes a call, relayed by a peer while the store does not serve this host. A direct attempt
    /// that fails may precede the relayed one, so that the whole may take longer than the timeout.
    /// The timeout applies until an answer begins; an answer that keeps arriving is not abandoned.
    /// Failures are reported in the progress and status of the answer; its progress is unknown if
    /// any attempt may have taken effect and none was served. Sets the time at which data
    /// of a successful answer last arrived on a direct call, if it is asked for.
    asio::awaitable<http_answer> call(http_call store_request, milliseconds timeout,
                                      time_point* last_received_at = nullptr);

    /// Makes a call to the store without a relay, like call().
    asio::awaitable<http_answer> call_direct(http_call store_request, milliseconds timeout,
                                             time_point* last_received_at = nullptr);

    /// True if the store served the last direct call, and before the first one. A failed
    /// connection, a missing answer, status 429 and statuses from 500 on count as not served.
    [[nodiscard]] bool is_available() const { return m_consecutive_failures == 0; }

    /// Number of direct calls so far, for the metrics.
    [[nodiscard]] std::uint64_t call_count() const { return m_call_count; }

    /// Bytes of the bodies that direct calls received so far, for the metrics.
    [[nodiscard]] std::uint64_t received_bytes() const { return m_received_bytes; }

private:
    asio::awaitable<http_answer> call_relayed(std::string peer, http_call store_request,
                                              milliseconds timeout);

    http_client& m_client;
    ip_address m_address;
    host_link* m_peer_link = nullptr;
    peer_lookup m_relay_peers;
    std::uint32_t m_consecutive_failures = 0; ///< Of direct calls.
    time_point m_last_direct_call{};
    std::uint64_t m_call_count = 0;
    std::uint64_t m_received_bytes = 0;
    std::uint64_t m_next_relay = 0; ///< Round-robin position in the list of peers.
};

} // namespace guavabay
