#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/records.h"
#include "core/error_kind.h"
#include "core/time.h"
#include "peer/message.h"

namespace guavabay {

/// How long a process keeps an idempotency key.
inline constexpr seconds key_retention{600};

/// How long after its claim was first sent a request may still be written to an endpoint.
inline constexpr seconds claim_validity{5};

/// An idempotency key that this process stores, either as its owner, which decides on claims, or as
/// the secondary, which holds a copy.
struct key_entry {
    key_record m_record;
    time_point m_stored_at{};    ///< Start of the retention.
    bool m_replicated = false;   ///< At the owner: the secondary has stored it too.
    host_id m_claiming_host;     ///< Entry host that waits for the verdict.
    time_point m_next_copy_at{}; ///< When the copy to the secondary is due again.
};

/// A claim that this process has sent to the owner of the key and that has no verdict yet.
struct pending_claim {
    key_record m_record;
    time_point m_first_sent_at{}; ///< Start of the validity of a granted claim.
    time_point m_deadline{};      ///< When the claim fails without a verdict.
    time_point m_next_send_at{};
};

/// The final state of a request under a key, sent again until both replicas have confirmed it or
/// the key has expired.
struct pending_completion {
    key_record m_record;
    std::set<host_id> m_confirmed; ///< Replicas that have stored it.
    time_point m_expires_at{};
    time_point m_next_send_at{};
};

/// The handover of the keys of an earlier epoch. Until it is complete, a key may have been used in
/// that epoch without this process knowing.
struct key_handover {
    epoch_record m_epoch;         ///< The earlier epoch: its number and members.
    std::set<host_id> m_received; ///< Members that have handed their keys over.
    time_point m_expires_at{};    ///< When all keys of that epoch have expired.
};

/// State of the idempotency keys of one process: keys that it stores as a replica, its own claims
/// and completions, and handovers from earlier epochs. It ensures that at most one request runs
/// under a key while the key is retained.
struct key_ledger {
    epoch_record m_epoch; ///< Number zero until an epoch is known.
    std::unordered_map<std::uint64_t, key_entry> m_entries; ///< By hash of the key.
    std::map<request_id, pending_claim> m_claims;
    std::map<request_id, pending_completion> m_completions;
    std::vector<key_handover> m_pending_handovers;
    std::set<epoch> m_completed_handovers; ///< Epochs whose handover is complete or has expired.
    time_point m_next_transfer_request_at{};
    time_point m_next_expiry_at{};
};

/// What the ledger needs to know about its process at the time of a call.
struct ledger_context {
    host_id m_self;
    incarnation m_incarnation;
    time_point m_now{};
    bool m_epoch_valid = false; ///< The ledger's epoch cannot have been replaced yet.
    /// Returns true when the process that the origin part of a request id names still runs.
    std::function<bool(std::uint64_t origin)> m_is_origin_alive;
};

/// The verdict on a claim of this process.
struct claim_verdict {
    request_id m_request;
    std::optional<error_kind> m_kind; ///< Reason of the refusal; empty when the request may run.
    std::uint32_t m_http_status = 0; ///< Status of the answer of the first request when it is done.
    time_point m_valid_until{}; ///< Until when a granted request may be written to an endpoint.
};

/// Results of the functions below, which append to it: messages, each with the host that receives
/// it, and verdicts for the requests of this process.
struct ledger_output {
    std::vector<std::pair<host_id, peer_message>> m_sends;
    std::vector<claim_verdict> m_verdicts;
};

/// The two processes that store a key in an epoch: the owner, and a secondary in another
/// availability zone if there is one. The secondary is empty in an epoch of one member, and both
/// are empty in an epoch without members.
struct key_replicas {
    host_id m_owner;
    host_id m_secondary;
};

/// Chooses the replicas of a key among the members of an epoch by rendezvous hashing, so that every
/// process arrives at the same pair.
key_replicas find_key_replicas(const epoch_record& members, std::uint64_t key_hash);

/// Moves the ledger to a newer epoch and starts the handover of the previous members' keys. An
/// epoch that is not newer is ignored.
void enter_epoch(key_ledger& ledger, const epoch_record& next, const ledger_context& context);

/// Starts a claim for a request of this process. Without a verdict within the timeout the claim
/// fails with owner_unreachable.
void claim_key(key_ledger& ledger, const key_record& record, duration timeout,
               const ledger_context& context, ledger_output& out);

/// Records the final state of a request of this process, and sends it to the replicas of its key
/// until both have confirmed it.
void complete_key(key_ledger& ledger, const key_record& record, const ledger_context& context,
                  ledger_output& out);

/// Handles a claim as the owner of the key. A refusal is answered at once; a claim that may run is
/// granted once the secondary has stored it, so that the loss of one replica does not lose the key.
/// Claims of another epoch, or for a key of another owner, are ignored.
void on_key_claim(key_ledger& ledger, const host_id& from, const key_claim_message& claim,
                  const ledger_context& context, ledger_output& out);

/// Stores a copy of a claim, or the final state of a request, and confirms whether it is stored.
/// Messages of another epoch are ignored.
void on_key_copy(key_ledger& ledger, const host_id& from, const key_copy_message& copy,
                 const ledger_context& context, ledger_output& out);

/// Handles the confirmation of a replica: grants the claim whose copy the secondary has stored, or
/// ends a completion that both replicas have confirmed. A copy that the secondary rejected refuses
/// the claim with past_unknown.
void on_key_copied(key_ledger& ledger, const host_id& from, const key_copied_message& copied,
                   ledger_output& out);

/// Delivers a verdict to the claim that waits for it; a verdict without a pending claim is ignored.
void on_key_verdict(key_ledger& ledger, const key_verdict_message& verdict, ledger_output& out);

/// Sends the sender all stored keys of which it is a replica in the current epoch, and the
/// handovers that this process still awaits.
void on_key_transfer_ask(key_ledger& ledger, const host_id& from,
                         const key_transfer_ask_message& ask, const ledger_context& context,
                         ledger_output& out);

/// Stores the keys that a member of an earlier epoch hands over, and adopts the handovers that it
/// still awaits itself.
void on_key_transfer(key_ledger& ledger, const host_id& from, const key_transfer_message& transfer,
                     const ledger_context& context);

/// Periodic work: sends unanswered messages again, fails claims past their deadline, and removes
/// expired keys, completions and handovers.
void on_ledger_tick(key_ledger& ledger, const ledger_context& context, ledger_output& out);

} // namespace guavabay
