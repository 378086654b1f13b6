#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "peer/host_link.h"

namespace guavabay {

/// Calls to the platform's store. While the store does not serve this host, calls go through a
/// peer that it serves.
class store_client {
public:
    /// Peers that say that the store answers them.
    using peer_list = std::function<std::vector<std::string>()>;

    /// Makes a link over a client and a link to peers that outlive it.
    store_client(http_client& client, ip_address address);

    /// Sets how other hosts are reached; called once before the first call.
    void set_peers(host_link& link, peer_list peers);

    /// Carries out a call, through a peer where the store does not serve this host.
    asio::awaitable<http_answer> call(http_call what, milliseconds timeout);

    /// Carries out a call without the help of a peer.
    asio::awaitable<http_answer> call_direct(http_call what, milliseconds timeout);

    /// True when the store's last answers to this host were answers.
    [[nodiscard]] bool answers() const { return m_failures == 0; }

    /// Calls made so far, for the metrics.
    [[nodiscard]] std::uint64_t calls() const { return m_calls; }

private:
    asio::awaitable<http_answer> call_relayed(std::string peer, http_call what,
                                              milliseconds timeout);

    http_client& m_client;
    ip_address m_address;
    host_link* m_peers_link = nullptr;
    peer_list m_peers;
    std::uint32_t m_failures = 0; ///< In a row.
    time_point m_last_try{};
    std::uint64_t m_calls = 0;
    std::uint64_t m_turn = 0;
};

} // namespace guavabay
