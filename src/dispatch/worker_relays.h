#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/time.h"
#include "dispatch/ownership.h"
#include "submission/submission.h"

namespace guavabay {

/// The entry hosts through which an owner calls the workers of a large pool. An owner that calls
/// all workers itself spends most of its processor time on HTTP; a relay takes that over, and the
/// owner exchanges compact messages with it.
struct worker_relays {
    /// The relay of one worker.
    struct choice {
        std::string m_address;
        host_id m_host;
        time_point m_chosen_at{};
    };

    std::map<worker_id, choice> m_choices;
    std::map<host_id, time_point> m_avoided_until; ///< Hosts that did not relay a call in time.
};

/// Returns the address of the host that relays calls to a worker: in the worker's zone if possible,
/// neither this host nor an owner of a shard, and shares of workers in proportion to capacities. A
/// choice is kept while its host stays eligible. Empty with a reason if no host is eligible.
std::optional<std::string> select_relay(worker_relays& relays, const worker_id& worker,
                                        const zone_id& zone,
                                        const std::map<host_id, host_record>& members,
                                        const std::map<service_id, owner_record>& owners,
                                        const host_id& self, time_point now);

/// Chooses other relays for the workers of a host that did not relay a call in time, for a while.
void avoid_relay(worker_relays& relays, const std::string& address, time_point now);

} // namespace guavabay
