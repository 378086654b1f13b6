#pragma once

#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "fleet/resources.h"
#include "submission/submission.h"

// Messages between the owners of shards and the allocator of quotas.
namespace guavabay {

/// What a shard has and needs of one organisation's cap.
struct quota_need {
    organisation_id m_organisation;
    resources m_used; ///< Of the runs that the owner knows of, whatever their state.
    /// Of a former owner's runs that may exist on workers which have not reported yet, at most.
    resources m_hidden;
    resources m_held;    ///< Most that the owner may use at present.
    resources m_wanted;  ///< Needed in addition by tasks that could start now.
    resources m_largest; ///< Needed by the largest of these tasks.
};

/// Report of a shard's owner, which also asks for quota.
struct quota_request {
    service_id m_service;
    fencing_token m_token;        ///< Of the shard's owner.
    std::uint64_t m_sequence = 0; ///< Rises with each request of an owner.
    std::vector<quota_need> m_needs;
};

/// Most that a shard may use of one organisation's cap.
struct quota_grant {
    organisation_id m_organisation;
    resources m_granted;
};

/// Answer of the allocator.
struct quota_reply {
    fencing_token m_token;        ///< Of the allocator; zero if the receiver is none.
    std::uint64_t m_sequence = 0; ///< Of the request.
    std::vector<quota_grant> m_grants;
};

} // namespace guavabay
