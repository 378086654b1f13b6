#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "submission/submission.h"

namespace guavabay {

/// An order to a worker to start or stop a run or to change its pace.
struct worker_order {
    enum class kind : std::uint8_t { start, stop, pace };
    kind m_kind = kind::start;
    worker_id m_worker;
    std::string m_address;
    task_name m_task;
    run_number m_run;
    std::string m_spec;
    std::string m_checkpoint;
    std::string m_ticket;
    std::int64_t m_deadline_ms = 0; ///< For a start: end of the lease, on the worker's clock.
    std::int32_t m_percent = 0;     ///< For a pace order: percent of full speed.
};

/// A request to a worker that renews its lease and returns the state of its runs.
struct hold_request {
    worker_id m_worker;
    std::string m_address;
    std::optional<std::int64_t> m_deadline_ms; ///< On the worker's clock; empty renews nothing.
    std::int64_t m_acked_through = 0;          ///< Ends up to this number need no repetition.
};

} // namespace guavabay
