#pragma once

#include <algorithm>
#include <random>

#include "core/time.h"

namespace guavabay {

/// Exponential backoff with jitter: the delay doubles with each attempt up to a limit, and the
/// jitter keeps hosts from retrying in step.
class retry_backoff {
public:
    /// Creates a backoff that starts at the first delay and never exceeds the longest one.
    explicit retry_backoff(milliseconds first = milliseconds(50),
                           milliseconds longest = milliseconds(800))
        : m_first(first), m_longest(longest), m_current(first)
    {
    }

    /// Returns the delay before the next attempt, drawn from the upper half of the current limit,
    /// and doubles the limit.
    milliseconds next()
    {
        thread_local std::minstd_rand random(std::random_device{}());
        const milliseconds pause = m_current;
        m_current = std::min(m_current * 2, m_longest);
        std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2, pause.count());
        return milliseconds(jitter(random));
    }

    /// Returns to the first delay; to be called after a success.
    void reset() { m_current = m_first; }

private:
    milliseconds m_first;
    milliseconds m_longest;
    milliseconds m_current;
};

} // namespace guavabay
