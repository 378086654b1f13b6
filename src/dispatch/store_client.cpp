#include "dispatch/store_client.h"

#include "log/log.h"
#include "net/http_status.h"

namespace guavabay {

namespace {

/// Consecutive direct failures after which calls are relayed by a peer.
constexpr std::uint32_t failures_before_relay = 2;

/// Interval of direct attempts while calls are relayed.
constexpr milliseconds direct_probe_interval{500};

/// Upper limit for the timeout of a direct call while peers can relay it.
constexpr milliseconds max_direct_timeout{900};

/// Longest pause within an answer. The time of a whole answer depends on its size and on the link,
/// so a longer pause, not a longer answer, indicates a dead connection.
constexpr milliseconds max_answer_pause{1000};

/// Added to the timeout of a relayed call for the round trip to the peer.
constexpr milliseconds relay_timeout_margin{150};

/// True if the store processed the call, rather than refusing it or failing.
bool is_served(const http_answer& answer)
{
    return answer.m_progress == call_progress::answered &&
           answer.m_status != http_status::too_many_requests &&
           answer.m_status < http_status::server_error;
}

} // namespace

store_client::store_client(http_client& client, ip_address address)
    : m_client(client), m_address(std::move(address))
{
}

void store_client::set_relay_peers(host_link& link, peer_lookup peers)
{
    m_peer_link = &link;
    m_relay_peers = std::move(peers);
}

asio::awaitable<http_answer> store_client::call_direct(http_call store_request,
                                                       milliseconds timeout,
                                                       time_point* last_received_at)
{
    m_last_direct_call = read_boot_clock();
    ++m_call_count;
    http_answer answer = co_await m_client.call(m_address, std::move(store_request), timeout,
                                                max_answer_pause, last_received_at);
    m_received_bytes += answer.m_received_bytes;
    if (is_served(answer)) {
        if (m_consecutive_failures >= failures_before_relay) {
            log_info("store: answers again");
        }
        m_consecutive_failures = 0;
    }
    else {
        ++m_consecutive_failures;
        if (m_consecutive_failures == failures_before_relay) {
            log_warning("store: does not serve this host, status=" +
                        std::to_string(answer.m_status));
        }
    }
    co_return answer;
}

asio::awaitable<http_answer> store_client::call_relayed(std::string peer, http_call store_request,
                                                        milliseconds timeout)
{
    relay_request request;
    request.m_method = std::move(store_request.m_method);
    request.m_target = std::move(store_request.m_target);
    request.m_body = std::move(store_request.m_body);
    request.m_timeout_ms = static_cast<std::uint32_t>(timeout.count());
    http_answer answer;
    bool sent = false;
    host_message message(std::move(request));
    std::optional<host_message> reply =
        co_await m_peer_link->call(std::move(peer), std::move(message),
                                   timeout + relay_timeout_margin, &sent, max_answer_pause);
    if (!reply) {
        answer.m_progress = sent ? call_progress::unknown : call_progress::not_sent;
        co_return answer;
    }
    if (auto* relayed = std::get_if<relay_reply>(&*reply)) {
        answer.m_progress = static_cast<call_progress>(relayed->m_progress);
        answer.m_status = relayed->m_status;
        answer.m_body = std::move(relayed->m_body);
    }
    co_return answer;
}

asio::awaitable<http_answer> store_client::call(http_call store_request, milliseconds timeout,
                                                time_point* last_received_at)
{
    std::vector<std::string> peers;
    bool may_take_effect = false;
    if (m_consecutive_failures >= failures_before_relay && m_relay_peers) {
        peers = m_relay_peers();
    }
    if (peers.empty() || read_boot_clock() - m_last_direct_call > direct_probe_interval) {
        const milliseconds direct_timeout =
            peers.empty() ? timeout : std::min(timeout, max_direct_timeout);
        http_call copy = store_request;
        http_answer answer =
            co_await call_direct(std::move(copy), direct_timeout, last_received_at);
        if (is_served(answer) || peers.empty()) {
            co_return answer;
        }
        may_take_effect = answer.m_progress == call_progress::unknown;
    }
    std::string peer = peers[m_next_relay++ % peers.size()];
    http_answer answer = co_await call_relayed(std::move(peer), std::move(store_request), timeout);
    if (may_take_effect && !is_served(answer)) {
        // A refusal of the second attempt says nothing about the first one.
        answer.m_progress = call_progress::unknown;
    }
    co_return answer;
}

} // namespace guavabay
