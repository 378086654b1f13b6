#include "ledger/key_ledger.h"

#include <algorithm>

#include "membership/member_table.h"

namespace guavabay {

namespace {

constexpr milliseconds resend_interval{50};
constexpr milliseconds finish_interval{500};
constexpr milliseconds transfer_ask_interval{200};
constexpr seconds sweep_interval{1};
constexpr std::size_t max_kept_keys = 100'000;
constexpr std::size_t records_per_transfer = 2000;

void send_verdict(const host_id& to, const key_record& record, epoch number,
                  std::optional<error_kind> kind, std::uint32_t status, ledger_output& out)
{
    out.m_sends.emplace_back(to, key_verdict_message{record.m_request, number, kind, status});
}

void send_copy(kept_key& kept, const key_ledger& ledger, const host_id& second, time_point now,
               ledger_output& out)
{
    kept.m_next_copy = now + resend_interval;
    out.m_sends.emplace_back(second, key_copy_message{ledger.m_epoch.m_number, kept.m_record});
}

/// True when requests of an earlier epoch may have run under a key without this process knowing.
bool past_is_unknown(const key_ledger& ledger, std::uint64_t key_hash, time_point now)
{
    for (const unsettled_epoch& earlier : ledger.m_unsettled) {
        const key_keepers keepers = keepers_of(earlier.m_epoch, key_hash);
        const bool received = earlier.m_received.contains(keepers.m_owner) ||
                              earlier.m_received.contains(keepers.m_second);
        if (now < earlier.m_until && !received) {
            return true;
        }
    }
    return false;
}

/// Why another request may not run under a key that is kept; empty when it may.
std::optional<error_kind> refusal_for_duplicate(const key_record& known, const key_record& claim,
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

void send_claim(pending_claim& claim, const key_ledger& ledger, time_point now, ledger_output& out)
{
    claim.m_next_send = now + resend_interval;
    if (ledger.m_epoch.m_number == epoch{}) {
        return;
    }
    const key_keepers keepers = keepers_of(ledger.m_epoch, claim.m_record.m_key_hash);
    out.m_sends.emplace_back(keepers.m_owner,
                             key_claim_message{ledger.m_epoch.m_number, claim.m_record});
}

void send_finish(pending_finish& finish, const key_ledger& ledger, time_point now,
                 ledger_output& out)
{
    finish.m_next_send = now + finish_interval;
    const key_keepers keepers = keepers_of(ledger.m_epoch, finish.m_record.m_key_hash);
    for (const host_id& keeper : {keepers.m_owner, keepers.m_second}) {
        if (!keeper.empty() && !finish.m_confirmed.contains(keeper)) {
            out.m_sends.emplace_back(keeper,
                                     key_copy_message{ledger.m_epoch.m_number, finish.m_record});
        }
    }
}

/// Keeps the later of two states of one request; a request that ended does not begin again.
void merge_kept(key_ledger& ledger, const key_record& record, time_point now)
{
    const auto [it, added] = ledger.m_entries.try_emplace(record.m_key_hash);
    kept_key& kept = it->second;
    if (added) {
        kept.m_record = record;
        kept.m_kept_at = now;
        return;
    }
    const bool same_request = kept.m_record.m_request == record.m_request;
    const bool replaced = !same_request && kept.m_record.m_state == key_state::not_run;
    if (replaced || (same_request && record.m_state > kept.m_record.m_state)) {
        kept.m_record = record;
    }
}

/// True when no key can have lost both of its keepers.
bool is_settled(const unsettled_epoch& earlier)
{
    const std::size_t members = earlier.m_epoch.m_members.size();
    const std::size_t missing = members - earlier.m_received.size();
    return missing == 0 || (missing == 1 && members > 1);
}

void drop_settled(key_ledger& ledger, time_point now)
{
    std::erase_if(ledger.m_unsettled, [&ledger, now](const unsettled_epoch& earlier) {
        const bool dropped = is_settled(earlier) || now >= earlier.m_until;
        if (dropped) {
            ledger.m_settled.insert(earlier.m_epoch.m_number);
        }
        return dropped;
    });
}

/// Takes over another process's gap, so that this process asks the missing members itself.
void adopt_gap(key_ledger& ledger, const epoch_gap& gap, time_point now)
{
    const auto same = [&gap](const unsettled_epoch& e) {
        return e.m_epoch.m_number == gap.m_epoch;
    };
    const bool known = std::any_of(ledger.m_unsettled.begin(), ledger.m_unsettled.end(), same);
    if (known || ledger.m_settled.contains(gap.m_epoch)) {
        return;
    }
    unsettled_epoch earlier;
    earlier.m_epoch.m_number = gap.m_epoch;
    earlier.m_epoch.m_members = gap.m_members;
    earlier.m_received.insert(gap.m_received.begin(), gap.m_received.end());
    earlier.m_until = now + duration(gap.m_remaining_us);
    ledger.m_unsettled.push_back(std::move(earlier));
}

std::vector<epoch_gap> list_gaps(const key_ledger& ledger, time_point now)
{
    std::vector<epoch_gap> gaps;
    gaps.reserve(ledger.m_unsettled.size());
    for (const unsettled_epoch& earlier : ledger.m_unsettled) {
        gaps.push_back({earlier.m_epoch.m_number,
                        earlier.m_epoch.m_members,
                        {earlier.m_received.begin(), earlier.m_received.end()},
                        (earlier.m_until - now).count()});
    }
    return gaps;
}

void sweep(key_ledger& ledger, time_point now)
{
    std::erase_if(ledger.m_entries, [now](const auto& entry) {
        return now - entry.second.m_kept_at > key_retention;
    });
}

} // namespace

key_keepers keepers_of(const epoch_record& members, std::uint64_t key_hash)
{
    std::vector<host_id> all;
    all.reserve(members.m_members.size());
    for (const epoch_member& one : members.m_members) {
        all.push_back(one.m_host);
    }
    key_keepers keepers;
    const std::optional<host_id> owner = rendezvous_owner(all, key_hash);
    if (!owner) {
        return keepers;
    }
    keepers.m_owner = *owner;
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
    keepers.m_second = rendezvous_owner(candidates, key_hash).value_or(host_id());
    return keepers;
}

void enter_epoch(key_ledger& ledger, const epoch_record& next, const ledger_context& context)
{
    if (next.m_number <= ledger.m_epoch.m_number) {
        return;
    }
    unsettled_epoch earlier;
    earlier.m_epoch.m_number = epoch(next.m_number.get() - 1);
    earlier.m_epoch.m_members = next.m_previous;
    earlier.m_until = context.m_now + key_retention;
    const bool was_member = std::any_of(
        next.m_previous.begin(), next.m_previous.end(), [&context](const epoch_member& one) {
            return one.m_host == context.m_self && one.m_incarnation == context.m_incarnation;
        });
    const bool knew_it = ledger.m_epoch.m_number == earlier.m_epoch.m_number;
    if (was_member && knew_it) {
        earlier.m_received.insert(context.m_self);
    }
    if (!earlier.m_epoch.m_members.empty()) {
        ledger.m_unsettled.push_back(std::move(earlier));
    }
    ledger.m_epoch = next;
    for (auto& [hash, kept] : ledger.m_entries) {
        kept.m_copied = false;
    }
    ledger.m_next_transfer_ask = context.m_now;
}

void claim_key(key_ledger& ledger, const key_record& record, duration allowed,
               const ledger_context& context, ledger_output& out)
{
    pending_claim claim;
    claim.m_record = record;
    claim.m_record.m_state = key_state::claimed;
    claim.m_first_sent = context.m_now;
    claim.m_deadline = context.m_now + allowed;
    send_claim(claim, ledger, context.m_now, out);
    ledger.m_claims[record.m_request] = claim;
}

void complete_key(key_ledger& ledger, const key_record& record, const ledger_context& context,
                ledger_output& out)
{
    ledger.m_claims.erase(record.m_request);
    pending_finish finish;
    finish.m_record = record;
    finish.m_until = context.m_now + key_retention;
    send_finish(finish, ledger, context.m_now, out);
    ledger.m_completions[record.m_request] = std::move(finish);
}

void on_key_claim(key_ledger& ledger, const host_id& from, const key_claim_message& claim,
                  const ledger_context& context, ledger_output& out)
{
    const key_record& wanted = claim.m_record;
    const key_keepers keepers = keepers_of(ledger.m_epoch, wanted.m_key_hash);
    if (claim.m_epoch != ledger.m_epoch.m_number || keepers.m_owner != context.m_self) {
        return;
    }
    if (!context.m_epoch_valid) {
        send_verdict(from, wanted, claim.m_epoch, error_kind::owner_unreachable, 0, out);
        return;
    }
    const auto found = ledger.m_entries.find(wanted.m_key_hash);
    const bool known = found != ledger.m_entries.end();
    if (known && found->second.m_record.m_request != wanted.m_request) {
        const key_record& first = found->second.m_record;
        const std::optional<error_kind> kind = refusal_for_duplicate(first, wanted, context);
        if (kind) {
            send_verdict(from, wanted, claim.m_epoch, kind, first.m_http_status, out);
            return;
        }
    }
    if (!known && past_is_unknown(ledger, wanted.m_key_hash, context.m_now)) {
        send_verdict(from, wanted, claim.m_epoch, error_kind::past_unknown, 0, out);
        return;
    }
    if (!known && ledger.m_entries.size() >= max_kept_keys) {
        send_verdict(from, wanted, claim.m_epoch, error_kind::overloaded, 0, out);
        return;
    }
    kept_key& kept = ledger.m_entries[wanted.m_key_hash];
    if (kept.m_record.m_request != wanted.m_request) {
        kept = {wanted, context.m_now, false, from, context.m_now};
    }
    if (kept.m_record.m_state != key_state::claimed) {
        return;
    }
    kept.m_claimant = from;
    if (keepers.m_second.empty() || kept.m_copied) {
        kept.m_copied = true;
        send_verdict(from, wanted, claim.m_epoch, std::nullopt, 0, out);
        return;
    }
    send_copy(kept, ledger, keepers.m_second, context.m_now, out);
}

void on_key_copy(key_ledger& ledger, const host_id& from, const key_copy_message& copy,
                 const ledger_context& context, ledger_output& out)
{
    const key_record& record = copy.m_record;
    if (copy.m_epoch != ledger.m_epoch.m_number) {
        return;
    }
    const bool is_claim = record.m_state == key_state::claimed;
    const bool may_keep = !is_claim || context.m_epoch_valid;
    if (may_keep) {
        merge_kept(ledger, record, context.m_now);
    }
    const auto found = ledger.m_entries.find(record.m_key_hash);
    const bool kept = found != ledger.m_entries.end() &&
                      found->second.m_record.m_request == record.m_request && may_keep;
    out.m_sends.emplace_back(from, key_copied_message{copy.m_epoch, record, kept});
}

void on_key_copied(key_ledger& ledger, const host_id& from, const key_copied_message& copied,
                   ledger_output& out)
{
    const auto finish = ledger.m_completions.find(copied.m_record.m_request);
    if (finish != ledger.m_completions.end() && copied.m_record.m_state != key_state::claimed) {
        finish->second.m_confirmed.insert(from);
        const key_keepers keepers = keepers_of(ledger.m_epoch, copied.m_record.m_key_hash);
        const bool second_done =
            keepers.m_second.empty() || finish->second.m_confirmed.contains(keepers.m_second);
        if (finish->second.m_confirmed.contains(keepers.m_owner) && second_done) {
            ledger.m_completions.erase(finish);
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
        const host_id claimant = found->second.m_claimant;
        found->second.m_record.m_state = key_state::unknown;
        send_verdict(claimant, copied.m_record, copied.m_epoch, error_kind::past_unknown, 0, out);
        return;
    }
    found->second.m_copied = true;
    send_verdict(found->second.m_claimant, copied.m_record, copied.m_epoch, std::nullopt, 0, out);
}

void on_key_verdict(key_ledger& ledger, const key_verdict_message& verdict, ledger_output& out)
{
    const auto found = ledger.m_claims.find(verdict.m_request);
    if (found == ledger.m_claims.end()) {
        return;
    }
    const time_point valid_until = found->second.m_first_sent + claim_validity;
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
    drop_settled(ledger, context.m_now);
    key_transfer_message transfer{ask.m_epoch, context.m_incarnation, {}, false, {}};
    for (const auto& [hash, kept] : ledger.m_entries) {
        const key_keepers keepers = keepers_of(ledger.m_epoch, hash);
        if (keepers.m_owner != from && keepers.m_second != from) {
            continue;
        }
        transfer.m_records.push_back(kept.m_record);
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
        merge_kept(ledger, record, context.m_now);
    }
    if (!transfer.m_last) {
        return;
    }
    for (const epoch_gap& gap : transfer.m_gaps) {
        adopt_gap(ledger, gap, context.m_now);
    }
    for (unsettled_epoch& earlier : ledger.m_unsettled) {
        for (const epoch_member& one : earlier.m_epoch.m_members) {
            if (one.m_host == from && one.m_incarnation == transfer.m_incarnation) {
                earlier.m_received.insert(from);
            }
        }
    }
    drop_settled(ledger, context.m_now);
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
        if (it->second.m_next_send <= now) {
            send_claim(it->second, ledger, now, out);
        }
        ++it;
    }
    std::erase_if(ledger.m_completions, [now](const auto& f) { return f.second.m_until <= now; });
    for (auto& [id, finish] : ledger.m_completions) {
        if (finish.m_next_send <= now) {
            send_finish(finish, ledger, now, out);
        }
    }
    drop_settled(ledger, now);
    if (!ledger.m_unsettled.empty() && ledger.m_next_transfer_ask <= now) {
        ledger.m_next_transfer_ask = now + transfer_ask_interval;
        std::set<host_id> asked;
        for (const unsettled_epoch& earlier : ledger.m_unsettled) {
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
    if (ledger.m_next_sweep <= now) {
        ledger.m_next_sweep = now + sweep_interval;
        sweep(ledger, now);
    }
}

} // namespace guavabay
