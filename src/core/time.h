#pragma once

#include <chrono>
#include <ctime>

namespace guavabay {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Length of time as the decision functions count it.
using duration = std::chrono::microseconds;

/// Moment on the runtime's monotonic clock. Decision functions receive it and never read a clock.
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Moment on the calendar, used only for the limits written in a contract.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Reads the monotonic clock; only the threads that run the shell call this.
inline time_point read_clock()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

/// Reads a monotonic clock that also counts the time in which the machine was suspended; for
/// leases and proofs, which others count on. Only the shell calls this.
inline time_point read_boot_clock()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(seconds(now.tv_sec)) +
                      std::chrono::duration_cast<duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

/// Reads the calendar; only the threads that run the shell call this.
inline wall_time read_wall_clock()
{
    return std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now());
}

/// A length of time in milliseconds with a fraction, for output.
inline double to_milliseconds(duration length)
{
    return std::chrono::duration<double, std::milli>(length).count();
}

} // namespace guavabay
