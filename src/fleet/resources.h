#pragma once

#include <compare>
#include <cstdint>

namespace guavabay {

/// Amounts of resources that a task requires or a worker offers.
struct resources {
    std::int64_t m_cpu_millis = 0;   ///< Thousandths of a CPU core.
    std::int64_t m_memory_mb = 0;    ///< Megabytes.
    std::int64_t m_accelerators = 0; ///< Whole devices.

    auto operator<=>(const resources&) const = default;
};

/// Adds two amounts, resource by resource.
resources operator+(const resources& left, const resources& right);

/// Subtracts an amount, resource by resource. The result can be negative.
resources operator-(const resources& left, const resources& right);

/// A multiple of an amount that is not negative. Products beyond the range of the numbers are the
/// largest ones.
resources multiply(const resources& each, std::int64_t count);

/// The larger and the smaller amount of each resource.
resources component_max(const resources& left, const resources& right);
resources component_min(const resources& left, const resources& right);

/// Returns whether `wanted` exceeds `offered` in no resource.
bool fits(const resources& wanted, const resources& offered);

} // namespace guavabay
