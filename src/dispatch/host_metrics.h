#pragma once

#include <map>
#include <string>

#include "metrics/latency_histogram.h"
#include "submission/submission.h"

namespace guavabay {

/// Counts and answer times of callers' requests, by queue and method, with bounded memory. Used on
/// one thread.
class host_metrics {
public:
    /// Counts one answered request.
    void record(const queue_id& queue, const std::string& method, unsigned status,
                duration answer_time);

    /// Everything in the Prometheus text format.
    [[nodiscard]] std::string to_text() const;

private:
    struct method_metrics {
        latency_histogram m_answer_time;
        std::map<unsigned, std::uint64_t> m_statuses;
    };

    std::map<std::pair<queue_id, std::string>, method_metrics> m_methods;
    std::uint64_t m_unlisted = 0; ///< Requests of queues beyond the limit.
};

} // namespace guavabay
