#include "metrics/latency_histogram.h"

#include <cmath>
#include <cstdio>

namespace guavabay {

namespace {

constexpr unsigned bin_count = 58;
constexpr double lowest_seconds = 50e-6;
constexpr double highest_seconds = 100;

} // namespace

latency_histogram::latency_histogram()
    : m_histogram(boost::histogram::make_histogram_with(
          storage(), axis(bin_count, lowest_seconds, highest_seconds)))
{
}

void latency_histogram::record(duration length)
{
    const double in_seconds = std::chrono::duration<double>(length).count();
    m_histogram(in_seconds);
    ++m_count;
    m_sum_seconds += in_seconds;
}

std::vector<std::pair<double, std::uint64_t>> latency_histogram::cumulative() const
{
    std::vector<std::pair<double, std::uint64_t>> bounds;
    std::uint64_t below = m_histogram.at(-1);
    for (int i = 0; i < static_cast<int>(bin_count); ++i) {
        below += m_histogram.at(i);
        bounds.emplace_back(m_histogram.axis(0).bin(i).upper(), below);
    }
    return bounds;
}

double latency_histogram::quantile(double share) const
{
    if (m_count == 0) {
        return 0;
    }
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(m_count)));
    for (const auto& [bound, below] : cumulative()) {
        if (below >= wanted) {
            return bound;
        }
    }
    return highest_seconds;
}

void append_histogram(std::string& text, const char* name, const std::string& labels,
                      const latency_histogram& histogram)
{
    char line[256];
    for (const auto& [bound, below] : histogram.cumulative()) {
        std::snprintf(line, sizeof line, "%s_bucket{%s,le=\"%.6g\"} %llu\n", name, labels.c_str(),
                      bound, static_cast<unsigned long long>(below));
        text += line;
    }
    std::snprintf(line, sizeof line, "%s_bucket{%s,le=\"+Inf\"} %llu\n", name, labels.c_str(),
                  static_cast<unsigned long long>(histogram.count()));
    text += line;
    std::snprintf(line, sizeof line, "%s_sum{%s} %.9g\n%s_count{%s} %llu\n", name, labels.c_str(),
                  histogram.sum(), name, labels.c_str(),
                  static_cast<unsigned long long>(histogram.count()));
    text += line;
}

} // namespace guavabay
