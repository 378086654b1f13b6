#include "fleet/wave_report.h"

#include <algorithm>

namespace guavabay {

namespace {

/// Interval of texts about a wave's progress.
constexpr milliseconds progress_interval{1000};

/// Machines that wait are explained when this share of the wave's time is left, and at its end.
constexpr double explained_share_left = 0.25;

/// Limit of machines that are explained at a time.
constexpr std::size_t max_explained = 24;

std::string_view to_string(upkeep_phase phase)
{
    switch (phase) {
    case upkeep_phase::waiting:
        return "waiting";
    case upkeep_phase::draining:
        return "draining";
    case upkeep_phase::ordered:
        return "ordered";
    case upkeep_phase::away:
        return "away";
    case upkeep_phase::done:
        return "done";
    }
    return "unknown";
}

std::string_view to_string(machine_state state)
{
    switch (state) {
    case machine_state::up:
        return "up";
    case machine_state::moving:
        return "moving";
    case machine_state::upkeep:
        return "upkeep";
    case machine_state::down:
        return "down";
    }
    return "unknown";
}

bool has_begun(const upkeep_machine& machine)
{
    return machine.m_order_accepted || machine.m_phase == upkeep_phase::done;
}

/// Milliseconds from one moment to another, as text.
std::string elapsed_ms(time_point from, time_point to)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(to - from).count());
}

std::string describe_progress(const upkeep_progress& wave, time_point now)
{
    std::map<upkeep_phase, std::size_t> phases;
    std::size_t begun = 0;
    for (const auto& [id, machine] : wave.m_machines) {
        ++phases[machine.m_phase];
        begun += has_begun(machine) ? 1 : 0;
    }
    std::string text = "wave progress: wave=" + std::to_string(wave.m_wave.m_number) +
                       " begun=" + std::to_string(begun) +
                       " of=" + std::to_string(wave.m_machines.size());
    for (const auto& [phase, count] : phases) {
        text += " " + std::string(to_string(phase)) + "=" + std::to_string(count);
    }
    return text + " left_ms=" + elapsed_ms(now, wave.m_first_seen_at + wave.m_wave.m_duration);
}

std::string describe_machine(const machine_id& id, const upkeep_machine& machine,
                             const fleet_view& fleet, time_point now)
{
    std::string text = "machine has not begun its upkeep: machine=" + id.str() +
                       " phase=" + std::string(to_string(machine.m_phase));
    if (machine.m_phase_since != time_point{}) {
        text += " phase_ms=" + elapsed_ms(machine.m_phase_since, now);
    }
    const auto listing =
        std::find_if(fleet.m_listings.begin(), fleet.m_listings.end(),
                     [&](const machine_listing& candidate) { return candidate.m_machine == id; });
    if (listing == fleet.m_listings.end()) {
        text += " listed=no missing_ms=" + (machine.m_missing_since == time_point{}
                                                ? "0"
                                                : elapsed_ms(machine.m_missing_since, now));
    }
    else {
        text += " listed=" + std::string(to_string(listing->m_state)) +
                " pool=" + listing->m_pool.str() + " worker=" + listing->m_worker.str() +
                " empty=" + (fleet.m_empty_machines.contains(id) ? "yes" : "no");
        const auto pool = fleet.m_loads.find(listing->m_pool);
        if (pool == fleet.m_loads.end()) {
            text += " owner_answered=no";
        }
        else if (const auto load = pool->second.m_machines.find(id);
                 load == pool->second.m_machines.end()) {
            text += " owner_knows=no";
        }
        else {
            text += " runs=" + std::to_string(load->second.m_runs) +
                    " long_running=" + (load->second.m_has_long_running ? "yes" : "no") +
                    " busy_ms=" + std::to_string(load->second.m_busy_time.count());
        }
    }
    const auto move = fleet.m_moves.find(id);
    if (move != fleet.m_moves.end()) {
        text += " moves_to=" + move->second.m_to.str() +
                " move_ms=" + elapsed_ms(move->second.m_since, now);
    }
    if (machine.m_next_order_at > now) {
        text += " next_order_ms=" + elapsed_ms(now, machine.m_next_order_at);
    }
    return text + (machine.m_possibly_ordered ? " possibly_ordered=yes" : "");
}

} // namespace

std::vector<std::string> report_wave(upkeep_progress& wave, const fleet_view& fleet, time_point now)
{
    std::vector<std::string> texts;
    if (is_complete(wave)) {
        return texts;
    }
    if (now >= wave.m_next_progress_report) {
        wave.m_next_progress_report = now + progress_interval;
        texts.push_back(describe_progress(wave, now));
    }
    const double left = to_milliseconds(wave.m_first_seen_at + wave.m_wave.m_duration - now);
    const double threshold =
        explained_share_left * static_cast<double>(wave.m_wave.m_duration.count());
    const std::uint32_t due = (left <= threshold ? 1U : 0U) + (left <= 0 ? 1U : 0U);
    if (wave.m_explanations >= due) {
        return texts;
    }
    wave.m_explanations = due;
    std::size_t explained = 0;
    std::size_t omitted = 0;
    for (const auto& [id, machine] : wave.m_machines) {
        if (has_begun(machine)) {
            continue;
        }
        if (explained == max_explained) {
            ++omitted;
            continue;
        }
        ++explained;
        texts.push_back(describe_machine(id, machine, fleet, now) +
                        " wave=" + std::to_string(wave.m_wave.m_number));
    }
    if (omitted > 0) {
        texts.push_back("more machines have not begun their upkeep: wave=" +
                        std::to_string(wave.m_wave.m_number) +
                        " machines=" + std::to_string(omitted));
    }
    return texts;
}

} // namespace guavabay
