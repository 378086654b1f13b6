#pragma once

#include <compare>
#include <cstdint>

namespace guavabay {

/// Work that a task needs or a worker offers.
struct resources {
    std::int64_t m_cpu_millis = 0; ///< Thousandths of a core.
    std::int64_t m_memory_mb = 0;
    std::int64_t m_accelerators = 0;

    auto operator<=>(const resources&) const = default;
};

/// Adds two amounts.
resources operator+(const resources& left, const resources& right);
/// Subtracts an amount.
resources operator-(const resources& left, const resources& right);
/// True when every part of the first fits into the second.
bool fits(const resources& wanted, const resources& offered);

} // namespace guavabay
