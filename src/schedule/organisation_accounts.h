#pragma once

#include <cstdint>
#include <limits>
#include <string>

#include "contract/organisation.h"
#include "core/time.h"

namespace guavabay {

struct shard;
struct submission_record;

/// Numbers of submissions of an organisation, for the metrics.
struct organisation_counts {
    std::uint64_t m_accepted = 0;
    std::uint64_t m_refused = 0; ///< Refusals, repeated ones included.
    std::uint64_t m_on_time = 0; ///< Succeeded by their objective.
};

/// What the owner of a shard knows about an organisation besides its terms. All public work
/// together has an account under the empty id. A new owner starts with new accounts.
struct organisation_account {
    double m_weight = 1;
    double m_max_cores = std::numeric_limits<double>::infinity(); ///< By its cap.
    /// Submissions that it may have accepted within its rate: a bucket that is filled with as many
    /// a second as its weight.
    double m_tokens = 0;
    time_point m_filled_at{}; ///< When tokens were last added; zero for a new account.
    organisation_counts m_counts;
    std::uint64_t m_pass = 0; ///< The pass over the open submissions that gave it its slot.
    std::size_t m_slot = 0;
    bool m_is_public = false;
};

/// The account of an open submission's organisation, created when it is first needed.
organisation_account& account_of(shard& state, submission_record& record);

/// Begins a pass over the open submissions, in which organisations get slots from 0 on.
void begin_pass(shard& state);

/// The slot of an account in the present pass: `next`, the number of slots given so far, if it has
/// none.
std::size_t slot_of(const shard& state, organisation_account& account, std::size_t next);

/// Updates weights and limits after the terms have changed, and removes the accounts of
/// organisations that have no terms any more.
void update_accounts(shard& state);

/// True if the next submission of an organisation is beyond its rate. Public work has no rate.
bool is_beyond_rate(organisation_account& account, time_point now);

/// Takes a token for an accepted submission that is within its organisation's rate.
void take_token(organisation_account& account);

/// Counts a submission that succeeds now, if there are organisations.
void count_success(shard& state, submission_record& record, wall_time wall);

/// The metrics of the organisations with the largest weights, and of all others together; empty if
/// there are no organisations.
std::string format_organisation_metrics(const shard& state);

} // namespace guavabay
