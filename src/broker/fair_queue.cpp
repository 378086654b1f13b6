#include "broker/fair_queue.h"

#include <algorithm>

#include "core/check.h"

namespace guavabay {

namespace {

constexpr std::uint64_t batch_first_interval = 16; ///< One start in this many prefers batch.

} // namespace

fair_queue::~fair_queue()
{
    for (class_queue* queues : {&m_interactive, &m_batch}) {
        for (auto& [customer, queue] : queues->m_customers) {
            queue.m_requests.clear();
        }
    }
}

fair_queue::class_queue& fair_queue::queue_of_class(service_class kind)
{
    return kind == service_class::interactive ? m_interactive : m_batch;
}

const fair_queue::class_queue& fair_queue::queue_of_class(service_class kind) const
{
    return kind == service_class::interactive ? m_interactive : m_batch;
}

void fair_queue::push(std::unique_ptr<waiting_request> request, std::uint32_t weight)
{
    class_queue& queues = queue_of_class(request->m_class);
    customer_queue& queue = queues.m_customers[request->m_customer];
    if (queue.m_requests.empty()) {
        queue.m_normalized_service =
            std::max(queue.m_normalized_service, queues.m_min_normalized_service);
        queues.m_order.insert({queue.m_normalized_service, request->m_customer});
    }
    queue.m_weight = std::max<std::uint32_t>(1, weight);
    waiting_request& entry = *request;
    const bool inserted = m_by_id.emplace(entry.m_request, std::move(request)).second;
    check(inserted, "a request waits at most once");
    queue.m_requests.push_back(entry);
}

bool fair_queue::contains(const request_id& request) const
{
    return m_by_id.contains(request);
}

std::unique_ptr<waiting_request> fair_queue::extract(waiting_request& request)
{
    class_queue& queues = queue_of_class(request.m_class);
    const auto found_queue = queues.m_customers.find(request.m_customer);
    check(found_queue != queues.m_customers.end(), "a waiting request has a customer queue");
    customer_queue& queue = found_queue->second;
    queue.m_requests.erase(queue.m_requests.iterator_to(request));
    if (queue.m_requests.empty()) {
        queues.m_order.erase({queue.m_normalized_service, request.m_customer});
        if (queue.m_normalized_service <= queues.m_min_normalized_service) {
            queues.m_customers.erase(found_queue);
        }
    }
    const auto found = m_by_id.find(request.m_request);
    check(found != m_by_id.end(), "a waiting request is indexed");
    std::unique_ptr<waiting_request> removed = std::move(found->second);
    m_by_id.erase(found);
    return removed;
}

std::unique_ptr<waiting_request> fair_queue::remove(const request_id& request)
{
    const auto found = m_by_id.find(request);
    return found == m_by_id.end() ? nullptr : extract(*found->second);
}

std::unique_ptr<waiting_request>
fair_queue::pop(const std::function<bool(const waiting_request&)>& may_start)
{
    const bool batch_first = (m_started_count + 1) % batch_first_interval == 0;
    const service_class first = batch_first ? service_class::batch : service_class::interactive;
    const service_class second = batch_first ? service_class::interactive : service_class::batch;
    std::unique_ptr<waiting_request> removed = pop_class(first, may_start);
    if (!removed) {
        removed = pop_class(second, may_start);
    }
    if (removed) {
        ++m_started_count;
    }
    return removed;
}

std::unique_ptr<waiting_request>
fair_queue::pop_class(service_class kind,
                      const std::function<bool(const waiting_request&)>& may_start)
{
    class_queue& queues = queue_of_class(kind);
    for (const auto& [normalized_service, customer] : queues.m_order) {
        customer_queue& candidate = queues.m_customers.at(customer);
        waiting_request& next = candidate.m_requests.front();
        if (!may_start(next)) {
            continue;
        }
        queues.m_min_normalized_service =
            std::max(queues.m_min_normalized_service, normalized_service);
        queues.m_order.erase({normalized_service, next.m_customer});
        candidate.m_normalized_service += 1.0 / candidate.m_weight;
        queues.m_order.insert({candidate.m_normalized_service, next.m_customer});
        return extract(next);
    }
    return nullptr;
}

std::vector<std::unique_ptr<waiting_request>>
fair_queue::remove_matching(const std::function<bool(const waiting_request&)>& matches)
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
    std::vector<std::unique_ptr<waiting_request>> removed;
    removed.reserve(selected.size());
    for (waiting_request* request : selected) {
        removed.push_back(extract(*request));
    }
    return removed;
}

std::vector<std::unique_ptr<waiting_request>> fair_queue::remove_expired(time_point now)
{
    return remove_matching(
        [now](const waiting_request& request) { return request.m_deadline <= now; });
}

std::vector<std::unique_ptr<waiting_request>>
fair_queue::remove_for_customer(const customer_id& customer)
{
    return remove_matching(
        [&customer](const waiting_request& request) { return request.m_customer == customer; });
}

std::vector<std::unique_ptr<waiting_request>>
fair_queue::remove_for_entry_host(const host_id& entry_host)
{
    return remove_matching([&entry_host](const waiting_request& request) {
        return request.m_entry_host == entry_host;
    });
}

std::set<host_id> fair_queue::entry_hosts() const
{
    std::set<host_id> hosts;
    for (const auto& [id, request] : m_by_id) {
        hosts.insert(request->m_entry_host);
    }
    return hosts;
}

std::vector<std::pair<request_id, host_id>> fair_queue::list_requests() const
{
    std::vector<std::pair<request_id, host_id>> requests;
    requests.reserve(m_by_id.size());
    for (const auto& [id, request] : m_by_id) {
        requests.emplace_back(id, request->m_entry_host);
    }
    std::sort(requests.begin(), requests.end());
    return requests;
}

std::size_t fair_queue::customer_size(const customer_id& customer) const
{
    std::size_t count = 0;
    for (const class_queue* queues : {&m_interactive, &m_batch}) {
        const auto found = queues->m_customers.find(customer);
        count += found == queues->m_customers.end() ? 0 : found->second.m_requests.size();
    }
    return count;
}

double fair_queue::estimate_requests_ahead(const customer_id& customer, service_class kind,
                                           std::uint32_t weight) const
{
    double ahead = 0;
    if (kind == service_class::batch) {
        for (const auto& [other, queue] : m_interactive.m_customers) {
            ahead += static_cast<double>(queue.m_requests.size());
        }
    }
    const customer_queue_map& queues = queue_of_class(kind).m_customers;
    const auto own = queues.find(customer);
    const double own_count =
        own == queues.end() ? 0 : static_cast<double>(own->second.m_requests.size());
    ahead += own_count;
    for (const auto& [other, queue] : queues) {
        if (other != customer) {
            const double share =
                (own_count + 1) * queue.m_weight / std::max<std::uint32_t>(1, weight);
            ahead += std::min(static_cast<double>(queue.m_requests.size()), share);
        }
    }
    return ahead;
}

} // namespace guavabay
