#include "ledger/key_ledger.h"

#include <algorithm>

#include "membership/member_table.h"

namespace guavabay {

namespace {

constexpr milliseconds claim_resend_interval{50};
constexpr milliseconds completion_resend_interval{500};
constexpr milliseconds transfer_request_interval{200};
constexpr seconds expiry_interval{1};        ///< Expired entries are removed this often.
constexpr std::size_t max_entries = 100'000; ///< Further claims are refused as overloaded.
constexpr std::size_t records_per_transfer = 2000;

/// Sends the owner's verdict on a claim; an empty kind grants it.
void send_verdict(const host_id& to, const key_record& record, epoch number,
                  std::optional<error_kind> kind, std::uint32_t status, ledger_output& out)
{
    out.m_sends.emplace_back(to, key_verdict_message{record.m_request, number, kind, status});
}

/// Sends a claim to the secondary of its key.
void send_copy(key_entry& entry, const key_ledger& ledger, const host_id& secondary, time_point now,
               ledger_output& out)
{
    entry.m_next_copy_at = now + claim_resend_interval;
    out.m_sends.emplace_back(secondary, key_copy_message{ledger.m_epoch.m_number, entry.m_record});
}

/// Returns true when a request may have run under a key in an earlier epoch without this process
/// knowing: neither replica of the key in that epoch has handed its keys over.
bool is_history_unknown(const key_ledger& ledger, std::uint64_t key_hash, time_point now)
{
    for (const key_handover& earlier : ledger.m_pending_handovers) {
        const key_replicas replicas = find_key_replicas(earlier.m_epoch, key_hash);
        const bool received = earlier.m_received.contains(replicas.m_owner) ||
                              earlier.m_received.contains(replicas.m_secondary);
        if (now < earlier.m_expires_at && !received) {
            return true;
        }
    }
    return false;
}

/// Returns why another request may not run under a stored key, or nothing when it may. The end of a
/// request whose process is gone will never be reported, so its outcome counts as unknown.
std::optional<error_kind> find_duplicate_refusal(const key_record& known, const key_record& claim,
                                                 const ledger_context& context)
{
    if (known.m_fingerprint != claim.m_fingerprint) {
        return error_kind::key_reused;
    }
    switch (known.m_state) {
    case key_state::not_run:
        return std::nullopt;
    case key_state::done:
        return error_kind::duplicate_done;
    case key_state::unknown:
        return error_kind::past_unknown;
    case key_state::claimed:
    case key_state::running:
        break;
    }
    const bool alive = context.m_is_origin_alive(known.m_request.m_origin);
    return alive ? error_kind::duplicate_running : error_kind::past_unknown;
}

/// Sends a claim to the owner of its key, or only schedules it while no epoch is known.
void send_claim(pending_claim& claim, const key_ledger& ledger, time_point now, ledger_output& out)
{
    claim.m_next_send_at = now + claim_resend_interval;
    if (ledger.m_epoch.m_number == epoch{}) {
        return;
    }
    const key_replicas replicas = find_key_replicas(ledger.m_epoch, claim.m_record.m_key_hash);
    out.m_sends.emplace_back(replicas.m_owner,
                             key_claim_message{ledger.m_epoch.m_number, claim.m_record});
}

/// Sends a completion to the replicas that have not confirmed it.
void send_completion(pending_completion& completion, const key_ledger& ledger, time_point now,
                     ledger_output& out)
{
    completion.m_next_send_at = now + completion_resend_interval;
    const key_replicas replicas = find_key_replicas(ledger.m_epoch, completion.m_record.m_key_hash);
    for (const host_id& replica : {replicas.m_owner, replicas.m_secondary}) {
        if (!replica.empty() && !completion.m_confirmed.contains(replica)) {
            out.m_sends.emplace_back(
                replica, key_copy_message{ledger.m_epoch.m_number, completion.m_record});
        }
    }
}

/// Stores a record unless the key has a later one: a state of the same request never goes back to
/// an earlier one, and a record of another request is replaced only when that request did not run.
void merge_record(key_ledger& ledger, const key_record& record, time_point now)
{
    const auto [it, added] = ledger.m_entries.try_emplace(record.m_key_hash);
    key_entry& entry = it->second;
    if (added) {
        entry.m_record = record;
        entry.m_stored_at = now;
        return;
    }
    const bool same_request = entry.m_record.m_request == record.m_request;
    const bool replaced = !same_request && entry.m_record.m_state == key_state::not_run;
    if (replaced || (same_request && record.m_state > entry.m_record.m_state)) {
        entry.m_record = record;
    }
}

/// Returns true when at most one member of the epoch has not handed its keys over. In an epoch of
/// several members a key has two replicas, so at least one of them has.
bool is_complete(const key_handover& earlier)
{
    const std::size_t members = earlier.m_epoch.m_members.size();
    const std::size_t missing = members - earlier.m_received.size();
    return missing == 0 || (missing == 1 && members > 1);
}

/// Removes handovers that are complete or expired and remembers their epochs.
void remove_completed_handovers(key_ledger& ledger, time_point now)
{
    std::erase_if(ledger.m_pending_handovers, [&ledger, now](const key_handover& earlier) {
        const bool removed = is_complete(earlier) || now >= earlier.m_expires_at;
        if (removed) {
            ledger.m_completed_handovers.insert(earlier.m_epoch.m_number);
        }
        return removed;
    });
}

/// Adopts a handover that another process still awaits, so that this process asks the missing
/// members too. Known and completed handovers are not added again.
void add_reported_gap(key_ledger& ledger, const epoch_gap& gap, time_point now)
{
    const auto same = [&gap](const key_handover& e) { return e.m_epoch.m_number == gap.m_epoch; };
    const bool known =
        std::any_of(ledger.m_pending_handovers.begin(), ledger.m_pending_handovers.end(), same);
    if (known || ledger.m_completed_handovers.contains(gap.m_epoch)) {
        return;
    }
    key_handover earlier;
    earlier.m_epoch.m_number = gap.m_epoch;
    earlier.m_epoch.m_members = gap.m_members;
    earlier.m_received.insert(gap.m_received.begin(), gap.m_received.end());
    earlier.m_expires_at = now + duration(gap.m_remaining_us);
    ledger.m_pending_handovers.push_back(std::move(earlier));
}

/// Lists the pending handovers in the form in which they are sent.
std::vector<epoch_gap> list_gaps(const key_ledger& ledger, time_point now)
{
    std::vector<epoch_gap> gaps;
    gaps.reserve(ledger.m_pending_handovers.size());
    for (const key_handover& earlier : ledger.m_pending_handovers) {
        gaps.push_back({earlier.m_epoch.m_number,
                        earlier.m_epoch.m_members,
                        {earlier.m_received.begin(), earlier.m_received.end()},
                        (earlier.m_expires_at - now).count()});
    }
    return gaps;
}

/// Removes keys past their retention.
void remove_expired_entries(key_ledger& ledger, time_point now)
{
    std::erase_if(ledger.m_entries, [now](const auto& entry) {
        return now - entry.second.m_stored_at > key_retention;
    });
}

} // namespace

key_replicas find_key_replicas(const epoch_record& members, std::uint64_t key_hash)
{
    std::vector<host_id> all;
    all.reserve(members.m_members.size());
    for (const epoch_member& one : members.m_members) {
        all.push_back(one.m_host);
    }
    key_replicas replicas;
    const std::optional<host_id> owner = rendezvous_owner(all, key_hash);
    if (!owner) {
        return replicas;
    }
    replicas.m_owner = *owner;
    zone_id owner_zone;
    for (const epoch_member& one : members.m_members) {
        owner_zone = one.m_host == *owner ? one.m_zone : owner_zone;
    }
    std::vector<host_id> elsewhere;
    std::vector<host_id> others;
    for (const epoch_member& one : members.m_members) {
        if (one.m_host != *owner) {
            others.push_back(one.m_host);
            if (one.m_zone != owner_zone) {
                elsewhere.push_back(one.m_host);
            }
        }
    }
    const std::vector<host_id>& candidates = elsewhere.empty() ? others : elsewhere;
    replicas.m_secondary = rendezvous_owner(candidates, key_hash).value_or(host_id());
    return replicas;
}

void enter_epoch(key_ledger& ledger, const epoch_record& next, const ledger_context& context)
{
    if (next.m_number <= ledger.m_epoch.m_number) {
        return;
    }
    key_handover earlier;
    earlier.m_epoch.m_number = epoch(next.m_number.get() - 1);
    earlier.m_epoch.m_members = next.m_previous;
    earlier.m_expires_at = context.m_now + key_retention;
    const bool was_member = std::any_of(
        next.m_previous.begin(), next.m_previous.end(), [&context](const epoch_member& one) {
            return one.m_host == context.m_self && one.m_incarnation == context.m_incarnation;
        });
    const bool knew_previous_epoch = ledger.m_epoch.m_number == earlier.m_epoch.m_number;
    if (was_member && knew_previous_epoch) {
        earlier.m_received.insert(context.m_self);
    }
    if (!earlier.m_epoch.m_members.empty()) {
        ledger.m_pending_handovers.push_back(std::move(earlier));
    }
    ledger.m_epoch = next;
    for (auto& [hash, entry] : ledger.m_entries) {
        entry.m_replicated = false;
    }
    ledger.m_next_transfer_request_at = context.m_now;
}

void claim_key(key_ledger& ledger, const key_record& record, duration timeout,
               const ledger_context& context, ledger_output& out)
{
    pending_claim claim;
    claim.m_record = record;
    claim.m_record.m_state = key_state::claimed;
    claim.m_first_sent_at = context.m_now;
    claim.m_deadline = context.m_now + timeout;
    send_claim(claim, ledger, context.m_now, out);
    ledger.m_claims[record.m_request] = claim;
}

void complete_key(key_ledger& ledger, const key_record& record, const ledger_context& context,
                  ledger_output& out)
{
    ledger.m_claims.erase(record.m_request);
    pending_completion completion;
    completion.m_record = record;
    completion.m_expires_at = context.m_now + key_retention;
    send_completion(completion, ledger, context.m_now, out);
    ledger.m_completions[record.m_request] = std::move(completion);
}

void on_key_claim(key_ledger& ledger, const host_id& from, const key_claim_message& claim,
                  const ledger_context& context, ledger_output& out)
{
    const key_record& record = claim.m_record;
    const key_replicas replicas = find_key_replicas(ledger.m_epoch, record.m_key_hash);
    if (claim.m_epoch != ledger.m_epoch.m_number || replicas.m_owner != context.m_self) {
        return;
    }
    if (!context.m_epoch_valid) {
        send_verdict(from, record, claim.m_epoch, error_kind::owner_unreachable, 0, out);
        return;
    }
    const auto found = ledger.m_entries.find(record.m_key_hash);
    const bool known = found != ledger.m_entries.end();
    if (known && found->second.m_record.m_request != record.m_request) {
        const key_record& existing = found->second.m_record;
        const std::optional<error_kind> kind = find_duplicate_refusal(existing, record, context);
        if (kind) {
            send_verdict(from, record, claim.m_epoch, kind, existing.m_http_status, out);
            return;
        }
    }
    if (!known && is_history_unknown(ledger, record.m_key_hash, context.m_now)) {
        send_verdict(from, record, claim.m_epoch, error_kind::past_unknown, 0, out);
        return;
    }
    if (!known && ledger.m_entries.size() >= max_entries) {
        send_verdict(from, record, claim.m_epoch, error_kind::overloaded, 0, out);
        return;
    }
    key_entry& entry = ledger.m_entries[record.m_key_hash];
    if (entry.m_record.m_request != record.m_request) {
        entry = {record, context.m_now, false, from, context.m_now};
    }
    if (entry.m_record.m_state != key_state::claimed) {
        return;
    }
    entry.m_claiming_host = from;
    if (replicas.m_secondary.empty() || entry.m_replicated) {
        entry.m_replicated = true;
        send_verdict(from, record, claim.m_epoch, std::nullopt, 0, out);
        return;
    }
    send_copy(entry, ledger, replicas.m_secondary, context.m_now, out);
}

void on_key_copy(key_ledger& ledger, const host_id& from, const key_copy_message& copy,
                 const ledger_context& context, ledger_output& out)
{
    const key_record& record = copy.m_record;
    if (copy.m_epoch != ledger.m_epoch.m_number) {
        return;
    }
    const bool is_claim = record.m_state == key_state::claimed;
    const bool may_store = !is_claim || context.m_epoch_valid;
    if (may_store) {
        merge_record(ledger, record, context.m_now);
    }
    const auto found = ledger.m_entries.find(record.m_key_hash);
    const bool stored = found != ledger.m_entries.end() &&
                        found->second.m_record.m_request == record.m_request && may_store;
    out.m_sends.emplace_back(from, key_copied_message{copy.m_epoch, record, stored});
}

void on_key_copied(key_ledger& ledger, const host_id& from, const key_copied_message& copied,
                   ledger_output& out)
{
    const auto completion = ledger.m_completions.find(copied.m_record.m_request);
    if (completion != ledger.m_completions.end() && copied.m_record.m_state != key_state::claimed) {
        completion->second.m_confirmed.insert(from);
        const key_replicas replicas = find_key_replicas(ledger.m_epoch, copied.m_record.m_key_hash);
        const bool secondary_confirmed =
            replicas.m_secondary.empty() ||
            completion->second.m_confirmed.contains(replicas.m_secondary);
        if (completion->second.m_confirmed.contains(replicas.m_owner) && secondary_confirmed) {
            ledger.m_completions.erase(completion);
        }
        return;
    }
    const auto found = ledger.m_entries.find(copied.m_record.m_key_hash);
    const bool current = found != ledger.m_entries.end() &&
                         found->second.m_record.m_request == copied.m_record.m_request &&
                         copied.m_epoch == ledger.m_epoch.m_number;
    if (!current || found->second.m_record.m_state != key_state::claimed) {
        return;
    }
    if (!copied.m_kept) {
        const host_id claimant = found->second.m_claiming_host;
        found->second.m_record.m_state = key_state::unknown;
        send_verdict(claimant, copied.m_record, copied.m_epoch, error_kind::past_unknown, 0, out);
        return;
    }
    found->second.m_replicated = true;
    send_verdict(found->second.m_claiming_host, copied.m_record, copied.m_epoch, std::nullopt, 0,
                 out);
}

void on_key_verdict(key_ledger& ledger, const key_verdict_message& verdict, ledger_output& out)
{
    const auto found = ledger.m_claims.find(verdict.m_request);
    if (found == ledger.m_claims.end()) {
        return;
    }
    const time_point valid_until = found->second.m_first_sent_at + claim_validity;
    out.m_verdicts.push_back(
        {verdict.m_request, verdict.m_kind, verdict.m_http_status, valid_until});
    ledger.m_claims.erase(found);
}

void on_key_transfer_ask(key_ledger& ledger, const host_id& from,
                         const key_transfer_ask_message& ask, const ledger_context& context,
                         ledger_output& out)
{
    if (ask.m_epoch != ledger.m_epoch.m_number) {
        return;
    }
    remove_completed_handovers(ledger, context.m_now);
    key_transfer_message transfer{ask.m_epoch, context.m_incarnation, {}, false, {}};
    for (const auto& [hash, entry] : ledger.m_entries) {
        const key_replicas replicas = find_key_replicas(ledger.m_epoch, hash);
        if (replicas.m_owner != from && replicas.m_secondary != from) {
            continue;
        }
        transfer.m_records.push_back(entry.m_record);
        if (transfer.m_records.size() == records_per_transfer) {
            out.m_sends.emplace_back(from, transfer);
            transfer.m_records.clear();
        }
    }
    transfer.m_last = true;
    transfer.m_gaps = list_gaps(ledger, context.m_now);
    out.m_sends.emplace_back(from, std::move(transfer));
}

void on_key_transfer(key_ledger& ledger, const host_id& from, const key_transfer_message& transfer,
                     const ledger_context& context)
{
    if (transfer.m_epoch != ledger.m_epoch.m_number) {
        return;
    }
    for (const key_record& record : transfer.m_records) {
        merge_record(ledger, record, context.m_now);
    }
    if (!transfer.m_last) {
        return;
    }
    for (const epoch_gap& gap : transfer.m_gaps) {
        add_reported_gap(ledger, gap, context.m_now);
    }
    for (key_handover& earlier : ledger.m_pending_handovers) {
        for (const epoch_member& one : earlier.m_epoch.m_members) {
            if (one.m_host == from && one.m_incarnation == transfer.m_incarnation) {
                earlier.m_received.insert(from);
            }
        }
    }
    remove_completed_handovers(ledger, context.m_now);
}

void on_ledger_tick(key_ledger& ledger, const ledger_context& context, ledger_output& out)
{
    const time_point now = context.m_now;
    for (auto it = ledger.m_claims.begin(); it != ledger.m_claims.end();) {
        if (it->second.m_deadline <= now) {
            out.m_verdicts.push_back({it->first, error_kind::owner_unreachable, 0, now});
            it = ledger.m_claims.erase(it);
            continue;
        }
        if (it->second.m_next_send_at <= now) {
            send_claim(it->second, ledger, now, out);
        }
        ++it;
    }
    std::erase_if(ledger.m_completions,
                  [now](const auto& entry) { return entry.second.m_expires_at <= now; });
    for (auto& [id, completion] : ledger.m_completions) {
        if (completion.m_next_send_at <= now) {
            send_completion(completion, ledger, now, out);
        }
    }
    remove_completed_handovers(ledger, now);
    if (!ledger.m_pending_handovers.empty() && ledger.m_next_transfer_request_at <= now) {
        ledger.m_next_transfer_request_at = now + transfer_request_interval;
        std::set<host_id> asked;
        for (const key_handover& earlier : ledger.m_pending_handovers) {
            for (const epoch_member& one : earlier.m_epoch.m_members) {
                if (!earlier.m_received.contains(one.m_host) && one.m_host != context.m_self) {
                    asked.insert(one.m_host);
                }
            }
        }
        for (const host_id& host : asked) {
            out.m_sends.emplace_back(host, key_transfer_ask_message{ledger.m_epoch.m_number});
        }
    }
    if (ledger.m_next_expiry_at <= now) {
        ledger.m_next_expiry_at = now + expiry_interval;
        remove_expired_entries(ledger, now);
    }
}

} // namespace guavabay
