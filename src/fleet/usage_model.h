#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/ids.h"
#include "fleet/resources.h"

namespace guavabay {

/// What tasks of one customer and kind really use, relative to what they declare.
class usage_model {
public:
    /// Takes in one observation of a task that ran.
    void observe(const customer_id& customer, const std::string& kind, const resources& declared,
                 const resources& used);

    /// True when a task of this customer and kind has ended well before.
    [[nodiscard]] bool has_succeeded(const customer_id& customer, const std::string& kind) const;

    /// The amount to reserve for a task: a high quantile of what its like has used, never more
    /// than twice what it declares, and what it declares while too little is known.
    [[nodiscard]] resources reservation_for(const customer_id& customer, const std::string& kind,
                                            const resources& declared) const;

    /// Number of customers' kinds of which something is known.
    [[nodiscard]] std::size_t size() const { return m_samples.size(); }

private:
    static constexpr std::size_t sample_count = 32;

    /// The last observed ratios of one customer and kind.
    struct samples {
        std::array<double, sample_count> m_cpu{};
        std::array<double, sample_count> m_memory{};
        std::size_t m_count = 0;
    };

    std::map<std::pair<customer_id, std::string>, samples> m_samples;
};

} // namespace guavabay
