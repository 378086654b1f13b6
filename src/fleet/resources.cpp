#include "fleet/resources.h"

#include <algorithm>
#include <limits>

namespace guavabay {

namespace {

std::int64_t multiply(std::int64_t each, std::int64_t count)
{
    constexpr std::int64_t largest = std::numeric_limits<std::int64_t>::max();
    return count > 0 && each > largest / count ? largest : each * count;
}

} // namespace

resources operator+(const resources& left, const resources& right)
{
    return {left.m_cpu_millis + right.m_cpu_millis, left.m_memory_mb + right.m_memory_mb,
            left.m_accelerators + right.m_accelerators};
}

resources operator-(const resources& left, const resources& right)
{
    return {left.m_cpu_millis - right.m_cpu_millis, left.m_memory_mb - right.m_memory_mb,
            left.m_accelerators - right.m_accelerators};
}

resources multiply(const resources& each, std::int64_t count)
{
    return {multiply(each.m_cpu_millis, count), multiply(each.m_memory_mb, count),
            multiply(each.m_accelerators, count)};
}

resources component_max(const resources& left, const resources& right)
{
    return {std::max(left.m_cpu_millis, right.m_cpu_millis),
            std::max(left.m_memory_mb, right.m_memory_mb),
            std::max(left.m_accelerators, right.m_accelerators)};
}

resources component_min(const resources& left, const resources& right)
{
    return {std::min(left.m_cpu_millis, right.m_cpu_millis),
            std::min(left.m_memory_mb, right.m_memory_mb),
            std::min(left.m_accelerators, right.m_accelerators)};
}

bool fits(const resources& wanted, const resources& offered)
{
    return wanted.m_cpu_millis <= offered.m_cpu_millis &&
           wanted.m_memory_mb <= offered.m_memory_mb &&
           wanted.m_accelerators <= offered.m_accelerators;
}

} // namespace guavabay
