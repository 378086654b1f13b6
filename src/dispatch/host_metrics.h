#pragma once

#include <map>
#include <string>

#include "metrics/latency_histogram.h"
#include "submission/submission.h"

namespace guavabay {

/// Request counts and response times by queue and HTTP method, in bounded memory. Not thread-safe.
class host_metrics {
public:
    /// Records one request with the status and the time of its response.
    void record(const queue_id& queue, const std::string& method, unsigned status,
                duration answer_time);

    /// Formats all metrics in the Prometheus text format.
    [[nodiscard]] std::string to_text() const;

private:
    /// Metrics of one queue and method.
    struct request_series {
        latency_histogram m_answer_time;
        std::map<unsigned, std::uint64_t> m_statuses;
    };

    std::map<std::pair<queue_id, std::string>, request_series> m_series;
    std::uint64_t m_untracked_requests = 0; ///< Beyond the limit of series.
};

} // namespace guavabay
