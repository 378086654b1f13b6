#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/resources.h"
#include "submission/submission.h"

namespace guavabay {

/// Names a machine; it keeps the name over all lives of its worker processes.
using machine_id = string_id<struct machine_tag>;

/// What the platform's list says of one worker.
struct worker_listing {
    worker_id m_id;
    std::string m_address; ///< IP number and port.
    service_id m_service;  ///< The service whose tasks it runs, which is its pool.
    zone_id m_zone;
    machine_id m_machine; ///< Empty where the list does not tell.
    std::string m_kind;   ///< First label.
    rack_id m_rack;       ///< Second label.
    std::vector<std::string> m_labels;
    resources m_capacity;
    bool m_draining = false;
    std::int64_t m_remaining_ms = 0; ///< Least time left to a draining worker.
    std::int64_t m_instance_start_ms =
        0;                              ///< Unix time of the start of this life; zero if not told.
    std::int64_t m_warm_up_left_ms = 0; ///< How much longer it is slow after its start.
};

/// A run that a worker has under way.
struct reported_run {
    task_name m_task;
    run_number m_run;
    std::string m_checkpoint;
    std::int32_t m_percent = 0; ///< Of a lasting task: 100 while it is at work.
    std::int64_t m_load = 0;    ///< Tail in milliseconds of a serving task, else cores in use.
};

/// How a run ended.
enum class run_end : std::uint8_t {
    done,
    failed,          ///< By its own or the worker's fault.
    stopped,         ///< On order.
    lease_ended,     ///< Its lease ended.
    gang_broken,     ///< Another member of its gang ended.
    gang_incomplete, ///< The other members of its gang did not come.
};

/// A run that ended on a worker and has not been acknowledged.
struct reported_end {
    std::int64_t m_number = 0; ///< Counts the ends of one life of the worker from 1.
    task_name m_task;
    run_number m_run;
    run_end m_outcome = run_end::done;
    std::string m_checkpoint;
};

/// What a worker answers when it is asked for its runs.
struct worker_report {
    std::int64_t m_clock_ms = 0; ///< The worker's own clock.
    std::int64_t m_instance_start_ms =
        0; ///< Unix time of the start of this life; zero if not told.
    std::vector<reported_run> m_running;
    std::vector<reported_end> m_ended;
};

/// How a worker answered an order.
enum class order_outcome : std::uint8_t {
    accepted,
    refused_stale_token, ///< Another holder has used a higher token.
    refused_stale_run,   ///< The run is not newer than one that was stopped or ended there.
    refused_lease_ended, ///< The lease that the order carried had ended.
    refused_no_capacity,
    refused_ticket,
    refused_busy, ///< The worker is not well; it did nothing.
    refused_invalid,
    other_instance, ///< Another process answers at the address.
    not_sent,       ///< No connection; the worker has not seen the order.
    unknown,        ///< No answer; the order may be carried out, also later.
};

} // namespace guavabay
