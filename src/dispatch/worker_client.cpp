#include "dispatch/worker_client.h"

#include "log/log.h"
#include "platform/worker_calls.h"

namespace guavabay {

namespace {

/// Time limit of an order to a worker.
constexpr milliseconds order_timeout{800};

/// Added to the time that a worker may delay its answer to a hold, for the time limit of the call.
constexpr milliseconds hold_timeout_margin{600};

/// Longest time for which a worker may delay its answer to a hold that is made for a peer.
constexpr milliseconds max_relayed_wait{2000};

/// Added to the time limit of a relayed call for the round trip to the relay.
constexpr milliseconds relay_timeout_margin{150};

/// A relay that takes longer for an order that the worker accepts is avoided.
constexpr milliseconds slow_relay_time{300};

} // namespace

void worker_client::set_relays(host_link& link, const std::map<host_id, host_record>& members,
                               const std::map<service_id, owner_record>& owners, host_id self)
{
    m_peer_link = &link;
    m_members = &members;
    m_owners = &owners;
    m_self = std::move(self);
}

std::optional<std::string> worker_client::find_relay(const worker_id& worker, const zone_id& zone,
                                                     bool may_relay)
{
    if (!may_relay || m_peer_link == nullptr) {
        return std::nullopt;
    }
    return select_relay(m_relays, worker, zone, *m_members, *m_owners, m_self, read_boot_clock());
}

void worker_client::report_relay_failure(const std::string& relay, const worker_id& worker,
                                         const char* call)
{
    ++m_relay_failures;
    log_info("workers: relay avoided relay=" + relay + " worker=" + worker.str() + " call=" + call);
    avoid_relay(m_relays, relay, read_boot_clock());
}

asio::awaitable<order_outcome> worker_client::send_order_directly(worker_order order,
                                                                  fencing_token token)
{
    const std::optional<ip_address> address = parse_address(order.m_address);
    if (!address) {
        log_warning("workers: worker " + order.m_worker.str() + " has a malformed address");
        co_return order_outcome::not_sent;
    }
    http_call call = platform::encode_order(order, token);
    const http_answer answer = co_await m_client.call(*address, std::move(call), order_timeout);
    co_return platform::decode_order_answer(answer);
}

asio::awaitable<hold_result> worker_client::hold_directly(hold_request request, fencing_token token,
                                                          milliseconds wait)
{
    const std::optional<ip_address> address = parse_address(request.m_address);
    if (!address) {
        log_warning("workers: worker " + request.m_worker.str() + " has a malformed address");
        co_return hold_result{std::nullopt, order_outcome::not_sent};
    }
    http_call call = platform::encode_hold(request, token, wait);
    const http_answer answer =
        co_await m_client.call(*address, std::move(call), wait + hold_timeout_margin);
    co_return platform::decode_hold_answer(answer);
}

asio::awaitable<order_outcome> worker_client::send_order(worker_order order, fencing_token token,
                                                         zone_id zone, bool may_relay)
{
    const std::optional<std::string> relay = find_relay(order.m_worker, zone, may_relay);
    if (!relay) {
        co_return co_await send_order_directly(std::move(order), token);
    }
    const time_point sent_at = read_boot_clock();
    const worker_id worker = order.m_worker;
    ++m_relayed;
    bool was_sent = false;
    std::string address = *relay;
    host_message message(worker_order_request{order, token});
    const std::optional<host_message> reply = co_await m_peer_link->call(
        std::move(address), std::move(message), order_timeout + relay_timeout_margin, &was_sent);
    const auto* answer = reply ? std::get_if<worker_order_reply>(&*reply) : nullptr;
    if (answer == nullptr) {
        report_relay_failure(*relay, worker, "order");
        if (was_sent) {
            // Repeating an order that may have been carried out could start a run twice.
            co_return order_outcome::unknown;
        }
        co_return co_await send_order_directly(std::move(order), token);
    }
    if (answer->m_outcome == order_outcome::accepted &&
        read_boot_clock() - sent_at > slow_relay_time) {
        report_relay_failure(*relay, worker, "slow order");
    }
    co_return answer->m_outcome;
}

asio::awaitable<hold_result> worker_client::hold(hold_request request, fencing_token token,
                                                 milliseconds wait, zone_id zone, bool may_relay)
{
    const std::optional<std::string> relay = find_relay(request.m_worker, zone, may_relay);
    if (relay) {
        ++m_relayed;
        std::string address = *relay;
        host_message message(
            worker_hold_request{request, token, static_cast<std::uint32_t>(wait.count())});
        std::optional<host_message> reply =
            co_await m_peer_link->call(std::move(address), std::move(message),
                                       wait + hold_timeout_margin + relay_timeout_margin, nullptr);
        auto* answer = reply ? std::get_if<worker_hold_reply>(&*reply) : nullptr;
        if (answer != nullptr) {
            if (answer->m_outcome != order_outcome::accepted) {
                co_return hold_result{std::nullopt, answer->m_outcome};
            }
            co_return hold_result{std::move(answer->m_report), answer->m_outcome};
        }
        report_relay_failure(*relay, request.m_worker, "hold");
        // The time for a delayed answer is over; the report is wanted at once.
        wait = milliseconds(0);
    }
    co_return co_await hold_directly(std::move(request), token, wait);
}

asio::awaitable<host_message> worker_client::relay_order(worker_order_request request)
{
    const order_outcome outcome =
        co_await send_order_directly(std::move(request.m_order), request.m_token);
    co_return host_message(worker_order_reply{outcome});
}

asio::awaitable<host_message> worker_client::relay_hold(worker_hold_request request)
{
    hold_result result =
        co_await hold_directly(std::move(request.m_hold), request.m_token,
                               std::min(milliseconds(request.m_wait_ms), max_relayed_wait));
    worker_hold_reply reply;
    reply.m_outcome = result.second;
    if (result.first) {
        reply.m_report = std::move(*result.first);
    }
    co_return host_message(std::move(reply));
}

} // namespace guavabay
