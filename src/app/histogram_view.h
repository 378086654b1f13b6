#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace guavabay {

/// Counts of requests by the upper bound of their bin in seconds.
using histogram_bins = std::map<double, std::uint64_t>;

/// The upper bound, in seconds, of the bin in which the given share of all counts is reached; zero
/// when there are none.
double quantile_of(const histogram_bins& bins, double share);

/// Draws one line a bin with a bar, the longest bar for the largest count.
std::string draw_bars(const histogram_bins& bins);

/// The histograms in the answers of entry hosts, added up by customer and class. An answer that
/// cannot be read is left out.
class histogram_sum {
public:
    /// Adds the answer of one host; false with a reason when it cannot be read.
    bool add(const std::string& body);

    /// Percentiles and bars of every customer and class.
    [[nodiscard]] std::string describe() const;

private:
    std::map<std::string, histogram_bins> m_requests; ///< By customer and class.
};

} // namespace guavabay
