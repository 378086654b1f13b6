#pragma once

#include "core/time.h"
#include "submission/submission.h"

namespace guavabay {

/// What an owner knows about calls that were meant for former incarnations of a worker. A worker
/// that restarts under its id cannot tell such a call from one that is meant for it. The call's
/// deadline is by the clock of the former incarnation, so that it may give all runs the longest
/// lease that the worker grants, and its acknowledgement may cover ends that nobody has seen.
///
/// After a restart the owner therefore calls the worker with a higher fencing token. From the first
/// answer to a hold with that token the worker refuses all older calls, and the leases that these
/// have given end within the longest time that the worker grants. Then the incarnation is settled:
/// its lease is no longer than the owners' own grants.
struct incarnation_guard {
    fencing_token m_token;        ///< For calls to the worker; zero while the owner's own is used.
    bool m_token_pending = false; ///< The token of the present incarnation is not known yet.
    bool m_complete = true;       ///< The worker refuses calls for its former incarnations.
    time_point m_token_used_at{}; ///< When the first hold with the token was prepared.
    std::int64_t m_settled_start_ms = 0; ///< Start (Unix time) of the settled incarnation; zero if
                                         ///< there is none.
    time_point m_settles_at{}; ///< When the present incarnation will be settled; zero if unknown.
};

/// Notes that the worker has started a new incarnation.
void begin_guard(incarnation_guard& guard);

/// Notes the token for calls to the present incarnation. A lower token than before is ignored.
void set_guard_token(incarnation_guard& guard, fencing_token token);

/// Notes that a hold with the present token is about to be sent.
void note_hold_prepared(incarnation_guard& guard, time_point now);

/// Notes the answer of an incarnation, given by its start (Unix time, in milliseconds), to a hold
/// that was sent at the moment `sent`. `longest_lease` is the longest real time of a lease. Returns
/// true if calls for former incarnations may have lengthened the lease up to this answer.
bool note_answer(incarnation_guard& guard, std::int64_t start_ms, time_point sent, time_point now,
                 duration longest_lease);

/// Settles an incarnation whose time has come; true if this call has settled it.
bool settle(incarnation_guard& guard, std::int64_t start_ms, time_point now);

} // namespace guavabay
