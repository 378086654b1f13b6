#pragma once

#include <algorithm>
#include <random>

#include "core/time.h"

namespace guavabay {

/// Pauses between attempts that grow up to a limit and differ between hosts.
class retry_pause {
public:
    /// Makes pauses between the given limits.
    explicit retry_pause(milliseconds first = milliseconds(50),
                         milliseconds longest = milliseconds(800))
        : m_first(first), m_longest(longest), m_current(first)
    {
    }

    /// The pause before the next attempt.
    milliseconds next()
    {
        thread_local std::minstd_rand random(std::random_device{}());
        const milliseconds pause = m_current;
        m_current = std::min(m_current * 2, m_longest);
        std::uniform_int_distribution<std::int64_t> spread(pause.count() / 2, pause.count());
        return milliseconds(spread(random));
    }

    /// Begins with the shortest pause again, after a success.
    void reset() { m_current = m_first; }

private:
    milliseconds m_first;
    milliseconds m_longest;
    milliseconds m_current;
};

} // namespace guavabay
