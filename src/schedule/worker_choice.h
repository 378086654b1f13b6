#pragma once

#include "schedule/shard_steps.h"

// Choice of a worker for a task. Internal to the schedule package.
namespace guavabay {

/// A worker that accepts starts, with its free capacity in the current planning pass.
struct candidate_worker {
    resources m_free;
    worker_record* m_worker = nullptr;
    resources m_room{}; ///< Free capacity once all runs that will end have ended; see m_has_rooms.
};

/// A worker that is kept for a task which fits on none now.
struct reserved_worker {
    candidate_worker m_candidate;
    time_point m_until{}; ///< When the task is expected to have room there.
};

/// Expected releases of capacity at a place in the current planning pass, less what work that ranks
/// higher and waits for the place will take.
struct place_forecast {
    std::vector<worker_record*> m_workers; ///< In the order of the outlook.
    place_outlook m_outlook;
    std::vector<resources> m_reserved; ///< Per worker, when its outlook was made.
    std::vector<std::vector<expected_booking>> m_bookings; ///< Per worker.
};

/// Workers that accept starts, collected once per planning pass. Free capacity only shrinks during
/// a pass, so a demand that fitted on no worker is not tried again.
struct candidate_workers {
    std::vector<candidate_worker> m_workers;
    std::vector<reserved_worker> m_reserved; ///< No longer among m_workers.
    std::vector<resources> m_unplaceable;    ///< Demands that fit on no worker.
    std::size_t m_max_reserved = 0;          ///< Limit of reserved workers in this pass.
    std::size_t m_starts_left = 0;           ///< Orders that may still be given in this pass.
    std::size_t m_runs_left = 0;             ///< Runs that the limit of all runs leaves.
    bool m_has_runs = false;                 ///< A worker had a run when the pass began.
    bool m_has_rooms = false; ///< The rooms of the candidates are known, from the first reservation
                              ///< in the pass on.
    std::map<std::string, place_forecast> m_places; ///< By rack; only those that tasks wait for.
    std::optional<double> m_use_share; ///< Share of the pool's cores in use; set when needed.
};

/// A task to place, with its constraints and the resources that a start reserves.
struct placement_request {
    submission_record* m_record = nullptr;
    const submission_step* m_step = nullptr;
    task_name m_name;
    const scheduled_task* m_task = nullptr;
    resources m_demand;                  ///< Resources to reserve on the worker.
    milliseconds m_expected_duration{0}; ///< At the place where it runs fastest.
    double m_place_factor = 1;           ///< Slow-down at the place that was chosen.
    bool m_avoids_upkeep = false;        ///< Excludes workers with upkeep due.
    bool m_needs_ticket = false;         ///< Requires a ticket of the advice service.
};

/// Collects the workers that accept starts now and whose runs all have known demands.
candidate_workers find_candidate_workers(shard& state, time_point now);

/// Builds the placement request of a task. Tasks that use idle cores reserve no cores.
placement_request make_placement_request(const shard& state, submission_record& record,
                                         const task_name& name, const scheduled_task& task);

/// Chooses the worker with the lowest placement cost that has capacity for the task and meets its
/// constraints; null when there is none. An empty `required_rack` admits all racks. The caller
/// reduces the free capacity of the result if it starts the task there.
candidate_worker* choose_worker(shard& state, candidate_workers& candidates,
                                const placement_request& request, const std::string& required_rack,
                                time_point now);

/// Checks upkeep, the required label and the limit of tasks per worker.
bool satisfies_constraints(const worker_record& worker, const placement_request& request);

/// The worker that a task gets now. Null if it fits on none, or if it waits for its place.
struct placement_choice {
    candidate_worker* m_worker = nullptr;
    bool m_waits = false;       ///< It waits for the rack of its data; another has room.
    bool m_is_reserved = false; ///< The worker is reserved for another task.
};

/// Chooses the worker for a task that starts on its own, or decides that it waits for the rack of
/// its data.
placement_choice choose_placement(shard& state, candidate_workers& candidates,
                                  placement_request& request, time_point now);

/// Reserves a worker for a task that fits on none now, so that smaller tasks later in the pass
/// don't fill it: the one with most free cores among the workers on which the task will fit once
/// the runs that are not long-running have ended. False when there is none, or when the limit of
/// reserved workers is reached. An empty `required_rack` admits all racks.
bool reserve_worker(const shard& state, candidate_workers& candidates,
                    const placement_request& request, const std::string& required_rack,
                    time_point now);

/// Chooses a reserved worker for a task that fits on no other: one that the task is expected to
/// have left before the room there suffices for the task that it is reserved for. A reservation
/// delays no long-running task for more than two seconds, and no other task when most of the pool
/// has been idle for that long. Null when there is none. An empty `required_rack` admits all racks.
candidate_worker* choose_reserved_worker(const shard& state, candidate_workers& candidates,
                                         const placement_request& request,
                                         const std::string& required_rack, time_point now);

} // namespace guavabay
