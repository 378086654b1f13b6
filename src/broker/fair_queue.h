#pragma once

#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "contract/contract.h"
#include "core/ids.h"
#include "core/time.h"

namespace guavabay {

/// A request that waits for a slot at the process that owns its service. The list hook links it
/// into its customer's queue.
struct waiting_request : boost::intrusive::list_base_hook<> {
    request_id m_request;
    customer_id m_customer;
    host_id m_entry_host; ///< Entry host that asked for the slot.
    zone_id m_zone;
    service_class m_class = service_class::interactive;
    time_point m_arrived{};              ///< When it arrived at the entry host.
    time_point m_deadline{};             ///< When it is refused unless it has started.
    std::vector<endpoint_id> m_excluded; ///< Endpoints that must not be used for it.
};

/// The waiting requests of one service. Interactive requests start before batch requests, except
/// that batch goes first at a fixed interval of starts so that it is never starved. Within a class,
/// customers receive starts in proportion to their weights, each in order of arrival in the queue.
class fair_queue {
public:
    fair_queue() = default;
    fair_queue(fair_queue&&) = default;
    fair_queue& operator=(fair_queue&&) = default;
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;
    ~fair_queue();

    /// Appends a request to its customer's queue and sets the customer's weight; a weight of zero
    /// counts as one. The request id must not be in the queue already.
    void push(std::unique_ptr<waiting_request> request, std::uint32_t weight);

    /// Returns true when the request is in the queue.
    [[nodiscard]] bool contains(const request_id& request) const;

    /// Removes and returns a request at any position; null when it is not in the queue.
    std::unique_ptr<waiting_request> remove(const request_id& request);

    /// Removes and returns the next request that may start, or null when there is none. Only the
    /// first request of each customer and class is offered to may_start.
    std::unique_ptr<waiting_request>
    pop(const std::function<bool(const waiting_request&)>& may_start);

    /// Removes and returns all requests whose deadline has passed, ordered by id.
    std::vector<std::unique_ptr<waiting_request>> remove_expired(time_point now);

    /// Removes and returns all requests of one customer, ordered by id.
    std::vector<std::unique_ptr<waiting_request>> remove_for_customer(const customer_id& customer);

    /// Removes and returns all requests of one entry host, ordered by id.
    std::vector<std::unique_ptr<waiting_request>> remove_for_entry_host(const host_id& entry_host);

    /// Returns the entry hosts that have a request in the queue.
    [[nodiscard]] std::set<host_id> entry_hosts() const;

    /// Returns each waiting request with its entry host, ordered by request id.
    [[nodiscard]] std::vector<std::pair<request_id, host_id>> list_requests() const;

    /// Returns the number of waiting requests.
    [[nodiscard]] std::size_t size() const { return m_by_id.size(); }

    /// Returns the number of waiting requests of one customer in both classes.
    [[nodiscard]] std::size_t customer_size(const customer_id& customer) const;

    /// Estimates how many waiting requests would start before a new one of this customer, class and
    /// weight.
    [[nodiscard]] double estimate_requests_ahead(const customer_id& customer, service_class kind,
                                                 std::uint32_t weight) const;

private:
    using request_list = boost::intrusive::list<waiting_request>;

    /// One customer's waiting requests of one class, in order of arrival.
    struct customer_queue {
        request_list m_requests;
        double m_normalized_service = 0; ///< Requests started, each divided by the weight.
        std::uint32_t m_weight = 1;
    };

    using customer_queue_map = std::map<customer_id, customer_queue>;

    /// Customers with waiting requests by normalized service; the first one starts next.
    using customer_order = std::set<std::pair<double, customer_id>>;

    /// The customers' queues of one class.
    struct class_queue {
        customer_queue_map m_customers;
        customer_order m_order;
        double m_min_normalized_service = 0; ///< Least value for a customer whose queue was empty.
    };

    /// Removes a request from its customer's queue and from the index by id.
    std::unique_ptr<waiting_request> extract(waiting_request& request);

    /// Removes and returns all requests that match, ordered by id.
    std::vector<std::unique_ptr<waiting_request>>
    remove_matching(const std::function<bool(const waiting_request&)>& matches);

    /// Does the work of pop for one class.
    std::unique_ptr<waiting_request>
    pop_class(service_class kind, const std::function<bool(const waiting_request&)>& may_start);

    /// Returns the queues of a class.
    class_queue& queue_of_class(service_class kind);
    [[nodiscard]] const class_queue& queue_of_class(service_class kind) const;

    class_queue m_interactive;
    class_queue m_batch;
    std::uint64_t m_started_count = 0; ///< Requests of both classes that pop returned.
    std::unordered_map<request_id, std::unique_ptr<waiting_request>> m_by_id;
};

} // namespace guavabay
