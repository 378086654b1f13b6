#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "submission/submission.h"

namespace guavabay {

/// A submission was accepted.
struct log_accepted {
    submission_id m_id;
    queue_id m_queue;
    std::int64_t m_accepted_ms = 0; ///< Unix time, in milliseconds.
    submission m_submission;
};

/// A submission was cancelled by its caller.
struct log_cancelled {
    submission_id m_id;
};

/// How a run that counts ended: done, or failed by its own or the worker's fault.
struct log_task_ended {
    task_name m_task;
    bool m_done = false;
    run_number m_run; ///< Of a failure: a later owner is told of it again until it is acknowledged.
};

/// A submission reached its final state.
struct log_closed {
    submission_id m_id;
    submission_state m_state = submission_state::succeeded;
    std::int64_t m_closed_ms = 0; ///< Unix time, in milliseconds.
};

/// A submission whose final state is no longer asked for was forgotten.
struct log_purged {
    submission_id m_id;
};

/// The owner uses a worker; its successor has to reach it, or wait until its lease has ended.
struct log_worker_used {
    worker_id m_worker;
    std::string m_address;
};

/// A worker's life has ended, or its lease has.
struct log_worker_gone {
    worker_id m_worker;
};

/// An owner begins to start tasks; every worker that is in use may get some.
struct log_ownership_taken {
    std::int64_t m_token = 0;
};

/// Everything is as the log says; no start of the former owner is outstanding on a worker that is
/// not named here.
struct log_ownership_released {
    std::vector<worker_id> m_busy_workers;
};

/// One line of a shard's log.
using log_entry =
    std::variant<log_accepted, log_cancelled, log_task_ended, log_closed, log_purged,
                 log_worker_used, log_worker_gone, log_ownership_released, log_ownership_taken>;

/// Encodes the lines of one write to the store.
std::string encode_log(const std::vector<log_entry>& entries);

/// Reads what encode_log wrote; empty with a reason when it is malformed.
std::optional<std::vector<log_entry>> decode_log(std::string_view bytes);

/// Encodes a submission for another process.
std::string encode_submission(const submission& request);

/// Reads what encode_submission wrote; empty with a reason when it is malformed.
std::optional<submission> decode_submission_bytes(std::string_view bytes);

} // namespace guavabay
