#pragma once

#include <optional>
#include <string>

#include "quota/quota_message.h"
#include "schedule/shard.h"

// What a shard may have running of each organisation: its part of the organisation's cap, which
// the allocator of quotas grants to the shard's owner.
namespace guavabay {

/// True if a start that reserves `demand` stays within the shard's part of its organisation's cap.
/// Work without an organisation, or of one without a cap, is never limited.
bool has_quota(const shard& state, const organisation_id& organisation, const resources& demand);

/// Counts `tasks` ready tasks as work that waits for quota, for the next request.
void note_blocked_by_quota(shard& state, const organisation_id& organisation,
                           const resources& demand, std::uint32_t tasks);

/// Forgets what waited for quota in the last planning round.
void clear_blocked_by_quota(shard& state);

/// Adds a run's demand to what its organisation uses, or removes it.
void add_usage(shard& state, const run_slot& slot);
void remove_usage(shard& state, const run_slot& slot);

/// The request to send to the allocator now; empty if none is due. The shard gives back what it did
/// not need for a while before the request says so.
std::optional<quota_request> next_quota_request(shard& state, time_point now);

/// Applies the allocator's answer to the last request. A late one, one to another request and one
/// of an allocator that has been replaced are ignored.
void apply_quota_reply(shard& state, const quota_reply& reply, time_point now);

/// Metrics of the organisations that use most cores in the shard, in the text format of Prometheus.
/// The others are summed up under the name "other", so that the number of lines is bounded.
std::string format_quota_metrics(const shard& state);

} // namespace guavabay
