#include "dispatch/host_metrics.h"

namespace guavabay {

namespace {

/// Queues and methods that are counted apart; routes come and go with the configuration.
constexpr std::size_t max_methods = 1024;

} // namespace

void host_metrics::record(const queue_id& queue, const std::string& method, unsigned status,
                          duration answer_time)
{
    const std::pair key(queue, method);
    if (m_methods.size() >= max_methods && !m_methods.contains(key)) {
        ++m_unlisted;
        return;
    }
    method_metrics& metrics = m_methods[key];
    metrics.m_answer_time.record(answer_time);
    ++metrics.m_statuses[status];
}

std::string host_metrics::to_text() const
{
    std::string text = "# TYPE guavabay_answer_seconds histogram\n"
                       "# TYPE guavabay_answers_total counter\n";
    for (const auto& [key, metrics] : m_methods) {
        const std::string labels =
            "queue=\"" + key.first.str() + "\",method=\"" + key.second + "\"";
        append_histogram(text, "guavabay_answer_seconds", labels, metrics.m_answer_time);
        for (const auto& [status, count] : metrics.m_statuses) {
            text += "guavabay_answers_total{" + labels + ",status=\"" + std::to_string(status) +
                    "\"} " + std::to_string(count) + "\n";
        }
    }
    text += "guavabay_unlisted_requests_total " + std::to_string(m_unlisted) + "\n";
    return text;
}

} // namespace guavabay
