#pragma once

#include <map>
#include <set>
#include <vector>

#include "core/time.h"
#include "fleet/pool_moves.h"
#include "worker/machine.h"

namespace guavabay {

/// Phase of the upkeep (planned maintenance) of one machine.
enum class upkeep_phase : std::uint8_t {
    waiting,  ///< Works as usual; its turn has not come.
    draining, ///< Accepts no new work and its runs are being moved away.
    ordered,  ///< The upkeep order was sent and may be carried out; no answer is known yet.
    away,     ///< Is down for an upkeep, which may be that of another wave.
    done,     ///< Is back from its upkeep, has left, or its order was refused for good.
};

/// State of one machine of a wave.
struct upkeep_machine {
    upkeep_phase m_phase = upkeep_phase::waiting;
    time_point m_phase_since{};    ///< Start of the phase.
    bool m_order_accepted = false; ///< The platform accepted its upkeep order.
    /// A former controller may have sent its order, so the machine counts as away.
    bool m_possibly_ordered = false;
    bool m_unanswered = false;    ///< An order got no answer and may be carried out late.
    bool m_down = false;          ///< It was listed as down for an upkeep, of whichever wave.
    time_point m_next_order_at{}; ///< Earliest time at which the order is sent again.
    time_point m_missing_since{}; ///< Start of its absence from the list; the epoch when listed.
    std::uint32_t m_refusals = 0; ///< Refused orders; nothing counts them yet.
    bool m_delay_logged = false;  ///< The log line about its slow drain was written.
};

/// The platform's answer to an upkeep order, which names its wave.
enum class upkeep_answer : std::uint8_t {
    accepted, ///< The machine is down for this wave, or has been.
    busy,     ///< It has not been down for this wave, and cannot go down now.
    refused,  ///< It never goes down for this wave: it does not belong to it.
    not_done, ///< The order was not carried out; nothing is known of earlier ones.
    unknown,  ///< There was no answer; the order may have been or may still be carried out.
};

/// Progress of one wave as the machine controller in charge knows it.
struct upkeep_progress {
    upkeep_wave m_wave;
    time_point m_first_seen_at{};        ///< Time at which this controller first read the wave.
    bool m_succeeded = false;            ///< Every machine that stays has begun its upkeep.
    bool m_status_written = false;       ///< The progress was stored at least once.
    time_point m_next_progress_report{}; ///< Earliest next log line about the progress.
    std::uint32_t m_explanations = 0;    ///< Times that the machines that wait were logged.
    std::map<machine_id, upkeep_machine> m_machines;
};

/// Updates the phases from a list of machines: which are down, which are back and which have left
/// the fleet. A machine counts as back no sooner than `upkeep_time` after it was seen down. The
/// list does not tell for which wave a machine is down: only the answer to an order does.
void update_wave(upkeep_progress& wave, const std::vector<machine_listing>& listings,
                 milliseconds upkeep_time, time_point now);

/// Applies the answer to an upkeep order. The order is sent again no sooner than `retry_at`.
void apply_upkeep_answer(upkeep_machine& machine, upkeep_answer answer, time_point retry_at,
                         time_point now);

/// Selects further machines to drain and returns all machines that must accept no new work, by
/// pool; a listed pool without such machines has an empty entry. Machines without long-running
/// tasks go first, so that these tasks have time to leave the others, then those that their pools
/// do not need. While all pools need their machines, the wave takes only as many at a time as it
/// has to for its deadline.
std::map<service_id, std::vector<machine_id>>
select_machines_to_drain(upkeep_progress& wave, const std::vector<machine_listing>& listings,
                         const std::map<service_id, pool_load>& loads, milliseconds upkeep_time,
                         time_point now);

/// Returns the machines to send an upkeep order for now: draining ones that are in
/// `empty_machines`, as far as the wave's limit of machines away at a time allows, and those whose
/// order is unanswered, also while they are down.
std::vector<machine_id> select_machines_to_order(const upkeep_progress& wave,
                                                 const std::set<machine_id>& empty_machines,
                                                 time_point now);

/// Returns whether every machine of the wave has begun its upkeep or is done.
bool is_complete(const upkeep_progress& wave);

/// Returns whether the machines that remain may need more time than is safe before the wave's
/// deadline. `upkeep_time` is how long one machine is down.
bool is_deadline_at_risk(const upkeep_progress& wave, milliseconds upkeep_time, time_point now);

} // namespace guavabay
