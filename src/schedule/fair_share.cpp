#include "schedule/fair_share.h"

#include <algorithm>

namespace guavabay {

namespace {

constexpr double never = std::numeric_limits<double>::infinity();

/// Work below this amount counts as done, so that rounding adds no further steps.
constexpr double negligible_core_ms = 1e-6;

/// The two parts of the claims' work while it is processed, with their present cores.
struct work_in_progress {
    std::vector<double> m_left;
    std::vector<double> m_cores;
};

/// Divides cores among the claims that have work of a part left. `taken` are the cores that the
/// claims use already. Returns what remains.
double assign_cores(const std::vector<share_claim>& claims, const std::vector<double>& taken,
                    double cores, work_in_progress& part, std::vector<share_demand>& demands)
{
    demands.clear();
    for (std::size_t i = 0; i < claims.size(); ++i) {
        if (part.m_left[i] > 0) {
            const double limit = std::max(0.0, claims[i].m_max_cores - taken[i]);
            demands.push_back({claims[i].m_weight, limit, 0});
        }
    }
    const double rest = divide_fairly(cores, demands);
    std::size_t next = 0;
    for (std::size_t i = 0; i < claims.size(); ++i) {
        part.m_cores[i] = part.m_left[i] > 0 ? demands[next++].m_part : 0;
    }
    return rest;
}

/// Time until the first claim's work of a part is done.
double time_to_next_end(const work_in_progress& part)
{
    double shortest = never;
    for (std::size_t i = 0; i < part.m_left.size(); ++i) {
        if (part.m_left[i] > 0 && part.m_cores[i] > 0) {
            shortest = std::min(shortest, part.m_left[i] / part.m_cores[i]);
        }
    }
    return shortest;
}

void advance(work_in_progress& part, double passed_ms)
{
    for (std::size_t i = 0; i < part.m_left.size(); ++i) {
        part.m_left[i] -= part.m_cores[i] * passed_ms;
        if (part.m_left[i] < negligible_core_ms) {
            part.m_left[i] = 0;
        }
    }
}

} // namespace

double divide_fairly(double amount, std::vector<share_demand>& demands)
{
    double weight = 0;
    for (share_demand& demand : demands) {
        demand.m_part = -1;
        weight += demand.m_weight;
    }
    // Each pass settles the demands whose limit is below their part, which raises the parts of the
    // others. The last pass finds none.
    bool found = true;
    while (found && weight > 0) {
        found = false;
        const double each = std::max(0.0, amount) / weight;
        for (share_demand& demand : demands) {
            if (demand.m_part < 0 && demand.m_limit <= demand.m_weight * each) {
                demand.m_part = demand.m_limit;
                amount -= demand.m_limit;
                weight -= demand.m_weight;
                found = true;
            }
        }
    }
    bool any_unlimited = false;
    const double each = std::max(0.0, amount) / weight;
    for (share_demand& demand : demands) {
        if (demand.m_part < 0) {
            demand.m_part = demand.m_weight * each;
            any_unlimited = true;
        }
    }
    return any_unlimited ? 0 : std::max(0.0, amount);
}

share_finish find_finish(const std::vector<share_claim>& claims, const shared_cores& cores,
                         std::size_t wanted)
{
    const std::size_t count = claims.size();
    work_in_progress guaranteed{std::vector<double>(count), std::vector<double>(count)};
    work_in_progress excess = guaranteed;
    for (std::size_t i = 0; i < count; ++i) {
        guaranteed.m_left[i] = claims[i].m_guaranteed_core_ms;
        excess.m_left[i] = claims[i].m_excess_core_ms;
    }
    const std::vector<double> nothing(count, 0);
    std::vector<share_demand> demands;
    share_finish finish;
    double now_ms = 0;
    while (guaranteed.m_left[wanted] > 0 || excess.m_left[wanted] > 0) {
        const bool joined = now_ms >= cores.m_join_ms;
        const double present = cores.m_cores + (joined ? cores.m_joining_cores : 0);
        const double rest = assign_cores(claims, nothing, present, guaranteed, demands);
        assign_cores(claims, guaranteed.m_cores, rest, excess, demands);
        double step = std::min(time_to_next_end(guaranteed), time_to_next_end(excess));
        if (!joined && cores.m_joining_cores > 0) {
            step = std::min(step, cores.m_join_ms - now_ms);
        }
        now_ms += step;
        finish.m_guaranteed_ms = guaranteed.m_left[wanted] > 0 ? now_ms : finish.m_guaranteed_ms;
        finish.m_excess_ms = excess.m_left[wanted] > 0 ? now_ms : finish.m_excess_ms;
        if (step == never) {
            break;
        }
        advance(guaranteed, step);
        advance(excess, step);
    }
    return finish;
}

} // namespace guavabay
