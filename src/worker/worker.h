#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/resources.h"
#include "submission/submission.h"

namespace guavabay {

/// Identifies a machine. The id stays the same when its worker process restarts.
using machine_id = string_id<struct machine_tag>;

/// Registration of one worker in the platform's store.
struct worker_listing {
    worker_id m_id;
    std::string m_address; ///< IP address and port.
    service_id m_service;  ///< Service whose tasks the worker runs; it is also the worker's pool.
    zone_id m_zone;
    machine_id m_machine; ///< Machine of the worker; empty if the registration does not name it.
    std::string m_kind;   ///< First label: the kind of machine.
    rack_id m_rack;       ///< Last label.
    std::vector<std::string> m_labels;
    resources m_capacity;
    bool m_draining = false;
    std::int64_t m_remaining_ms = 0;         ///< Minimum time that a draining worker still has.
    std::int64_t m_incarnation_start_ms = 0; ///< Unix time of its start; zero if unknown.
    std::int64_t m_warm_up_left_ms = 0;      ///< Time for which the worker is still slow.
};

/// A run in progress on a worker.
struct reported_run {
    task_name m_task;
    run_number m_run;
    std::string m_checkpoint;   ///< Last checkpoint; empty if there is none.
    std::int32_t m_percent = 0; ///< Progress; 100 for a long-running task that is in service.
    std::int64_t m_load = 0;    ///< Tail latency (ms) of a serving task, else cores in use.
};

/// Reason why a run ended.
enum class run_end : std::uint8_t {
    done,
    failed,          ///< The task or the worker failed.
    stopped,         ///< The run was stopped on order.
    lease_ended,     ///< The lease of the run ended.
    gang_broken,     ///< Another member of the run's gang ended.
    gang_incomplete, ///< The other members of the run's gang did not start.
};

/// An ended run that the worker reports until it is acknowledged.
struct reported_end {
    std::int64_t m_number = 0; ///< Sequence number of ended runs, from 1 in each incarnation.
    task_name m_task;
    run_number m_run;
    run_end m_outcome = run_end::done;
    std::string m_checkpoint; ///< Last checkpoint; empty if there is none.
};

/// A worker's answer to a hold request: its current runs, and the ended ones not yet acknowledged.
struct worker_report {
    std::int64_t m_clock_ms = 0;             ///< Time on the worker's clock.
    std::int64_t m_incarnation_start_ms = 0; ///< Unix time of its start; zero if unknown.
    std::vector<reported_run> m_running;
    std::vector<reported_end> m_ended;
};

/// Outcome of an order that was sent to a worker.
enum class order_outcome : std::uint8_t {
    accepted,            ///< The order was carried out.
    refused_stale_token, ///< Another owner has used a higher fencing token.
    refused_stale_run,   ///< The run is not newer than one that was stopped or ended on the worker.
    refused_lease_ended, ///< The lease in the order had already ended.
    refused_no_capacity, ///< The worker has no room for the run.
    refused_ticket,      ///< The ticket of the advice service is missing or not valid.
    refused_busy,        ///< The worker is overloaded or unavailable; it did nothing.
    refused_invalid,     ///< The order was malformed.
    other_incarnation,   ///< Another incarnation answers at the address.
    not_sent,            ///< No connection; the worker has not received the order.
    unknown,             ///< No answer; the order may have been or may still be carried out.
    withheld,            ///< Not sent, because another owner may own the shard by now.
};

} // namespace guavabay
