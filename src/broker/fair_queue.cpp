#include "broker/fair_queue.h"

#include <algorithm>

#include "core/check.h"

namespace guavabay {

namespace {

constexpr std::uint64_t batch_turn = 16; ///< Every how many starts batch goes first.

} // namespace

fair_queue::~fair_queue()
{
    for (class_lanes* all : {&m_interactive, &m_batch}) {
        for (auto& [customer, one] : all->m_lanes) {
            one.m_requests.clear();
        }
    }
}

fair_queue::class_lanes& fair_queue::lanes(service_class kind)
{
    return kind == service_class::interactive ? m_interactive : m_batch;
}

const fair_queue::class_lanes& fair_queue::lanes(service_class kind) const
{
    return kind == service_class::interactive ? m_interactive : m_batch;
}

void fair_queue::push(std::unique_ptr<waiting_request> request, std::uint32_t weight)
{
    class_lanes& all = lanes(request->m_class);
    lane& target = all.m_lanes[request->m_customer];
    if (target.m_requests.empty()) {
        target.m_served = std::max(target.m_served, all.m_floor);
        all.m_order.insert({target.m_served, request->m_customer});
    }
    target.m_weight = std::max<std::uint32_t>(1, weight);
    waiting_request& entry = *request;
    const bool inserted = m_by_id.emplace(entry.m_request, std::move(request)).second;
    check(inserted, "a request waits at most once");
    target.m_requests.push_back(entry);
}

bool fair_queue::contains(const request_id& request) const
{
    return m_by_id.contains(request);
}

std::unique_ptr<waiting_request> fair_queue::take(waiting_request& request)
{
    class_lanes& all = lanes(request.m_class);
    const auto found_lane = all.m_lanes.find(request.m_customer);
    check(found_lane != all.m_lanes.end(), "a waiting request has a lane");
    lane& home = found_lane->second;
    home.m_requests.erase(home.m_requests.iterator_to(request));
    if (home.m_requests.empty()) {
        all.m_order.erase({home.m_served, request.m_customer});
        if (home.m_served <= all.m_floor) {
            all.m_lanes.erase(found_lane);
        }
    }
    const auto found = m_by_id.find(request.m_request);
    check(found != m_by_id.end(), "a waiting request is indexed");
    std::unique_ptr<waiting_request> taken = std::move(found->second);
    m_by_id.erase(found);
    return taken;
}

std::unique_ptr<waiting_request> fair_queue::remove(const request_id& request)
{
    const auto found = m_by_id.find(request);
    return found == m_by_id.end() ? nullptr : take(*found->second);
}

std::unique_ptr<waiting_request>
fair_queue::pop(const std::function<bool(const waiting_request&)>& may_start)
{
    const bool batch_first = (m_started + 1) % batch_turn == 0;
    const service_class first = batch_first ? service_class::batch : service_class::interactive;
    const service_class second = batch_first ? service_class::interactive : service_class::batch;
    std::unique_ptr<waiting_request> taken = pop_class(first, may_start);
    if (!taken) {
        taken = pop_class(second, may_start);
    }
    if (taken) {
        ++m_started;
    }
    return taken;
}

std::unique_ptr<waiting_request>
fair_queue::pop_class(service_class kind,
                      const std::function<bool(const waiting_request&)>& may_start)
{
    class_lanes& all = lanes(kind);
    for (const auto& [share, customer] : all.m_order) {
        lane& candidate = all.m_lanes.at(customer);
        waiting_request& next = candidate.m_requests.front();
        if (!may_start(next)) {
            continue;
        }
        all.m_floor = std::max(all.m_floor, share);
        all.m_order.erase({share, next.m_customer});
        candidate.m_served += 1.0 / candidate.m_weight;
        all.m_order.insert({candidate.m_served, next.m_customer});
        return take(next);
    }
    return nullptr;
}

std::vector<std::unique_ptr<waiting_request>>
fair_queue::take_if(const std::function<bool(const waiting_request&)>& matches)
{
    std::vector<waiting_request*> selected;
    for (const auto& [id, request] : m_by_id) {
        if (matches(*request)) {
            selected.push_back(request.get());
        }
    }
    std::sort(selected.begin(), selected.end(),
              [](const waiting_request* left, const waiting_request* right) {
                  return left->m_request < right->m_request;
              });
    std::vector<std::unique_ptr<waiting_request>> taken;
    taken.reserve(selected.size());
    for (waiting_request* request : selected) {
        taken.push_back(take(*request));
    }
    return taken;
}

std::vector<std::unique_ptr<waiting_request>> fair_queue::take_expired(time_point now)
{
    return take_if([now](const waiting_request& request) { return request.m_deadline <= now; });
}

std::vector<std::unique_ptr<waiting_request>> fair_queue::take_customer(const customer_id& customer)
{
    return take_if(
        [&customer](const waiting_request& request) { return request.m_customer == customer; });
}

std::vector<std::unique_ptr<waiting_request>> fair_queue::take_holder(const host_id& holder)
{
    return take_if(
        [&holder](const waiting_request& request) { return request.m_holder == holder; });
}

std::set<host_id> fair_queue::holders() const
{
    std::set<host_id> hosts;
    for (const auto& [id, request] : m_by_id) {
        hosts.insert(request->m_holder);
    }
    return hosts;
}

std::vector<std::pair<request_id, host_id>> fair_queue::waiting() const
{
    std::vector<std::pair<request_id, host_id>> all;
    all.reserve(m_by_id.size());
    for (const auto& [id, request] : m_by_id) {
        all.emplace_back(id, request->m_holder);
    }
    std::sort(all.begin(), all.end());
    return all;
}

std::size_t fair_queue::size_of(const customer_id& customer) const
{
    std::size_t count = 0;
    for (const class_lanes* all : {&m_interactive, &m_batch}) {
        const auto found = all->m_lanes.find(customer);
        count += found == all->m_lanes.end() ? 0 : found->second.m_requests.size();
    }
    return count;
}

double fair_queue::ahead_of(const customer_id& customer, service_class kind,
                            std::uint32_t weight) const
{
    double ahead = 0;
    if (kind == service_class::batch) {
        for (const auto& [other, one] : m_interactive.m_lanes) {
            ahead += static_cast<double>(one.m_requests.size());
        }
    }
    const lane_map& all = lanes(kind).m_lanes;
    const auto own = all.find(customer);
    const double own_length =
        own == all.end() ? 0 : static_cast<double>(own->second.m_requests.size());
    ahead += own_length;
    for (const auto& [other, one] : all) {
        if (other != customer) {
            const double share =
                (own_length + 1) * one.m_weight / std::max<std::uint32_t>(1, weight);
            ahead += std::min(static_cast<double>(one.m_requests.size()), share);
        }
    }
    return ahead;
}

} // namespace guavabay
