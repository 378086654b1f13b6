#include "broker/slot_broker.h"

#include <algorithm>

namespace guavabay {

namespace {

/// How long a new owner waits for the hosts to list their slots.
constexpr milliseconds holdings_report_timeout{600};

/// How often hosts are asked for their slots, and the age from which a granted slot is asked about.
constexpr milliseconds holdings_interval{500};

/// A younger grant may still be in transit, so that its host does not list the slot yet.
constexpr milliseconds grant_delivery_time{300};

/// Delay before a slot is reused whose request may still run at the endpoint.
constexpr seconds busy_slot_reuse_delay{5};

/// Weight of a new sample in the moving average of the run time.
constexpr double run_time_sample_weight = 0.1;

/// Granted slots for which memory is reserved when an ownership starts.
constexpr std::size_t initial_grant_capacity = 128;

/// Sends the refusal of a request to its entry host.
void refuse(const waiting_request& request, error_kind kind, broker_output& out)
{
    out.m_sends.emplace_back(request.m_entry_host, slot_refusal_message{request.m_request, kind});
}

/// Adds the tokens accrued since the last refill, up to the burst limit.
void refill_tokens(customer_account& account, const service_grant& grant, time_point now)
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

/// Estimates how long a new request would wait for those ahead of it; zero while the run time or
/// the slots are unknown.
duration estimate_wait(const slot_broker& broker, const customer_id& customer,
                       const service_grant& grant, std::uint32_t weight, time_point now)
{
    const std::uint32_t slots = total_usable_slots(broker.m_endpoints, now);
    if (slots == 0 || broker.m_mean_run_us == 0) {
        return duration::zero();
    }
    const double ahead = broker.m_queue.estimate_requests_ahead(customer, grant.m_class, weight);
    return duration(static_cast<std::int64_t>(ahead * broker.m_mean_run_us / slots));
}

/// Returns why a request is refused at once, or nothing when it may wait. An accepted request takes
/// a token of its customer's rate limit.
std::optional<error_kind> find_refusal_reason(slot_broker& broker, const slot_ask_message& ask,
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
    if (broker.m_queue.customer_size(ask.m_customer) >=
        grant->m_queue_limit + grant->m_concurrency) {
        return error_kind::queue_full;
    }
    const duration wait = estimate_wait(broker, ask.m_customer, *grant, terms->m_weight, now);
    if (wait > duration(ask.m_remaining_us)) {
        return error_kind::deadline_unreachable;
    }
    customer_account& account = broker.m_accounts[ask.m_customer];
    refill_tokens(account, *grant, now);
    if (account.m_tokens < 1) {
        return error_kind::rate_exceeded;
    }
    account.m_tokens -= 1;
    return std::nullopt;
}

/// Frees a granted slot at its endpoint and in its customer's account.
void free_slot(slot_broker& broker, const request_id& request)
{
    const auto found = broker.m_granted.find(request);
    if (found == broker.m_granted.end()) {
        return;
    }
    const held_slot& slot = found->second.m_slot;
    const auto endpoint = broker.m_endpoints.find(slot.m_endpoint);
    if (endpoint != broker.m_endpoints.end() && endpoint->second.m_slots_in_use > 0) {
        --endpoint->second.m_slots_in_use;
    }
    const auto account = broker.m_accounts.find(slot.m_customer);
    if (account != broker.m_accounts.end() && account->second.m_running > 0) {
        --account->second.m_running;
    }
    broker.m_granted.erase(found);
}

/// Records a granted slot; a request that already holds one is left as it is.
void record_grant(slot_broker& broker, const held_slot& slot, const host_id& entry_host,
                  time_point now)
{
    if (!broker.m_granted.emplace(slot.m_request, granted_slot{slot, entry_host, now}).second) {
        return;
    }
    ++broker.m_endpoints[slot.m_endpoint].m_slots_in_use;
    ++broker.m_accounts[slot.m_customer].m_running;
}

/// Returns true when the customer's contract permits another slot in use for the service.
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

/// Grants free slots in the order of the queue, unless hosts must still list their slots.
void grant_free_slots(slot_broker& broker, const contract_lookup& contracts, time_point now,
                      broker_output& out)
{
    if (!broker.m_awaited_hosts.empty() && now < broker.m_holdings_deadline) {
        return;
    }
    broker.m_awaited_hosts.clear();
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
        record_grant(broker, slot, next->m_entry_host, now);
        out.m_sends.emplace_back(
            next->m_entry_host, slot_grant_message{slot.m_request, broker.m_service,
                                                   slot.m_endpoint, endpoint->m_listing.m_address});
    }
}

/// Asks hosts to list the slots of the service that they hold.
void request_holdings(slot_broker& broker, const std::set<host_id>& hosts, time_point now,
                      broker_output& out)
{
    broker.m_last_holdings_request_at = now;
    for (const host_id& host : hosts) {
        out.m_sends.emplace_back(
            host, holdings_ask_message{broker.m_service, now.time_since_epoch().count()});
    }
}

/// Returns the hosts that hold a slot granted more than one interval ago.
std::set<host_id> select_hosts_to_query(const slot_broker& broker, time_point now)
{
    std::set<host_id> hosts;
    for (const auto& [id, granted] : broker.m_granted) {
        if (now - granted.m_granted_at > holdings_interval) {
            hosts.insert(granted.m_entry_host);
        }
    }
    return hosts;
}

} // namespace

void begin_ownership(slot_broker& broker, const std::vector<host_id>& others, time_point now,
                     broker_output& out)
{
    broker.m_awaited_hosts = {others.begin(), others.end()};
    broker.m_holdings_deadline = now + holdings_report_timeout;
    broker.m_granted.reserve(initial_grant_capacity);
    request_holdings(broker, broker.m_awaited_hosts, now, out);
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
    const std::optional<error_kind> refusal = find_refusal_reason(broker, ask, terms, grant, now);
    if (refusal) {
        out.m_sends.emplace_back(from, slot_refusal_message{ask.m_request, *refusal});
        return;
    }
    auto request = std::make_unique<waiting_request>();
    request->m_request = ask.m_request;
    request->m_customer = ask.m_customer;
    request->m_entry_host = from;
    request->m_zone = ask.m_zone;
    request->m_class = grant->m_class;
    request->m_arrived = now - duration(ask.m_waited_us);
    request->m_deadline = now + duration(ask.m_remaining_us);
    request->m_excluded = ask.m_excluded;
    broker.m_queue.push(std::move(request), terms->m_weight);
    grant_free_slots(broker, contracts, now, out);
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
        broker.m_mean_run_us = first ? run
                                     : broker.m_mean_run_us * (1 - run_time_sample_weight) +
                                           run * run_time_sample_weight;
        record_outcome(broker.m_endpoints, endpoint, true, now);
    }
    if (release.m_outcome == slot_outcome::failed ||
        release.m_outcome == slot_outcome::still_busy) {
        record_outcome(broker.m_endpoints, endpoint, false, now);
    }
    if (release.m_outcome == slot_outcome::still_busy) {
        found->second.m_reclaim_at = now + busy_slot_reuse_delay;
        return;
    }
    free_slot(broker, release.m_request);
    grant_free_slots(broker, contracts, now, out);
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
    std::vector<request_id> released;
    for (const auto& [id, granted] : broker.m_granted) {
        const bool delivered = granted.m_granted_at + grant_delivery_time < asked_at;
        const bool reclaim_scheduled = granted.m_reclaim_at != time_point::max();
        if (granted.m_entry_host == from && delivered && !reclaim_scheduled &&
            !reported.contains(id)) {
            released.push_back(id);
        }
    }
    for (const request_id& id : released) {
        free_slot(broker, id);
    }
    broker.m_awaited_hosts.erase(from);
    grant_free_slots(broker, contracts, now, out);
}

std::set<host_id> find_entry_hosts(const slot_broker& broker)
{
    std::set<host_id> entry_hosts = broker.m_queue.entry_hosts();
    for (const auto& [id, granted] : broker.m_granted) {
        entry_hosts.insert(granted.m_entry_host);
    }
    return entry_hosts;
}

std::vector<std::pair<request_id, host_id>> list_waiting_requests(const slot_broker& broker)
{
    return broker.m_queue.list_requests();
}

void on_entry_host_lost(slot_broker& broker, const host_id& entry_host, time_point now)
{
    broker.m_queue.remove_for_entry_host(entry_host);
    for (auto& [id, granted] : broker.m_granted) {
        if (granted.m_entry_host == entry_host && granted.m_reclaim_at == time_point::max()) {
            granted.m_reclaim_at = now + busy_slot_reuse_delay;
        }
    }
    broker.m_awaited_hosts.erase(entry_host);
}

void on_customer_ended(slot_broker& broker, const customer_id& customer, broker_output& out)
{
    for (const auto& request : broker.m_queue.remove_for_customer(customer)) {
        refuse(*request, error_kind::no_contract, out);
    }
}

void on_broker_tick(slot_broker& broker, const contract_lookup& contracts, time_point now,
                    broker_output& out)
{
    for (const auto& request : broker.m_queue.remove_expired(now)) {
        refuse(*request, error_kind::deadline_expired, out);
    }
    std::vector<request_id> reclaimable;
    for (const auto& [id, granted] : broker.m_granted) {
        if (granted.m_reclaim_at <= now) {
            reclaimable.push_back(id);
        }
    }
    for (const request_id& id : reclaimable) {
        free_slot(broker, id);
    }
    if (now - broker.m_last_holdings_request_at >= holdings_interval) {
        std::set<host_id> hosts = select_hosts_to_query(broker, now);
        hosts.insert(broker.m_awaited_hosts.begin(), broker.m_awaited_hosts.end());
        request_holdings(broker, hosts, now, out);
    }
    grant_free_slots(broker, contracts, now, out);
}

} // namespace guavabay
