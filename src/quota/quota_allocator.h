#pragma once

#include <map>
#include <optional>
#include <set>

#include "contract/organisation.h"
#include "core/time.h"
#include "fleet/quota_share.h"
#include "quota/quota_message.h"

namespace guavabay {

/// The last report of a shard's owner.
struct quota_holder {
    fencing_token m_token;
    std::uint64_t m_sequence = 0;
    time_point m_reported_at{};
};

/// Divides the caps of organisations between the shards that run their tasks. Its state is not
/// stored: a new allocator learns from the owners of the shards what they hold. See
/// docs/design/quotas.md.
struct quota_allocator {
    fencing_token m_token;      ///< Of the allocator's host.
    time_point m_started_at{};  ///< When it began to collect reports.
    duration m_settle_time{};   ///< After it a shard without a report has nothing running.
    std::set<pool_id> m_shards; ///< Of the configuration, by the names of their services.
    std::map<organisation_id, resources> m_caps;
    std::map<service_id, quota_holder> m_holders;
    /// Amounts that count for each shard, and what shards lack.
    std::map<organisation_id, quota_record> m_records;
    std::uint64_t m_requests = 0; ///< Metric: requests that were answered.
};

/// Creates an allocator that has heard of no shard yet.
quota_allocator make_quota_allocator(fencing_token token, duration settle_time, time_point now);

/// Sets the caps and the shards of a configuration. An organisation that it no longer has keeps its
/// last cap while an amount counts for one of its shards.
void set_caps(quota_allocator& allocator, const organisation_directory& organisations,
              const std::set<service_id>& services);

/// Takes a report and answers with grants; empty for a report that a newer one has overtaken. The
/// amounts that count for all shards exceed a cap only by what already runs.
std::optional<quota_reply> allocate(quota_allocator& allocator, const quota_request& request,
                                    time_point now);

/// Amount that counts for a shard; zero if there is none.
resources counted_amount(const quota_allocator& allocator, const organisation_id& organisation,
                         const service_id& service);

/// True when the allocator knows what all shards hold, or shards without a report have nothing
/// running any more.
bool is_settled(const quota_allocator& allocator, time_point now);

} // namespace guavabay
