#pragma once

#include "core/time.h"
#include "net/asio.h"

namespace guavabay::test {

/// Longest a case waits for something that has to happen.
inline constexpr seconds wait_limit{20};

/// Runs the context until a condition holds; false if it does not within the limit.
template <typename Condition>
bool run_until(asio::io_context& context, Condition condition, duration limit = wait_limit)
{
    const time_point end = read_clock() + limit;
    while (!condition()) {
        if (read_clock() > end) {
            return false;
        }
        context.run_for(milliseconds(2));
    }
    return true;
}

} // namespace guavabay::test
