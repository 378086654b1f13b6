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

/// A request that waits at the owner of its service.
struct waiting_request : boost::intrusive::list_base_hook<> {
    request_id m_request;
    customer_id m_customer;
    host_id m_holder; ///< Entry host that asked.
    zone_id m_zone;
    service_class m_class = service_class::interactive;
    time_point m_arrived{};
    time_point m_deadline{};
    std::vector<endpoint_id> m_excluded;
};

/// Waiting requests of one service. Interactive requests go before batch requests, except for a
/// fixed share that keeps batch moving; within a class, customers share by weight.
class fair_queue {
public:
    fair_queue() = default;
    fair_queue(fair_queue&&) = default;
    fair_queue& operator=(fair_queue&&) = default;
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;
    ~fair_queue();

    /// Appends a request with its customer's weight. The id must not be waiting already.
    void push(std::unique_ptr<waiting_request> request, std::uint32_t weight);

    /// True when the request waits here.
    [[nodiscard]] bool contains(const request_id& request) const;

    /// Takes a request out wherever it stands; null when it does not wait.
    std::unique_ptr<waiting_request> remove(const request_id& request);

    /// Gives the next request for which the function says that it may start now, and takes it
    /// out; null when there is none.
    std::unique_ptr<waiting_request>
    pop(const std::function<bool(const waiting_request&)>& may_start);

    /// Takes out every request whose deadline has passed.
    std::vector<std::unique_ptr<waiting_request>> take_expired(time_point now);

    /// Takes out every request of one customer.
    std::vector<std::unique_ptr<waiting_request>> take_customer(const customer_id& customer);

    /// Takes out every request that an entry host asked for.
    std::vector<std::unique_ptr<waiting_request>> take_holder(const host_id& holder);

    /// The entry hosts that wait here.
    [[nodiscard]] std::set<host_id> holders() const;

    /// Every waiting request with the entry host that asked for it, in the order of the ids.
    [[nodiscard]] std::vector<std::pair<request_id, host_id>> waiting() const;

    /// Number of waiting requests.
    [[nodiscard]] std::size_t size() const { return m_by_id.size(); }

    /// Number of waiting requests of one customer.
    [[nodiscard]] std::size_t size_of(const customer_id& customer) const;

    /// Requests that would start before a new one of this customer and class.
    [[nodiscard]] double ahead_of(const customer_id& customer, service_class kind,
                                  std::uint32_t weight) const;

private:
    using request_list = boost::intrusive::list<waiting_request>;

    /// One customer's requests of one class.
    struct lane {
        request_list m_requests;
        double m_served = 0; ///< Requests started, divided by the weight.
        std::uint32_t m_weight = 1;
    };

    using lane_map = std::map<customer_id, lane>;
    using lane_order = std::set<std::pair<double, customer_id>>; ///< Lanes with requests, by share.

    /// The lanes of one class.
    struct class_lanes {
        lane_map m_lanes;
        lane_order m_order;
        double m_floor = 0; ///< Share count that a returning customer starts from.
    };

    std::unique_ptr<waiting_request> take(waiting_request& request);
    std::vector<std::unique_ptr<waiting_request>>
    take_if(const std::function<bool(const waiting_request&)>& matches);
    std::unique_ptr<waiting_request>
    pop_class(service_class kind, const std::function<bool(const waiting_request&)>& may_start);
    class_lanes& lanes(service_class kind);
    [[nodiscard]] const class_lanes& lanes(service_class kind) const;

    class_lanes m_interactive;
    class_lanes m_batch;
    std::uint64_t m_started = 0;
    std::unordered_map<request_id, std::unique_ptr<waiting_request>> m_by_id;
};

} // namespace guavabay
