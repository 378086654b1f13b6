#include "net/call_limiter.h"

namespace guavabay {

call_limiter::call_limiter(asio::io_context& context, std::size_t max_calls)
    : m_context(context), m_state(std::make_shared<state>())
{
    m_state->m_max_calls = max_calls;
}

call_limiter::permit::~permit()
{
    if (!m_state) {
        return;
    }
    if (m_state->m_waiters.empty()) {
        --m_state->m_calls;
        return;
    }
    // The place goes to the call that has waited longest.
    waiter& next = m_state->m_waiters.front();
    m_state->m_waiters.pop_front();
    next.m_timer.cancel();
}

call_limiter::waiter::waiter(asio::io_context& context)
    : m_timer(context, asio::steady_timer::time_point::max())
{
}

asio::awaitable<call_limiter::permit> call_limiter::acquire()
{
    const std::shared_ptr<state> shared = m_state;
    if (shared->m_calls < shared->m_max_calls) {
        ++shared->m_calls;
        co_return permit(shared);
    }
    waiter waiting(m_context);
    shared->m_waiters.push_back(waiting);
    error_code ignored;
    co_await waiting.m_timer.async_wait(to_coroutine(ignored));
    co_return permit(shared);
}

} // namespace guavabay
