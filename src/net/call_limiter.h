#pragma once

#include <boost/intrusive/list.hpp>
#include <memory>

#include "net/asio.h"

namespace guavabay {

/// Bounds how many calls of one kind are under way at one time. Further calls wait in the order of
/// their arrival. Used on the thread of its context.
class call_limiter {
    struct state;

public:
    /// Admits a number of calls at one time.
    call_limiter(asio::io_context& context, std::size_t max_calls);

    /// A call that is under way until this object is destroyed, which may outlive the limiter.
    class permit {
    public:
        explicit permit(std::shared_ptr<state> shared) : m_state(std::move(shared)) {}
        permit(permit&&) noexcept = default;
        permit& operator=(permit&&) = delete;
        ~permit();

    private:
        std::shared_ptr<state> m_state; ///< Null after a move.
    };

    /// Waits until another call may begin.
    asio::awaitable<permit> acquire();

    /// Number of calls that may begin without waiting.
    [[nodiscard]] std::size_t free_calls() const { return m_state->m_max_calls - m_state->m_calls; }

private:
    /// A call that waits; in the list until it may begin.
    struct waiter : boost::intrusive::list_base_hook<
                        boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
        explicit waiter(asio::io_context& context);
        asio::steady_timer m_timer;
    };

    /// Shared with the permits.
    struct state {
        std::size_t m_max_calls = 0;
        std::size_t m_calls = 0;
        boost::intrusive::list<waiter, boost::intrusive::constant_time_size<false>> m_waiters;
    };

    asio::io_context& m_context;
    std::shared_ptr<state> m_state;
};

} // namespace guavabay
