#pragma once

#include <cstddef>
#include <limits>
#include <vector>

namespace guavabay {

/// Work of an organisation that waits for capacity, in core-milliseconds. The guaranteed part was
/// sent within the organisation's rate; the excess part gets only what no guaranteed work can use.
struct share_claim {
    double m_weight = 1; ///< Above zero; shares are in proportion to it.
    double m_max_cores = std::numeric_limits<double>::infinity(); ///< Limit of both parts together.
    double m_guaranteed_core_ms = 0;
    double m_excess_core_ms = 0;
};

/// When the parts of a claim are done, in milliseconds from now; infinite if never, zero for an
/// empty part.
struct share_finish {
    double m_guaranteed_ms = 0;
    double m_excess_ms = 0;
};

/// Cores that are divided: those of now, and those that join them later.
struct shared_cores {
    double m_cores = 0;
    double m_joining_cores = 0;
    double m_join_ms = 0; ///< When they join, in milliseconds from now.
};

/// An amount that wants a part of what is divided, up to a limit.
struct share_demand {
    double m_weight = 1; ///< Above zero.
    double m_limit = std::numeric_limits<double>::infinity();
    double m_part = 0; ///< Result.
};

/// Divides an amount in proportion to the weights; what a demand cannot use because of its limit is
/// divided among the others (weighted max-min fairness). Returns what nobody can use.
double divide_fairly(double amount, std::vector<share_demand>& demands);

/// Computes when the work of one claim is done if the cores are divided fairly among all claims at
/// each moment. A claim without work frees its part, and so does one that reaches its limit.
share_finish find_finish(const std::vector<share_claim>& claims, const shared_cores& cores,
                         std::size_t wanted);

} // namespace guavabay
