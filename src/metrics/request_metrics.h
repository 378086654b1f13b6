#pragma once

#include <array>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "contract/contract.h"
#include "core/error_kind.h"
#include "metrics/latency_histogram.h"

namespace guavabay {

/// One finished request as the metrics see it.
struct finished_request {
    customer_id m_customer;
    service_class m_class = service_class::interactive;
    endpoint_id m_endpoint;
    duration m_waited{};
    duration m_ran{};
    duration m_total{};
    unsigned m_retries = 0;
    std::optional<error_kind> m_refusal;
};

/// Histograms for each customer and class and for each endpoint, with bounded memory. Safe to
/// use from any thread.
class request_metrics {
public:
    /// Counts one finished request.
    void record(const finished_request& request);

    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string to_text() const;

    /// Percentiles and counts as JSON, for the command line.
    [[nodiscard]] std::string to_json() const;

private:
    /// The histograms and counts of one customer and class.
    struct class_metrics {
        latency_histogram m_waited;
        latency_histogram m_ran;
        latency_histogram m_total;
        std::uint64_t m_retries = 0;
        std::array<std::uint64_t, error_kind_count> m_refusals{};
    };

    using class_key = std::pair<customer_id, service_class>;

    mutable std::mutex m_mutex;
    std::map<class_key, class_metrics> m_classes;
    std::map<endpoint_id, latency_histogram> m_endpoints;
    std::uint64_t m_overflow = 0; ///< Requests of customers beyond the limit.
};

} // namespace guavabay
