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

/// Names one submission; chosen by the caller.
using submission_id = string_id<struct submission_tag>;
/// Names a queue, which sends its submissions' tasks to one service.
using queue_id = string_id<struct queue_tag>;
/// Names one life of a worker process.
using worker_id = string_id<struct worker_tag>;
/// Orders two runs of one task; the larger one is newer.
using run_number = number_id<struct run_tag, std::int64_t>;
/// Orders two holders of one duty; the larger one is newer.
using fencing_token = number_id<struct fencing_tag, std::int64_t>;

/// Tasks of a submission that are alike and become ready together.
struct submission_step {
    std::uint32_t m_task_count = 1;
    resources m_demand; ///< Of each task.
    std::chrono::milliseconds m_estimate{0};
    std::vector<std::uint32_t> m_after; ///< Steps whose tasks must all be done first.
    bool m_saves_progress = false;
    bool m_gang = false;                ///< The tasks run only all at once.
    bool m_same_rack = false;           ///< The tasks are slower when spread over racks.
    bool m_speculative = false;         ///< Copies of a task may run at the same time.
    bool m_long_running = false;        ///< The tasks run until the submission is cancelled.
    bool m_uses_idle_cores = false;     ///< The cores are not reserved; what is unused is taken.
    std::string m_required_label;       ///< Of the worker; empty for any.
    std::string m_data_rack;            ///< Where the data lies; empty for nowhere in particular.
    std::uint32_t m_max_per_worker = 0; ///< Zero for no limit.
    std::string m_image;                ///< What the tasks run.
    std::int64_t m_tail_latency_target_ms = 0; ///< Response times of a serving task; zero for none.
    std::int32_t m_max_unavailable = -1; ///< Tasks that planned work may stop; negative for any.

    bool operator==(const submission_step&) const = default;
};

/// What a caller asks to have run.
struct submission {
    std::string m_spec; ///< Handed to the worker as it is.
    std::vector<submission_step> m_steps;
    std::uint32_t m_repeat_count = 0;  ///< Zero for one immediate occurrence.
    std::int64_t m_first_start_ms = 0; ///< Unix time of the first occurrence, in milliseconds.
    std::int64_t m_interval_ms = 0;

    bool operator==(const submission&) const = default;
};

/// What a caller learns of a submission.
enum class submission_state : std::uint8_t { pending, running, succeeded, failed, canceled };

/// True when nothing can change the state any more.
inline bool is_final(submission_state state)
{
    return state >= submission_state::succeeded;
}

/// Names one task of a submission.
struct task_name {
    submission_id m_submission;
    std::uint32_t m_occurrence = 0;
    std::uint32_t m_step = 0;
    std::uint32_t m_index = 0;

    auto operator<=>(const task_name&) const = default;
};

/// The text form that workers use: ID.OCCURRENCE.STEP.INDEX.
std::string to_string(const task_name& name);

/// Reads the text form; empty with a reason when malformed.
std::optional<task_name> parse_task_name(std::string_view text);

/// The time that one occurrence needs when every task starts at once, by the estimates.
std::chrono::milliseconds critical_path_length(const submission& request);

/// Core-milliseconds of one occurrence, by the estimates.
double total_core_ms(const submission& request);

} // namespace guavabay
