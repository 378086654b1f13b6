#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "fleet/resources.h"

// Decides how long a task or a gang waits for the place at which it runs fastest: the rack of its
// data, or one rack for the whole gang. The functions are pure; the caller passes the time.
namespace guavabay {

/// How waits for a place are decided. All but `expected_gain` exist for comparisons.
enum class wait_rule : std::uint8_t {
    expected_gain, ///< By the expected time until there is room, and by what a wait is worth.
    none,          ///< Never waits.
    fixed_time,    ///< Waits up to a fixed time (delay scheduling).
    fixed_multiple ///< Waits up to the time that a run elsewhere takes longer.
};

/// Shares of the finished runs by the ratio of their run time to the expected one.
struct overrun_history {
    static constexpr std::size_t class_count = 9;
    std::array<double, class_count> m_counts{};
    double m_samples = 0; ///< Sum of the counts; they decay, so that newer runs count more.
};

/// Adds the ratio of a finished run.
void add_overrun(overrun_history& history, double ratio);

/// Expected time until a run ends that has taken `elapsed` so far. Without samples, a run that has
/// exceeded its expected time is expected to take as much longer as it has exceeded it.
duration expected_remaining(const overrun_history& history, duration expected, duration elapsed);

/// Capacity that becomes free on a worker after a time.
struct expected_release {
    duration m_after{0};
    resources m_freed;
};

/// Work that will take capacity of a worker before the task that asks.
struct expected_booking {
    resources m_demand;
    duration m_length{0}; ///< Expected run time.
};

/// What is expected of one worker at a place.
struct worker_outlook {
    resources m_free;
    std::vector<expected_release> m_releases; ///< In the order of their times.
    duration m_from{0};                       ///< The free capacity counts from this time on.
};

/// What is expected of the workers at a place that accept starts.
struct place_outlook {
    std::vector<worker_outlook> m_workers;
};

/// Expected time until `count` equal demands fit at a place at the same time, at most
/// `max_per_worker` (zero: any number) on each worker; empty if they never will. Workers whose
/// entry in `excluded` is true are left out.
std::optional<duration> time_until_room(const place_outlook& place, const resources& demand,
                                        std::uint32_t count, std::uint32_t max_per_worker,
                                        const std::vector<bool>& excluded);

/// Takes capacity for work that has precedence, on a worker where it fits first; the index of the
/// worker, or empty if it fits on none.
std::optional<std::size_t> book(place_outlook& place, const expected_booking& work,
                                const std::vector<bool>& excluded);

/// Takes capacity of one worker for work that has precedence; false if it never fits.
bool book_on(worker_outlook& worker, const expected_booking& work);

/// What a decision about a wait depends on.
struct place_question {
    duration m_time_here{0};      ///< Expected run time at the place.
    duration m_time_elsewhere{0}; ///< Expected run time at the second-best place, which has room.
    std::optional<duration> m_room_in; ///< Expected time until room at the place; empty: never.
    duration m_waited{0};              ///< How long the task has waited for the place already.
    duration m_slack{0}; ///< Time for which a run at the place can wait and meet the objective.
    duration m_hard_slack{0}; ///< The same for the hard deadline.
    double m_idle_price = 0;  ///< Cost of a millisecond of the core that is kept for the task, in
                              ///< milliseconds of the task's own delay.
    double m_work_price = 0;  ///< Cost to others of a millisecond that the task runs longer.
};

/// What to do with a task or gang that has a preferred place.
enum class place_action : std::uint8_t { start_here, wait, second_best };

/// Why it was decided so.
enum class place_reason : std::uint8_t {
    has_room,      ///< The place has room now.
    gain,          ///< The wait is expected to cost less than the run elsewhere.
    only_in_time,  ///< Only a run at the place is expected to meet the deadline.
    no_room,       ///< The place is not expected to have room.
    no_gain,       ///< The wait is expected to cost more than the run elsewhere.
    urgent,        ///< Only a start now meets the deadline.
    waited_enough, ///< It has waited as long as a run elsewhere would take longer.
    fixed_wait     ///< By one of the rules that exist for comparisons.
};

/// The decision, with the longest further wait.
struct place_decision {
    place_action m_action = place_action::second_best;
    duration m_wait{0}; ///< Zero unless the action is to wait.
    place_reason m_reason = place_reason::no_gain;
};

/// Decides for a task or gang whose place has no room, or has.
place_decision decide_place(const place_question& question);

/// Decides by one of the rules; `fixed_wait` belongs to the rule with a fixed time.
place_decision decide_by_rule(wait_rule rule, duration fixed_wait, const place_question& question);

/// Name of a reason in log lines.
std::string_view to_text(place_reason reason);

/// Measured waits at one place: how long they were in relation to what was expected.
struct wait_history {
    double m_ratio = 1;
    std::uint32_t m_samples = 0;
};

/// Adds a wait that ended with room or, as a lower bound, without.
void add_wait(wait_history& history, duration expected, duration measured, bool found_room);

} // namespace guavabay
