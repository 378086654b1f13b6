#include "dispatch/store_client.h"

#include "log/log.h"
#include "net/http_status.h"

namespace guavabay {

namespace {

/// Failures in a row after which a peer is asked to call.
constexpr std::uint32_t failures_before_relay = 2;

/// While a peer calls for this host, the store is tried directly this often.
constexpr milliseconds direct_try_interval{500};

/// Longest a direct call may take while peers could make it instead.
constexpr milliseconds direct_patience{900};

/// Added to a relayed call's time for the way to the peer and back.
constexpr milliseconds relay_margin{150};

bool is_answer(const http_answer& answer)
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

void store_client::set_peers(host_link& link, peer_list peers)
{
    m_peers_link = &link;
    m_peers = std::move(peers);
}

asio::awaitable<http_answer> store_client::call_direct(http_call what, milliseconds timeout)
{
    m_last_try = read_boot_clock();
    ++m_calls;
    http_answer answer = co_await m_client.call(m_address, std::move(what), timeout);
    if (is_answer(answer)) {
        if (m_failures >= failures_before_relay) {
            log_info("store: answers again");
        }
        m_failures = 0;
    }
    else {
        ++m_failures;
        if (m_failures == failures_before_relay) {
            log_warning("store: does not serve this host, status=" +
                        std::to_string(answer.m_status));
        }
    }
    co_return answer;
}

asio::awaitable<http_answer> store_client::call_relayed(std::string peer, http_call what,
                                                        milliseconds timeout)
{
    relay_request request;
    request.m_method = std::move(what.m_method);
    request.m_target = std::move(what.m_target);
    request.m_body = std::move(what.m_body);
    request.m_timeout_ms = static_cast<std::uint32_t>(timeout.count());
    http_answer answer;
    bool sent = false;
    host_message message(std::move(request));
    std::optional<host_message> reply = co_await m_peers_link->call(
        std::move(peer), std::move(message), timeout + relay_margin, &sent);
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

asio::awaitable<http_answer> store_client::call(http_call what, milliseconds timeout)
{
    std::vector<std::string> peers;
    if (m_failures >= failures_before_relay && m_peers) {
        peers = m_peers();
    }
    if (peers.empty() || read_boot_clock() - m_last_try > direct_try_interval) {
        const milliseconds patience = peers.empty() ? timeout : std::min(timeout, direct_patience);
        http_call copy = what;
        http_answer answer = co_await call_direct(std::move(copy), patience);
        if (is_answer(answer) || peers.empty()) {
            co_return answer;
        }
    }
    std::string peer = peers[m_turn++ % peers.size()];
    co_return co_await call_relayed(std::move(peer), std::move(what), timeout);
}

} // namespace guavabay
