#include "broker/slot_broker.h"

#include <algorithm>

namespace guavabay {

namespace {

constexpr milliseconds settle_time{600};
constexpr milliseconds holdings_interval{500};
constexpr milliseconds grant_flight_time{300}; ///< A grant younger than this may be under way.
constexpr seconds busy_slot_rest{5};           ///< Rest of a slot whose request gave no answer.
constexpr double mean_weight = 0.1;            ///< Weight of a new sample in the moving average.
constexpr std::size_t expected_slots = 128;    ///< Room made for a service's slots at the start.

void refuse(const waiting_request& request, error_kind kind, broker_output& out)
{
    out.m_sends.emplace_back(request.m_holder, slot_refusal_message{request.m_request, kind});
}

void refill(customer_account& account, const service_grant& grant, time_point now)
{
    if (account.m_refilled_at == time_point{}) {
        account.m_tokens = grant.m_burst;
    }
    else {
        const std::chrono::duration<double> passed = now - account.m_refilled_at;
        account.m_tokens += passed.count() * grant.m_rate_per_second;
    }
    account.m_tokens = std::min<double>(account.m_tokens, grant.m_burst);
    account.m_refilled_at = now;
}

/// Time that a new request would wait behind the ones ahead of it.
duration expected_wait(const slot_broker& broker, const customer_id& customer,
                       const service_grant& grant, std::uint32_t weight, time_point now)
{
    const std::uint32_t slots = total_slots(broker.m_endpoints, now);
    if (slots == 0 || broker.m_mean_run_us == 0) {
        return duration::zero();
    }
    const double ahead = broker.m_queue.ahead_of(customer, grant.m_class, weight);
    return duration(static_cast<std::int64_t>(ahead * broker.m_mean_run_us / slots));
}

/// Why an ask is refused at once; empty when it may wait.
std::optional<error_kind> refusal_for(slot_broker& broker, const slot_ask_message& ask,
                                      const contract* terms, const service_grant* grant,
                                      time_point now)
{
    if (terms == nullptr) {
        return error_kind::no_contract;
    }
    if (grant == nullptr) {
        return error_kind::unknown_service;
    }
    if (ask.m_remaining_us <= 0) {
        return error_kind::deadline_expired;
    }
    if (broker.m_queue.size_of(ask.m_customer) >= grant->m_queue_limit + grant->m_concurrency) {
        return error_kind::queue_full;
    }
    const duration wait = expected_wait(broker, ask.m_customer, *grant, terms->m_weight, now);
    if (wait > duration(ask.m_remaining_us)) {
        return error_kind::deadline_unreachable;
    }
    customer_account& account = broker.m_accounts[ask.m_customer];
    refill(account, *grant, now);
    if (account.m_tokens < 1) {
        return error_kind::rate_exceeded;
    }
    account.m_tokens -= 1;
    return std::nullopt;
}

void free_slot(slot_broker& broker, const request_id& request)
{
    const auto found = broker.m_granted.find(request);
    if (found == broker.m_granted.end()) {
        return;
    }
    const held_slot& slot = found->second.m_slot;
    const auto endpoint = broker.m_endpoints.find(slot.m_endpoint);
    if (endpoint != broker.m_endpoints.end() && endpoint->second.m_used > 0) {
        --endpoint->second.m_used;
    }
    const auto account = broker.m_accounts.find(slot.m_customer);
    if (account != broker.m_accounts.end() && account->second.m_running > 0) {
        --account->second.m_running;
    }
    broker.m_granted.erase(found);
}

void record_grant(slot_broker& broker, const held_slot& slot, const host_id& holder, time_point now)
{
    if (!broker.m_granted.emplace(slot.m_request, granted_slot{slot, holder, now}).second) {
        return;
    }
    ++broker.m_endpoints[slot.m_endpoint].m_used;
    ++broker.m_accounts[slot.m_customer].m_running;
}

bool within_concurrency(const slot_broker& broker, const waiting_request& request,
                        const contract_lookup& contracts)
{
    const contract* terms = contracts(request.m_customer);
    const service_grant* grant =
        terms == nullptr ? nullptr : find_service(*terms, broker.m_service);
    if (grant == nullptr) {
        return false;
    }
    const auto account = broker.m_accounts.find(request.m_customer);
    return account == broker.m_accounts.end() || account->second.m_running < grant->m_concurrency;
}

/// Grants free slots in the order of the queue.
void dispatch(slot_broker& broker, const contract_lookup& contracts, time_point now,
              broker_output& out)
{
    if (!broker.m_unreported.empty() && now < broker.m_settled_by) {
        return;
    }
    broker.m_unreported.clear();
    while (broker.m_queue.size() > 0 && has_free_slot(broker.m_endpoints, now)) {
        const auto may_start = [&](const waiting_request& request) {
            return within_concurrency(broker, request, contracts) &&
                   pick_endpoint(broker.m_endpoints, request.m_zone, request.m_excluded, now) !=
                       nullptr;
        };
        const std::unique_ptr<waiting_request> next = broker.m_queue.pop(may_start);
        if (!next) {
            return;
        }
        if (next->m_deadline <= now) {
            refuse(*next, error_kind::deadline_expired, out);
            continue;
        }
        const endpoint_state* endpoint =
            pick_endpoint(broker.m_endpoints, next->m_zone, next->m_excluded, now);
        const held_slot slot{next->m_request, next->m_customer, endpoint->m_listing.m_id};
        record_grant(broker, slot, next->m_holder, now);
        out.m_sends.emplace_back(
            next->m_holder, slot_grant_message{slot.m_request, broker.m_service, slot.m_endpoint,
                                               endpoint->m_listing.m_address});
    }
}

void ask_holdings(slot_broker& broker, const std::set<host_id>& hosts, time_point now,
                  broker_output& out)
{
    broker.m_last_holdings_ask = now;
    for (const host_id& host : hosts) {
        out.m_sends.emplace_back(
            host, holdings_ask_message{broker.m_service, now.time_since_epoch().count()});
    }
}

/// Hosts that hold a slot granted long enough ago to be asked about it.
std::set<host_id> holders_to_ask(const slot_broker& broker, time_point now)
{
    std::set<host_id> hosts;
    for (const auto& [id, granted] : broker.m_granted) {
        if (now - granted.m_granted_at > holdings_interval) {
            hosts.insert(granted.m_holder);
        }
    }
    return hosts;
}

} // namespace

void begin_ownership(slot_broker& broker, const std::vector<host_id>& others, time_point now,
                     broker_output& out)
{
    broker.m_unreported = {others.begin(), others.end()};
    broker.m_settled_by = now + settle_time;
    broker.m_granted.reserve(expected_slots);
    ask_holdings(broker, broker.m_unreported, now, out);
}

void on_slot_ask(slot_broker& broker, const host_id& from, const slot_ask_message& ask,
                 const contract_lookup& contracts, time_point now, broker_output& out)
{
    const auto granted = broker.m_granted.find(ask.m_request);
    if (granted != broker.m_granted.end()) {
        const endpoint_id& id = granted->second.m_slot.m_endpoint;
        const endpoint_state& endpoint = broker.m_endpoints[id];
        out.m_sends.emplace_back(from, slot_grant_message{ask.m_request, broker.m_service, id,
                                                          endpoint.m_listing.m_address});
        return;
    }
    if (broker.m_queue.contains(ask.m_request)) {
        out.m_sends.emplace_back(from, slot_queued_message{ask.m_request});
        return;
    }
    const contract* terms = contracts(ask.m_customer);
    const service_grant* grant =
        terms == nullptr ? nullptr : find_service(*terms, broker.m_service);
    const std::optional<error_kind> refusal = refusal_for(broker, ask, terms, grant, now);
    if (refusal) {
        out.m_sends.emplace_back(from, slot_refusal_message{ask.m_request, *refusal});
        return;
    }
    auto request = std::make_unique<waiting_request>();
    request->m_request = ask.m_request;
    request->m_customer = ask.m_customer;
    request->m_holder = from;
    request->m_zone = ask.m_zone;
    request->m_class = grant->m_class;
    request->m_arrived = now - duration(ask.m_waited_us);
    request->m_deadline = now + duration(ask.m_remaining_us);
    request->m_excluded = ask.m_excluded;
    broker.m_queue.push(std::move(request), terms->m_weight);
    dispatch(broker, contracts, now, out);
    if (broker.m_queue.contains(ask.m_request)) {
        out.m_sends.emplace_back(from, slot_queued_message{ask.m_request});
    }
}

void on_slot_release(slot_broker& broker, const slot_release_message& release,
                     const contract_lookup& contracts, time_point now, broker_output& out)
{
    broker.m_queue.remove(release.m_request);
    const auto found = broker.m_granted.find(release.m_request);
    if (found == broker.m_granted.end()) {
        return;
    }
    const endpoint_id endpoint = found->second.m_slot.m_endpoint;
    if (release.m_outcome == slot_outcome::answered) {
        const auto run = static_cast<double>(release.m_run_us);
        const bool first = broker.m_mean_run_us == 0;
        broker.m_mean_run_us =
            first ? run : broker.m_mean_run_us * (1 - mean_weight) + run * mean_weight;
        note_outcome(broker.m_endpoints, endpoint, true, now);
    }
    if (release.m_outcome == slot_outcome::failed ||
        release.m_outcome == slot_outcome::still_busy) {
        note_outcome(broker.m_endpoints, endpoint, false, now);
    }
    if (release.m_outcome == slot_outcome::still_busy) {
        found->second.m_free_at = now + busy_slot_rest;
        return;
    }
    free_slot(broker, release.m_request);
    dispatch(broker, contracts, now, out);
}

void on_holdings(slot_broker& broker, const host_id& from, const holdings_message& holdings,
                 const contract_lookup& contracts, time_point now, broker_output& out)
{
    std::set<request_id> reported;
    for (const held_slot& slot : holdings.m_held) {
        reported.insert(slot.m_request);
        record_grant(broker, slot, from, now);
    }
    const time_point asked_at{duration(holdings.m_asked_at_us)};
    std::vector<request_id> returned;
    for (const auto& [id, granted] : broker.m_granted) {
        const bool settled = granted.m_granted_at + grant_flight_time < asked_at;
        const bool resting = granted.m_free_at != time_point::max();
        if (granted.m_holder == from && settled && !resting && !reported.contains(id)) {
            returned.push_back(id);
        }
    }
    for (const request_id& id : returned) {
        free_slot(broker, id);
    }
    broker.m_unreported.erase(from);
    dispatch(broker, contracts, now, out);
}

std::set<host_id> find_entry_hosts(const slot_broker& broker)
{
    std::set<host_id> holders = broker.m_queue.holders();
    for (const auto& [id, granted] : broker.m_granted) {
        holders.insert(granted.m_holder);
    }
    return holders;
}

std::vector<std::pair<request_id, host_id>> list_waiting_requests(const slot_broker& broker)
{
    return broker.m_queue.waiting();
}

void on_entry_host_lost(slot_broker& broker, const host_id& holder, time_point now)
{
    broker.m_queue.take_holder(holder);
    for (auto& [id, granted] : broker.m_granted) {
        if (granted.m_holder == holder && granted.m_free_at == time_point::max()) {
            granted.m_free_at = now + busy_slot_rest;
        }
    }
    broker.m_unreported.erase(holder);
}

void on_customer_ended(slot_broker& broker, const customer_id& customer, broker_output& out)
{
    for (const auto& request : broker.m_queue.take_customer(customer)) {
        refuse(*request, error_kind::no_contract, out);
    }
}

void on_broker_tick(slot_broker& broker, const contract_lookup& contracts, time_point now,
                    broker_output& out)
{
    for (const auto& request : broker.m_queue.take_expired(now)) {
        refuse(*request, error_kind::deadline_expired, out);
    }
    std::vector<request_id> rested;
    for (const auto& [id, granted] : broker.m_granted) {
        if (granted.m_free_at <= now) {
            rested.push_back(id);
        }
    }
    for (const request_id& id : rested) {
        free_slot(broker, id);
    }
    if (now - broker.m_last_holdings_ask >= holdings_interval) {
        std::set<host_id> hosts = holders_to_ask(broker, now);
        hosts.insert(broker.m_unreported.begin(), broker.m_unreported.end());
        ask_holdings(broker, hosts, now, out);
    }
    dispatch(broker, contracts, now, out);
}

} // namespace guavabay
