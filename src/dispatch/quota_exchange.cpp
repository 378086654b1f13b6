#include "dispatch/quota_exchange.h"

#include <algorithm>

#include "dispatch/machine_controller.h"
#include "log/log.h"
#include "net/spawn.h"

namespace guavabay {

namespace {

/// Interval of looking for requests that are due.
constexpr milliseconds request_interval{50};

/// Time limit of an answer; a later one would be ignored.
constexpr milliseconds answer_timeout{400};

/// Time in which all runs of a shard without an owner have ended: the owner may have renewed their
/// leases without proof, and a worker may have granted itself the longest lease.
duration settle_time(const schedule_bounds& bounds)
{
    constexpr double slowest_clock = 0.98;
    const duration lease = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(bounds.m_max_worker_lease) / slowest_clock);
    return bounds.m_unproven_renewal_time + lease;
}

} // namespace

quota_exchange::quota_exchange(asio::io_context& context, host_link& link, const registry& hosts,
                               const schedule_bounds& bounds, owner_list owners)
    : m_context(context), m_link(link), m_registry(hosts), m_settle_time(settle_time(bounds)),
      m_owners(std::move(owners)), m_timer(context)
{
}

void quota_exchange::start()
{
    spawn_loop(m_context, "the requests for quota", [this] { return send_requests(); });
}

void quota_exchange::set_caps(const organisation_directory& organisations,
                              const std::set<service_id>& services)
{
    m_organisations = organisations;
    m_services = services;
    m_has_caps =
        std::any_of(organisations.all().begin(), organisations.all().end(), [](const auto& entry) {
            return entry.second.m_terms.m_cap != unlimited_resources;
        });
    if (m_allocator) {
        guavabay::set_caps(*m_allocator, m_organisations, m_services);
    }
    wake();
}

void quota_exchange::begin_allocation(revision token)
{
    m_allocator =
        make_quota_allocator(fencing_token(token.get()), m_settle_time, read_boot_clock());
    guavabay::set_caps(*m_allocator, m_organisations, m_services);
    if (m_has_caps) {
        log_info("quota: allocation begins token=" + std::to_string(token.get()) +
                 " organisations=" + std::to_string(m_allocator->m_caps.size()));
    }
}

void quota_exchange::end_allocation()
{
    if (m_allocator && m_has_caps) {
        log_info("quota: allocation ends token=" + std::to_string(m_allocator->m_token.get()));
    }
    m_allocator.reset();
}

quota_reply quota_exchange::answer(const quota_request& request)
{
    if (m_allocator && read_boot_clock() < m_registry.lease_valid_until()) {
        std::optional<quota_reply> reply = allocate(*m_allocator, request, read_boot_clock());
        if (reply) {
            return std::move(*reply);
        }
    }
    return {fencing_token(), request.m_sequence, {}};
}

asio::awaitable<void> quota_exchange::send_requests()
{
    while (true) {
        const std::vector<std::shared_ptr<shard_owner>> owners = m_owners();
        const bool is_active = m_has_caps && !owners.empty();
        if (is_active) {
            for (const std::shared_ptr<shard_owner>& owner : owners) {
                std::optional<quota_request> request = owner->next_quota_request();
                if (request) {
                    spawn(m_context, "a request for quota",
                          send_request(owner, std::move(*request)));
                }
            }
            m_timer.expires_after(request_interval);
        }
        else {
            m_timer.expires_at(asio::steady_timer::time_point::max());
        }
        error_code ignored;
        co_await m_timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> quota_exchange::send_request(std::shared_ptr<shard_owner> owner,
                                                   quota_request request)
{
    if (m_allocator) {
        owner->apply_quota_reply(answer(request));
        co_return;
    }
    const owner_record* allocator = m_registry.find_owner(machine_control_shard());
    if (allocator == nullptr) {
        co_return;
    }
    std::string address = allocator->m_host.m_peer_address;
    host_message message(std::move(request));
    const std::optional<host_message> reply =
        co_await m_link.call(std::move(address), std::move(message), answer_timeout, nullptr);
    if (const auto* granted = reply ? std::get_if<quota_reply>(&*reply) : nullptr) {
        owner->apply_quota_reply(*granted);
    }
}

} // namespace guavabay
