#include "metrics/request_metrics.h"

#include <boost/json.hpp>
#include <cstdio>

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr std::size_t max_classes = 4096;
constexpr std::size_t max_endpoints = 4096;

const char* name_of(service_class kind)
{
    return kind == service_class::interactive ? "interactive" : "batch";
}

json::object percentiles(const latency_histogram& histogram)
{
    constexpr double ms_per_second = 1000;
    return {{"count", histogram.count()},
            {"p50_ms", histogram.quantile(0.5) * ms_per_second},
            {"p90_ms", histogram.quantile(0.9) * ms_per_second},
            {"p99_ms", histogram.quantile(0.99) * ms_per_second}};
}

/// The bins that have counts: the upper bound in seconds and the count.
json::array bins_of(const latency_histogram& histogram)
{
    json::array bins;
    std::uint64_t before = 0;
    for (const auto& [bound, below] : histogram.cumulative()) {
        if (below > before) {
            bins.push_back(json::array{bound, below - before});
        }
        before = below;
    }
    return bins;
}

} // namespace

void request_metrics::record(const finished_request& request)
{
    const std::lock_guard lock(m_mutex);
    const class_key key{request.m_customer, request.m_class};
    if (m_classes.size() >= max_classes && !m_classes.contains(key)) {
        ++m_overflow;
        return;
    }
    class_metrics& metrics = m_classes[key];
    metrics.m_retries += request.m_retries;
    metrics.m_total.record(request.m_total);
    if (request.m_refusal) {
        ++metrics.m_refusals.at(static_cast<std::size_t>(*request.m_refusal));
    }
    if (request.m_endpoint.empty()) {
        return;
    }
    metrics.m_waited.record(request.m_waited);
    metrics.m_ran.record(request.m_ran);
    if (m_endpoints.size() < max_endpoints || m_endpoints.contains(request.m_endpoint)) {
        m_endpoints[request.m_endpoint].record(request.m_ran);
    }
}

std::string request_metrics::to_text() const
{
    const std::lock_guard lock(m_mutex);
    std::string text = "# TYPE guavabay_queue_seconds histogram\n"
                       "# TYPE guavabay_service_seconds histogram\n"
                       "# TYPE guavabay_request_seconds histogram\n"
                       "# TYPE guavabay_retries_total counter\n"
                       "# TYPE guavabay_failures_total counter\n"
                       "# TYPE guavabay_endpoint_seconds histogram\n";
    for (const auto& [key, metrics] : m_classes) {
        const std::string labels =
            "customer=\"" + key.first.str() + "\",class=\"" + name_of(key.second) + "\"";
        append_histogram(text, "guavabay_queue_seconds", labels, metrics.m_waited);
        append_histogram(text, "guavabay_service_seconds", labels, metrics.m_ran);
        append_histogram(text, "guavabay_request_seconds", labels, metrics.m_total);
        text +=
            "guavabay_retries_total{" + labels + "} " + std::to_string(metrics.m_retries) + "\n";
        for (const error_answer& row : error_answers()) {
            const auto count = metrics.m_refusals.at(static_cast<std::size_t>(row.m_kind));
            if (count > 0) {
                text += "guavabay_failures_total{" + labels + ",kind=\"" + std::string(row.m_name) +
                        "\"} " + std::to_string(count) + "\n";
            }
        }
    }
    for (const auto& [endpoint, histogram] : m_endpoints) {
        append_histogram(text, "guavabay_endpoint_seconds", "endpoint=\"" + endpoint.str() + "\"",
                         histogram);
    }
    text += "guavabay_unlisted_requests_total " + std::to_string(m_overflow) + "\n";
    return text;
}

std::string request_metrics::to_json() const
{
    const std::lock_guard lock(m_mutex);
    json::array classes;
    for (const auto& [key, metrics] : m_classes) {
        json::object failures;
        for (const error_answer& row : error_answers()) {
            const auto count = metrics.m_refusals.at(static_cast<std::size_t>(row.m_kind));
            if (count > 0) {
                failures[json::string_view(row.m_name.data(), row.m_name.size())] = count;
            }
        }
        classes.push_back({{"customer", key.first.str()},
                           {"class", name_of(key.second)},
                           {"queue", percentiles(metrics.m_waited)},
                           {"service", percentiles(metrics.m_ran)},
                           {"request", percentiles(metrics.m_total)},
                           {"bins", bins_of(metrics.m_total)},
                           {"retries", metrics.m_retries},
                           {"failures", std::move(failures)}});
    }
    return json::serialize(json::object{{"classes", std::move(classes)}});
}

} // namespace guavabay
