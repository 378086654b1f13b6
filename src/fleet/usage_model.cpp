#include "fleet/usage_model.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace guavabay {

namespace {

constexpr std::size_t min_samples = 8;  ///< Fewer samples do not change the reservation.
constexpr std::size_t max_kinds = 4096; ///< Pairs of customer and kind; bounds the memory use.
constexpr double reserved_quantile = 0.95;
constexpr double max_ratio = 2;
constexpr double min_ratio = 0.05;

/// Returns the ratio of used to declared; 1 if nothing is declared.
double compute_ratio(std::int64_t used, std::int64_t declared)
{
    return declared <= 0 ? 1 : static_cast<double>(used) / static_cast<double>(declared);
}

/// Returns the reserved quantile of the samples, clamped to the permitted ratios.
template <std::size_t Size>
double quantile(const std::array<double, Size>& values, std::size_t count)
{
    const std::size_t known = std::min(count, Size);
    std::vector<double> sorted(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(known));
    const auto rank =
        static_cast<std::size_t>(std::floor(reserved_quantile * static_cast<double>(known - 1)));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                     sorted.end());
    return std::clamp(sorted[rank], min_ratio, max_ratio);
}

std::int64_t scale(std::int64_t amount, double factor)
{
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(amount) * factor));
}

} // namespace

void usage_model::observe(const customer_id& customer, const std::string& kind,
                          const resources& declared, const resources& used)
{
    const auto found = m_samples.find({customer, kind});
    if (found == m_samples.end() && m_samples.size() >= max_kinds) {
        return;
    }
    samples& known = m_samples[{customer, kind}];
    const std::size_t slot = known.m_count % sample_count;
    known.m_cpu.at(slot) = compute_ratio(used.m_cpu_millis, declared.m_cpu_millis);
    known.m_memory.at(slot) = compute_ratio(used.m_memory_mb, declared.m_memory_mb);
    ++known.m_count;
}

bool usage_model::has_succeeded(const customer_id& customer, const std::string& kind) const
{
    return m_samples.contains({customer, kind});
}

resources usage_model::reservation_for(const customer_id& customer, const std::string& kind,
                                       const resources& declared) const
{
    const auto found = m_samples.find({customer, kind});
    if (found == m_samples.end() || found->second.m_count < min_samples) {
        return declared;
    }
    const samples& known = found->second;
    return {scale(declared.m_cpu_millis, quantile(known.m_cpu, known.m_count)),
            scale(declared.m_memory_mb, quantile(known.m_memory, known.m_count)),
            declared.m_accelerators};
}

} // namespace guavabay
