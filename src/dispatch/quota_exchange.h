#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "dispatch/registry.h"
#include "dispatch/shard_owner.h"
#include "peer/host_link.h"
#include "quota/quota_allocator.h"

namespace guavabay {

/// Asks for quota on behalf of the shards that this host owns, and allocates it to all shards while
/// this host owns the machine control shard. Does nothing while no organisation has a cap. Used on
/// the thread that runs its io_context.
class quota_exchange {
public:
    /// Returns the owners of this host's shards.
    using owner_list = std::function<std::vector<std::shared_ptr<shard_owner>>()>;

    /// Creates an exchange. The link and the registry have to outlive it.
    quota_exchange(asio::io_context& context, host_link& link, const registry& hosts,
                   const schedule_bounds& bounds, owner_list owners);

    /// Starts to send requests.
    void start();

    /// Sets the caps and the services of the configuration.
    void set_caps(const organisation_directory& organisations,
                  const std::set<service_id>& services);

    /// Begins to allocate under the fencing token of the machine control shard, or ends to.
    void begin_allocation(revision token);
    void end_allocation();

    /// Answers a request; the token of the reply is zero unless this host is the allocator and can
    /// prove it.
    quota_reply answer(const quota_request& request);

    /// Looks for requests that are due now.
    void wake() { m_timer.cancel(); }

    /// The allocator's state, for metrics; null unless this host allocates.
    [[nodiscard]] const quota_allocator* allocator() const
    {
        return m_allocator ? &*m_allocator : nullptr;
    }

private:
    asio::awaitable<void> send_requests();
    asio::awaitable<void> send_request(std::shared_ptr<shard_owner> owner, quota_request request);

    asio::io_context& m_context;
    host_link& m_link;
    const registry& m_registry;
    duration m_settle_time;
    owner_list m_owners;
    asio::steady_timer m_timer;
    organisation_directory m_organisations;
    std::set<service_id> m_services;
    bool m_has_caps = false;
    std::optional<quota_allocator> m_allocator;
};

} // namespace guavabay
