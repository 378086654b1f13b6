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

/// How long a process remembers an idempotency key.
inline constexpr seconds key_retention{600};

/// How long after its claim a request may still be written to an endpoint.
inline constexpr seconds claim_validity{5};

/// A key that this process keeps, as its owner or as the second process.
struct kept_key {
    key_record m_record;
    time_point m_kept_at{};
    bool m_copied = false; ///< The second process keeps it too.
    host_id m_claimant;    ///< Entry host that waits for the verdict.
    time_point m_next_copy{};
};

/// A claim of this process without a verdict.
struct pending_claim {
    key_record m_record;
    time_point m_first_sent{};
    time_point m_deadline{};
    time_point m_next_send{};
};

/// The end of a request under a key, sent until both keepers have confirmed it.
struct pending_finish {
    key_record m_record;
    std::set<host_id> m_confirmed;
    time_point m_until{};
    time_point m_next_send{};
};

/// The members of an earlier epoch, some of which have not handed their keys over yet.
struct unsettled_epoch {
    epoch_record m_epoch;         ///< The epoch whose members are asked.
    std::set<host_id> m_received; ///< Members that handed their keys over.
    time_point m_until{};         ///< When all keys of that epoch are forgotten anyway.
};

/// The idempotency keys that this process decides on, keeps or waits for.
struct key_ledger {
    epoch_record m_epoch; ///< Number zero until an epoch is known.
    std::unordered_map<std::uint64_t, kept_key> m_entries;
    std::map<request_id, pending_claim> m_claims;
    std::map<request_id, pending_finish> m_completions;
    std::vector<unsettled_epoch> m_unsettled;
    std::set<epoch> m_settled; ///< Earlier epochs about which nothing is missing.
    time_point m_next_transfer_ask{};
    time_point m_next_sweep{};
};

/// What the ledger needs to know of its process.
struct ledger_context {
    host_id m_self;
    incarnation m_incarnation;
    time_point m_now{};
    bool m_epoch_valid = false; ///< The epoch can be trusted not to have been replaced.
    std::function<bool(std::uint64_t origin)> m_is_origin_alive;
};

/// The verdict on a claim of this process.
struct claim_verdict {
    request_id m_request;
    std::optional<error_kind> m_kind;
    std::uint32_t m_http_status = 0;
    time_point m_valid_until{};
};

/// What a ledger decides: messages to send and verdicts for the request path.
struct ledger_output {
    std::vector<std::pair<host_id, peer_message>> m_sends;
    std::vector<claim_verdict> m_verdicts;
};

/// The two processes that keep a key in an epoch: its owner, and one in another availability zone
/// where there is one. The second is empty in an epoch of one member.
struct key_keepers {
    host_id m_owner;
    host_id m_second;
};

/// Finds the keepers of a key.
key_keepers keepers_of(const epoch_record& members, std::uint64_t key_hash);

/// Moves the ledger to a newer epoch; an older one is ignored.
void enter_epoch(key_ledger& ledger, const epoch_record& next, const ledger_context& context);

/// Starts a claim for a request of this process.
void claim_key(key_ledger& ledger, const key_record& record, duration allowed,
               const ledger_context& context, ledger_output& out);

/// Notes how a request of this process under a key ended, and tells the keepers until they know.
void complete_key(key_ledger& ledger, const key_record& record, const ledger_context& context,
                ledger_output& out);

/// Decides on a claim of any process.
void on_key_claim(key_ledger& ledger, const host_id& from, const key_claim_message& claim,
                  const ledger_context& context, ledger_output& out);

/// Keeps a copy of a key, or the end of a request under it.
void on_key_copy(key_ledger& ledger, const host_id& from, const key_copy_message& copy,
                 const ledger_context& context, ledger_output& out);

/// Lets a claim go once the second process keeps the key.
void on_key_copied(key_ledger& ledger, const host_id& from, const key_copied_message& copied,
                   ledger_output& out);

/// Passes a verdict on to the request that waits for it.
void on_key_verdict(key_ledger& ledger, const key_verdict_message& verdict, ledger_output& out);

/// Hands keys over to a process that keeps them in the new epoch.
void on_key_transfer_ask(key_ledger& ledger, const host_id& from,
                         const key_transfer_ask_message& ask, const ledger_context& context,
                         ledger_output& out);

/// Takes keys over from a process that kept them before.
void on_key_transfer(key_ledger& ledger, const host_id& from, const key_transfer_message& transfer,
                     const ledger_context& context);

/// Repeats what has no answer, forgets what is old and fails what has waited too long.
void on_ledger_tick(key_ledger& ledger, const ledger_context& context, ledger_output& out);

} // namespace guavabay
