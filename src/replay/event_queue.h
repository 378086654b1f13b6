#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "core/time.h"

namespace guavabay {

/// Actions in the order of virtual time; actions of one moment keep the order they were added in.
class event_queue {
public:
    /// Adds an action for a moment that has not passed.
    void at(time_point when, std::function<void()> action)
    {
        m_events.push({when, m_order++, std::move(action)});
    }

    /// Carries out the next action; false when there is none before the limit.
    bool step(time_point limit) { return step(limit, m_now); }

    /// Carries out the next action and sets a clock of the caller's to its moment first; false when
    /// there is none before the limit.
    bool step(time_point limit, time_point& clock)
    {
        if (m_events.empty() || m_events.top().m_at > limit) {
            return false;
        }
        const timed next = m_events.top();
        m_events.pop();
        m_now = next.m_at;
        clock = m_now;
        next.m_action();
        return true;
    }

    /// The present moment of virtual time.
    [[nodiscard]] time_point now() const { return m_now; }

private:
    struct timed {
        time_point m_at;
        std::uint64_t m_order = 0;
        std::function<void()> m_action;
        bool operator<(const timed& other) const
        {
            return m_at != other.m_at ? m_at > other.m_at : m_order > other.m_order;
        }
    };

    std::priority_queue<timed> m_events;
    std::uint64_t m_order = 0;
    time_point m_now{};
};

} // namespace guavabay
