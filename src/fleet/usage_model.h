#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/ids.h"
#include "fleet/resources.h"

namespace guavabay {

/// Learns the ratio of used to declared resources for each pair of customer and task kind, and
/// derives reservations from it. Memory use is bounded; pairs beyond the limit are not learned.
class usage_model {
public:
    /// Records the usage of a task that succeeded.
    void observe(const customer_id& customer, const std::string& kind, const resources& declared,
                 const resources& used);

    /// Returns true if a task of this customer and kind has been recorded as succeeded.
    [[nodiscard]] bool has_succeeded(const customer_id& customer, const std::string& kind) const;

    /// Returns the resources to reserve for a task: the 95th percentile of the recent ratios of its
    /// customer and kind, times what it declares, limited to twice that. Returns the declared
    /// resources while there are too few samples. Accelerators are always as declared.
    [[nodiscard]] resources reservation_for(const customer_id& customer, const std::string& kind,
                                            const resources& declared) const;

    /// Returns the number of pairs of customer and kind that have samples.
    [[nodiscard]] std::size_t size() const { return m_samples.size(); }

private:
    static constexpr std::size_t sample_count = 32;

    /// Ring of the most recent ratios of used to declared resources.
    struct samples {
        std::array<double, sample_count> m_cpu{};
        std::array<double, sample_count> m_memory{};
        std::size_t m_count = 0;
    };

    std::map<std::pair<customer_id, std::string>, samples> m_samples;
};

} // namespace guavabay
