#pragma once

#include <algorithm>
#include <random>

#include "core/time.h"

namespace guavabay {

/// Pauses between attempts that grow up to a limit and differ between hosts.
class retry_backoff {
public:
    /// Makes pauses between the given limits.
    explicit retry_backoff(milliseconds first = milliseconds(50),
                           milliseconds longest = milliseconds(800))
        : m_first(first), m_longest(longest), m_current(first)
    {
    }

    /// The delay before the next attempt.
    milliseconds next()
    {
        thread_local std::minstd_rand random(std::random_device{}());
        const milliseconds delay = m_current;
        m_current = std::min(m_current * 2, m_longest);
        std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count());
        return milliseconds(jitter(random));
    }

    /// Begins with the shortest delay again, after a success.
    void reset() { m_current = m_first; }

private:
    milliseconds m_first;
    milliseconds m_longest;
    milliseconds m_current;
};

} // namespace guavabay
