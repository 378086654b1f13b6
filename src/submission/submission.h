#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "fleet/resources.h"

namespace guavabay {

/// Identifies a submission; chosen by the caller.
using submission_id = string_id<struct submission_tag>;
/// Identifies a queue, whose submissions run their tasks on the workers of one service.
using queue_id = string_id<struct queue_tag>;
/// Identifies one incarnation of a worker process; a restarted process gets a new id.
using worker_id = string_id<struct worker_tag>;
/// Orders the runs of one task; a larger number is newer.
using run_number = number_id<struct run_tag, std::int64_t>;
/// Orders the holders of one duty; a larger token is newer.
using fencing_token = number_id<struct fencing_tag, std::int64_t>;

/// Identical tasks of a submission that become ready at the same time.
struct submission_step {
    std::uint32_t m_task_count = 1;
    /// Resources that each task needs.
    resources m_demand;
    /// Estimated run time of each task.
    std::chrono::milliseconds m_estimate{0};
    /// Indices of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> m_after;
    /// The tasks write checkpoints and resume from them.
    bool m_saves_progress = false;
    /// All tasks must run at the same time (gang scheduling).
    bool m_gang = false;
    /// The tasks run slower if they are spread over several racks.
    bool m_same_rack = false;
    /// Several copies of a task may run at the same time.
    bool m_speculative = false;
    /// The tasks run until the submission is cancelled.
    bool m_long_running = false;
    /// The tasks reserve no cores and run on idle ones.
    bool m_uses_idle_cores = false;
    /// Label that a worker must have; empty for any worker.
    std::string m_required_label;
    /// Rack that stores the input data; empty if the rack does not matter.
    std::string m_data_rack;
    /// Maximum number of tasks of this step on one worker; zero for no limit.
    std::uint32_t m_max_per_worker = 0;
    /// Image that the tasks run.
    std::string m_image;
    /// Limit for the tail of a serving task's response times, in milliseconds; zero for none.
    std::int64_t m_tail_latency_target_ms = 0;
    /// Maximum number of tasks that planned work may stop at a time; negative for any number.
    std::int32_t m_max_unavailable = -1;

    bool operator==(const submission_step&) const = default;
};

/// Work that a caller hands in: steps of tasks, run once or repeated at an interval.
struct submission {
    std::string m_spec; ///< Passed to the worker unchanged.
    std::vector<submission_step> m_steps;
    std::uint32_t m_repeat_count = 0;  ///< Occurrences; zero for a single immediate one.
    std::int64_t m_first_start_ms = 0; ///< Unix time of the first occurrence, in milliseconds.
    std::int64_t m_interval_ms = 0;    ///< Time between the starts of two occurrences.

    bool operator==(const submission&) const = default;
};

/// Limits of a submission.
inline constexpr std::size_t max_submission_steps = 256;
inline constexpr std::uint32_t max_step_tasks = 10000;
inline constexpr std::uint32_t max_repeats = 100000;

/// Brings a submission that another process sent into the form that the scheduler relies on: a list
/// of earlier steps names each once, and amounts and times are within ranges in which their sums
/// are exact. What exceeds these is more than any worker has or any owner lives. Returns false,
/// with the cause in last_reason(), if a limit is exceeded or a step comes after one that is not
/// earlier.
bool normalise(submission& what);

/// State of a submission as reported to its caller. The order of the values matters: the final
/// states come last, and the submission log stores the numeric value.
enum class submission_state : std::uint8_t { pending, running, succeeded, failed, canceled };

/// Returns whether the state is final and cannot change any more.
inline bool is_final(submission_state state)
{
    return state >= submission_state::succeeded;
}

/// Identifies one task of a submission.
struct task_name {
    submission_id m_submission;
    std::uint32_t m_occurrence = 0; ///< Counts the repetitions of the submission from 0.
    std::uint32_t m_step = 0;       ///< Index of the step in the submission.
    std::uint32_t m_index = 0;      ///< Index of the task in the step.

    auto operator<=>(const task_name&) const = default;
};

/// Returns the text form used in the worker protocol: ID.OCCURRENCE.STEP.INDEX.
std::string to_string(const task_name& name);

/// Parses the text form. Returns an empty value, with the cause in last_reason(), if it is
/// malformed.
std::optional<task_name> parse_task_name(std::string_view text);

/// Returns the length of the critical path of one occurrence: its estimated duration if every task
/// starts as soon as the steps before it are done.
std::chrono::milliseconds critical_path_length(const submission& request);

/// Returns the estimated work of one occurrence, in core-milliseconds.
double total_core_ms(const submission& request);

} // namespace guavabay
