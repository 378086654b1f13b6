#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace guavabay {

/// Distribution of lengths of time over logarithmic bins from 50 microseconds to 100 seconds.
class latency_histogram {
public:
    /// Makes an empty distribution.
    latency_histogram();

    /// Counts one length of time.
    void record(duration length);

    /// The length below which the given share of all recorded lengths lies, in seconds; zero
    /// when nothing was recorded.
    [[nodiscard]] double quantile(double share) const;

    /// Number of recorded lengths.
    [[nodiscard]] std::uint64_t count() const { return m_count; }

    /// Sum of all recorded lengths, in seconds.
    [[nodiscard]] double sum() const { return m_sum_seconds; }

    /// Upper bound of each bin in seconds with the number of lengths at or below it.
    [[nodiscard]] std::vector<std::pair<double, std::uint64_t>> cumulative() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;
    using histogram = boost::histogram::histogram<std::tuple<axis>, storage>;

    histogram m_histogram;
    std::uint64_t m_count = 0;
    double m_sum_seconds = 0;
};

/// Appends a distribution in the Prometheus text format under a name and labels.
void append_histogram(std::string& text, const char* name, const std::string& labels,
                      const latency_histogram& histogram);

} // namespace guavabay
