#include "dispatch/host_metrics.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace guavabay {

namespace {

/// Limit of series, one for each pair of queue and method. Changes of the configuration can add
/// queues without end, and series are never removed.
constexpr std::size_t max_series = 1024;

/// Methods with series of their own. Callers may send any other text as a method.
constexpr std::array<std::string_view, 3> known_methods{"GET", "POST", "DELETE"};

std::string method_label(const std::string& method)
{
    const bool is_known =
        std::find(known_methods.begin(), known_methods.end(), method) != known_methods.end();
    return is_known ? method : "other";
}

} // namespace

void host_metrics::record(const queue_id& queue, const std::string& method, unsigned status,
                          duration answer_time)
{
    const std::pair key(queue, method_label(method));
    if (m_series.size() >= max_series && !m_series.contains(key)) {
        ++m_untracked_requests;
        return;
    }
    request_series& series = m_series[key];
    series.m_answer_time.record(answer_time);
    ++series.m_statuses[status];
}

std::string host_metrics::to_text() const
{
    std::string text = "# TYPE guavabay_answer_seconds histogram\n"
                       "# TYPE guavabay_answers_total counter\n";
    for (const auto& [key, series] : m_series) {
        const std::string labels =
            "queue=\"" + key.first.str() + "\",method=\"" + key.second + "\"";
        append_histogram(text, "guavabay_answer_seconds", labels, series.m_answer_time);
        for (const auto& [status, count] : series.m_statuses) {
            text += "guavabay_answers_total{" + labels + ",status=\"" + std::to_string(status) +
                    "\"} " + std::to_string(count) + "\n";
        }
    }
    text += "guavabay_unlisted_requests_total " + std::to_string(m_untracked_requests) + "\n";
    return text;
}

} // namespace guavabay
