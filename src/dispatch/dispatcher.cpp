#include "dispatch/dispatcher.h"

#include <random>

#include "core/result.h"
#include "log/log.h"
#include "net/http_status.h"
#include "net/spawn.h"
#include "platform/caller_calls.h"
#include "platform/operator_records.h"
#include "platform/store_calls.h"
#include "platform/worker_calls.h"
#include "schedule/quota_holder.h"
#include "submission/submission_cost.h"

namespace guavabay {

namespace {

/// Limit of idle connections that are kept open to one address.
constexpr std::size_t max_idle_connections = 16;

/// Upper limit for the timeout of a call to an owner, and the part of the caller's timeout that is
/// reserved for sending the response.
constexpr milliseconds max_owner_timeout{2800};
constexpr milliseconds caller_timeout_margin{100};

/// A request for a shard without a known owner is retried at this interval, up to this limit, so
/// that a change of owner does not fail it.
constexpr milliseconds owner_retry_interval{100};
constexpr milliseconds owner_retry_limit{450};

/// A call whose outcome is unknown, because the connection to the owner was lost, is repeated while
/// at least this much of its time is left. Calls name a submission, so a repetition is harmless.
constexpr milliseconds min_owner_attempt{500};

/// Interval at which owners that are new get the whole worker list.
constexpr milliseconds worker_supply_interval{100};

/// Longest time of a call to the store that is made for a peer.
constexpr milliseconds max_relayed_call_timeout{5000};

/// Interval of greetings to peers, and the limit of peers that are greeted in one round.
constexpr milliseconds greeting_interval{500};
constexpr std::size_t max_greetings_per_round = 8;

/// Limit of addresses of other hosts in one greeting.
constexpr std::size_t max_announced_peers = 16;

/// Interval of rounds in which an owner that the store does not answer asks its peers whether the
/// store answers them, and the time limit of a reply.
constexpr milliseconds store_question_interval{200};
constexpr milliseconds store_question_timeout{400};

/// Time limit until a peer's reply with the configuration arrives or is arriving, and the longest
/// pause while it arrives.
constexpr milliseconds config_fetch_timeout{1500};
constexpr milliseconds max_config_fetch_pause{1000};

/// How long a stopping host still serves new connections, until the load balancer has removed it.
constexpr milliseconds balancer_removal_time{2600};

/// Part of the grace period that is reserved for ending the lease and the process.
constexpr milliseconds process_exit_margin{900};

/// Interval of checks whether this host owns many more shards than another. Several checks in a row
/// must agree before it releases one.
constexpr milliseconds balance_interval{2500};

/// Shortest advised time before a caller retries.
constexpr std::uint32_t min_retry_after_s = 1;

/// Random number that identifies this incarnation of the host.
std::uint64_t make_incarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

caller_answer make_answer(unsigned status, std::string body = {}, std::uint32_t retry_after_s = 0)
{
    caller_answer answer;
    answer.m_status = status;
    answer.m_body = std::move(body);
    answer.m_retry_after_s = retry_after_s;
    return answer;
}

std::string format_address(const ip_address& address)
{
    return address.m_ip.to_string() + ":" + std::to_string(address.m_port);
}

/// Writes a line that may be empty: there is nothing to say then.
void note(const std::string& line)
{
    if (!line.empty()) {
        log_info(line);
    }
}

/// Timeout of a call to an owner, given how long the caller waits; zero means unknown.
milliseconds owner_timeout(milliseconds caller_timeout)
{
    if (caller_timeout <= caller_timeout_margin * 2) {
        return caller_timeout.count() > 0 ? caller_timeout : max_owner_timeout;
    }
    return std::min(max_owner_timeout, caller_timeout - caller_timeout_margin);
}

} // namespace

dispatcher::dispatcher(asio::io_context& context, host_settings settings)
    : m_context(context), m_settings(std::move(settings)),
      m_budget(std::make_shared<connection_budget>()),
      m_submission_budget(make_submission_budget(m_settings.m_memory_mb)),
      m_self{m_settings.m_host,
             make_incarnation(),
             format_address(m_settings.m_peer_address),
             m_settings.m_zone,
             false,
             m_settings.m_capacity},
      m_client(context, max_idle_connections), m_store(m_client, m_settings.m_store_address),
      m_worker_client(m_client),
      m_orders(context,
               derive_budget_limits(m_settings.m_memory_mb, m_settings.m_max_descriptors).m_orders),
      m_relayed_calls(context,
                      derive_budget_limits(m_settings.m_memory_mb, m_settings.m_max_descriptors)
                          .m_relayed_calls),
      m_peer_link(
          context, m_settings.m_peer_address,
          [this](host_message message, bool reply_expected) {
              return handle_peer_message(std::move(message), reply_expected);
          },
          m_budget),
      m_operator_records(
          context, m_store, std::string(platform::operator_prefix),
          [this](const std::vector<std::string>& keys) { handle_operator_changes(keys); }),
      m_registry(
          context, m_store, m_self, m_settings.m_min_store_lease,
          {[this](const service_id& shard, revision token) { on_shard_gained(shard, token); },
           [this](const service_id& shard) { on_shard_lost(shard); },
           [this] { update_shard_count(); }}),
      m_quota_exchange(context, m_peer_link, m_registry, m_settings.m_bounds,
                       [this] {
                           std::vector<std::shared_ptr<shard_owner>> owners;
                           owners.reserve(m_owners.size());
                           for (const auto& [shard, owner] : m_owners) {
                               owners.push_back(owner);
                           }
                           return owners;
                       }),
      m_worker_directory(context, m_store,
                         [this](const worker_list_changes& changes) {
                             for (const auto& [shard, owner] : m_owners) {
                                 owner->apply_worker_changes(changes);
                             }
                         }),
      m_caller_server(
          context, m_settings.m_caller_address, m_budget, budget_port::callers,
          [this](caller_request request) { return handle_caller_request(std::move(request)); }),
      m_readiness_server(
          context, m_settings.m_readiness_address, m_budget, budget_port::readiness,
          [this](caller_request request) { return handle_readiness_request(std::move(request)); })
{
    m_budget->m_limits = derive_budget_limits(m_settings.m_memory_mb, m_settings.m_max_descriptors);
    if (m_settings.m_metrics_address) {
        m_metrics_server = std::make_unique<caller_server>(
            context, *m_settings.m_metrics_address, m_budget, budget_port::metrics,
            [this](caller_request request) { return handle_metrics_request(std::move(request)); });
    }
    m_peer_table.m_own_address = m_self.m_peer_address;
    m_peer_table.m_seeds = m_settings.m_seeds;
    // Hosts that are behind at the same time start with different sources.
    m_config_fetch.m_next_source = stable_hash(m_self.m_peer_address);
    m_worker_client.set_relays(m_peer_link, m_registry.members(), m_registry.owners(),
                               m_self.m_host);
    m_store.set_relay_peers(m_peer_link,
                            [this] { return peers_with_store(m_peer_table, read_boot_clock()); });
}

void dispatcher::start()
{
    log_info("dispatch: started host=" + m_self.m_host.str() + " zone=" + m_self.m_zone.str() +
             " callers=" + format_address(m_settings.m_caller_address));
    for (const std::string& seed : m_settings.m_seeds) {
        add_member(m_peer_table, seed, read_boot_clock());
    }
    m_operator_records.start();
    m_registry.start();
    m_quota_exchange.start();
    m_worker_directory.start();
    spawn_loop(m_context, "the supply of workers", [this] { return supply_workers(); });
    spawn_loop(m_context, "the greeting of peers", [this] { return send_greetings(); });
    spawn_loop(m_context, "the questions about the store",
               [this] { return ask_about_store_loop(); });
    spawn_loop(m_context, "the balance of shards", [this] { return rebalance_shards(); });
}

void dispatcher::reload(const host_settings& settings)
{
    m_settings.m_seeds = settings.m_seeds;
    m_peer_table.m_seeds = settings.m_seeds;
    for (const std::string& seed : m_settings.m_seeds) {
        add_member(m_peer_table, seed, read_boot_clock());
    }
    log_info("dispatch: settings reloaded seeds=" + std::to_string(settings.m_seeds.size()));
}

std::vector<queue_contract> dispatcher::queue_contracts() const
{
    std::vector<queue_contract> contracts;
    if (m_config) {
        for (const queue_route& route : m_config->m_routes) {
            contracts.push_back(route.m_contract);
        }
    }
    return contracts;
}

std::set<service_id> dispatcher::configured_services() const
{
    std::set<service_id> services;
    if (m_config) {
        for (const pool_config& pool : m_config->m_pools) {
            services.insert(pool.m_service);
        }
    }
    return services;
}

std::set<service_id> dispatcher::services_with_work() const
{
    std::set<service_id> services = configured_services();
    services.merge(all_holders(m_registry.holders()));
    return services;
}

void dispatcher::update_shard_count()
{
    if (!m_config) {
        return;
    }
    const std::set<service_id> services = services_with_work();
    m_quota_exchange.set_caps(m_config->m_organisations, services);
    for (const auto& [shard, owner] : m_owners) {
        owner->set_organisations(m_config->m_organisations,
                                 static_cast<std::uint32_t>(services.size()));
    }
}

bool dispatcher::is_store_unreachable_for_all() const
{
    return !m_store.is_available() &&
           is_store_unreachable_for_majority(m_peer_table, m_registry.members().size(),
                                             read_boot_clock());
}

bool dispatcher::is_refusing_keys()
{
    const time_point now = read_boot_clock();
    const time_point contact = last_contact(m_operator_records.last_received_at(), m_peer_table);
    const bool refusing = refuses_keys(m_settings.m_revocation, contact, now);
    if (refusing != m_refusing_keys) {
        m_refusing_keys = refusing;
        log_info(std::string("dispatch: requests with keys are ") +
                 (refusing ? "refused, neither the store nor a peer was heard" : "served again") +
                 " last_contact_ms=" +
                 std::to_string(static_cast<std::int64_t>(to_milliseconds(now - contact))));
    }
    return refusing;
}

void dispatcher::on_shard_gained(const service_id& shard, revision token)
{
    if (shard == machine_control_shard()) {
        machine_controller_dependencies dependencies;
        dependencies.m_context = &m_context;
        dependencies.m_client = &m_client;
        dependencies.m_store = &m_store;
        dependencies.m_settings = &m_settings;
        dependencies.m_operator = &m_operator_records;
        dependencies.m_lease_valid_until = [this] { return m_registry.lease_valid_until(); };
        dependencies.m_config = [this] { return m_config ? &*m_config : nullptr; };
        dependencies.m_cordon = [this](cordon_request request) {
            return request_cordon(std::move(request));
        };
        m_machine_controller = std::make_shared<machine_controller>(std::move(dependencies), token);
        m_machine_controller->start();
        m_quota_exchange.begin_allocation(token);
        return;
    }
    shard_owner_dependencies dependencies;
    dependencies.m_context = &m_context;
    dependencies.m_http = &m_client;
    dependencies.m_workers = &m_worker_client;
    dependencies.m_orders = &m_orders;
    dependencies.m_store = &m_store;
    dependencies.m_holders = &m_registry.holders();
    dependencies.m_ask = [this](holder_inquiry inquiry, milliseconds timeout) {
        service_id asked = inquiry.m_service;
        return call_owner(std::move(asked), std::move(inquiry), timeout);
    };
    dependencies.m_host = m_self.m_host;
    dependencies.m_advice_address = m_settings.m_advice_address;
    dependencies.m_bounds = m_settings.m_bounds;
    dependencies.m_budget = m_submission_budget;
    dependencies.m_lease_valid_until = [this] { return m_registry.lease_valid_until(); };
    dependencies.m_store_unreachable_for_all = [this] { return is_store_unreachable_for_all(); };
    auto owner = std::make_shared<shard_owner>(std::move(dependencies), shard, token);
    m_owners[shard] = owner;
    owner->start(queue_contracts(), m_config ? m_config->m_organisations : organisation_directory(),
                 static_cast<std::uint32_t>(services_with_work().size()));
    m_quota_exchange.wake();
}

void dispatcher::on_shard_lost(const service_id& shard)
{
    if (shard == machine_control_shard()) {
        m_quota_exchange.end_allocation();
        if (m_machine_controller) {
            m_machine_controller->stop();
            m_machine_controller.reset();
        }
        return;
    }
    const auto found = m_owners.find(shard);
    if (found != m_owners.end()) {
        found->second->stop();
        m_owners.erase(found);
    }
}

void dispatcher::handle_operator_changes(const std::vector<std::string>& keys)
{
    for (const std::string& key : keys) {
        const auto found = m_operator_records.items().find(key);
        if (key != platform::config_key || found == m_operator_records.items().end()) {
            continue;
        }
        // After the record was removed from the store, a peer may still send an older one.
        const std::int64_t received = found->second.m_revision.get();
        if (received <= m_config_revision) {
            log_info("config: older revision ignored revision=" + std::to_string(received) +
                     " known_revision=" + std::to_string(m_config_revision));
            continue;
        }
        m_config_revision = received;
        apply_config(found->second);
    }
}

void dispatcher::apply_config(const store_item& item)
{
    std::optional<operator_config> config = platform::decode_config(item.m_value);
    if (!config) {
        log_error("config: revision " + std::to_string(item.m_revision.get()) +
                  " rejected: " + last_reason());
        return;
    }
    m_config = std::move(*config);
    m_caller_server.set_limits(m_config->m_limits);
    std::set<service_id> shards = configured_services();
    shards.insert(machine_control_shard());
    m_registry.set_shards(std::move(shards));
    for (const auto& [shard, owner] : m_owners) {
        owner->set_queues(queue_contracts());
    }
    update_shard_count();
    log_info("config: applied version=" + std::to_string(m_config->m_version) +
             " revision=" + std::to_string(item.m_revision.get()) +
             " routes=" + std::to_string(m_config->m_routes.size()) +
             " bytes=" + std::to_string(item.m_value.size()));
}

greeting dispatcher::make_greeting(bool with_config) const
{
    greeting own_greeting;
    own_greeting.m_host = m_self.m_host.str();
    own_greeting.m_address = m_self.m_peer_address;
    own_greeting.m_store_answers = m_store.is_available();
    own_greeting.m_config_revision = config_revision();
    const auto config = m_operator_records.items().find(std::string(platform::config_key));
    if (with_config && config != m_operator_records.items().end()) {
        own_greeting.m_config = config->second.m_value;
    }
    own_greeting.m_peers = select_peers_to_announce(m_peer_table, max_announced_peers,
                                                    m_greeting_round, read_boot_clock());
    return own_greeting;
}

void dispatcher::handle_greeting(const greeting& received)
{
    const time_point now = read_boot_clock();
    add_peer(m_peer_table, received.m_address, now);
    const auto found = m_peer_table.m_peers.find(received.m_address);
    if (found == m_peer_table.m_peers.end()) {
        return;
    }
    found->second.m_last_heard_at = now;
    found->second.m_store_answers = received.m_store_answers;
    found->second.m_config_revision = received.m_config_revision;
    const std::size_t announced = std::min(received.m_peers.size(), max_announced_peers);
    for (std::size_t i = 0; i < announced; ++i) {
        add_peer(m_peer_table, received.m_peers[i], now);
    }
    if (!received.m_config.empty()) {
        const bool is_newer = received.m_config_revision > config_revision();
        log_info("config: received from peer=" + received.m_address +
                 " revision=" + std::to_string(received.m_config_revision) + " bytes=" +
                 std::to_string(received.m_config.size()) + " newer=" + (is_newer ? "yes" : "no"));
        const revision newer(received.m_config_revision);
        if (is_newer) {
            m_operator_records.apply_if_newer({std::string(platform::config_key), received.m_config,
                                               newer, newer, lease_id(), false});
        }
    }
    fetch_config_if_due();
}

std::int64_t dispatcher::config_revision() const
{
    return m_config_revision;
}

void dispatcher::fetch_config_if_due()
{
    const std::optional<std::string> source =
        select_config_source(m_config_fetch, m_peer_table, config_revision(),
                             m_operator_records.last_received_at(), read_boot_clock());
    if (source) {
        spawn(m_context, "a fetch of the configuration", fetch_config(*source));
    }
}

asio::awaitable<void> dispatcher::fetch_config(std::string peer)
{
    log_info("config: fetching from peer=" + peer +
             " known_revision=" + std::to_string(config_revision()));
    host_message request(make_greeting(false));
    std::string address = peer;
    const std::optional<host_message> reply =
        co_await m_peer_link.call(std::move(address), std::move(request), config_fetch_timeout,
                                  nullptr, max_config_fetch_pause);
    m_config_fetch.m_in_progress = false;
    if (!reply) {
        log_info("config: fetch failed peer=" + peer + ": " + last_reason());
    }
    else if (const auto* received = std::get_if<greeting>(&*reply)) {
        handle_greeting(*received);
    }
}

asio::awaitable<void> dispatcher::send_greetings()
{
    asio::steady_timer timer(m_context);
    while (true) {
        const time_point now = read_boot_clock();
        std::vector<std::string> members;
        for (const auto& [host, record] : m_registry.members()) {
            members.push_back(record.m_peer_address);
            add_member(m_peer_table, record.m_peer_address, now);
        }
        remove_stale_peers(m_peer_table, members, now);
        const greeting own_greeting = make_greeting(false);
        for (const std::string& peer :
             select_peers(m_peer_table, max_greetings_per_round, m_greeting_round)) {
            m_peer_link.send(peer, own_greeting);
        }
        ++m_greeting_round;
        fetch_config_if_due();
        timer.expires_after(greeting_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> dispatcher::ask_about_store_loop()
{
    asio::steady_timer timer(m_context);
    while (true) {
        if (!m_owners.empty() && !m_store.is_available()) {
            for (const std::string& peer : select_peers_to_ask(m_peer_table, read_boot_clock())) {
                spawn(m_context, "a question about the store", ask_about_store(peer));
            }
        }
        timer.expires_after(store_question_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> dispatcher::ask_about_store(std::string peer)
{
    std::string address = peer;
    host_message question(store_status_request{});
    const std::optional<host_message> reply = co_await m_peer_link.call(
        std::move(address), std::move(question), store_question_timeout, nullptr);
    const auto* status = reply ? std::get_if<store_status_reply>(&*reply) : nullptr;
    if (status != nullptr) {
        record_store_report(m_peer_table, peer, status->m_store_answers, read_boot_clock());
    }
}

asio::awaitable<void> dispatcher::supply_workers()
{
    asio::steady_timer timer(m_context);
    while (true) {
        m_worker_directory.set_needed(!m_owners.empty());
        for (const auto& [shard, owner] : std::map(m_owners)) {
            if (owner->has_workers()) {
                owner->remove_departed_workers();
            }
            else if (m_worker_directory.is_loaded()) {
                owner->set_workers(m_worker_directory.listings());
            }
        }
        timer.expires_after(worker_supply_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> dispatcher::rebalance_shards()
{
    asio::steady_timer timer(m_context);
    std::size_t rounds_with_surplus = 0;
    while (!m_stopping) {
        timer.expires_after(balance_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
        const std::optional<service_id> surplus =
            find_surplus_shard(m_registry.members(), m_registry.owners(), m_self.m_host);
        rounds_with_surplus = surplus ? rounds_with_surplus + 1 : 0;
        constexpr std::size_t required_rounds = 2;
        if (rounds_with_surplus < required_rounds || m_stopping) {
            continue;
        }
        rounds_with_surplus = 0;
        const auto found = m_owners.find(*surplus);
        if (found != m_owners.end() && found->second->state().m_open_submissions.empty()) {
            const std::shared_ptr<shard_owner> owner = found->second;
            co_await owner->release();
        }
    }
}

asio::awaitable<caller_answer> dispatcher::handle_readiness_request(caller_request request)
{
    (void)request;
    const bool ready = m_config.has_value() && !m_stopping;
    co_return make_answer(ready ? http_status::ok : http_status::unavailable);
}

asio::awaitable<owner_reply> dispatcher::handle_as_owner(service_id service, host_message message)
{
    owner_reply reply;
    reply.m_answer = owner_answer::not_owner;
    const auto found = m_owners.find(service);
    if (found == m_owners.end()) {
        co_return reply;
    }
    const std::shared_ptr<shard_owner> owner = found->second;
    if (auto* submit = std::get_if<submit_request>(&message)) {
        std::optional<submission> decoded = decode_submission_bytes(submit->m_submission);
        submit->m_submission = {};
        if (!decoded || !normalise(*decoded)) {
            log_warning("dispatch: cannot decode submission id=" + submit->m_id.str() + ": " +
                        last_reason());
            reply.m_answer = owner_answer::refused;
            co_return reply;
        }
        co_return co_await owner->submit(submit->m_queue, submit->m_id, std::move(*decoded),
                                         submit->m_organisation);
    }
    if (auto* cancel = std::get_if<cancel_request>(&message)) {
        co_return co_await owner->cancel(cancel->m_queue, cancel->m_id, cancel->m_organisation);
    }
    if (auto* state = std::get_if<state_request>(&message)) {
        co_return co_await owner->state(state->m_queue, state->m_id, state->m_organisation);
    }
    if (auto* count = std::get_if<count_request>(&message)) {
        co_return co_await owner->count(count->m_queue);
    }
    if (auto* inquiry = std::get_if<holder_inquiry>(&message)) {
        co_return co_await owner->answer_inquiry(std::move(*inquiry));
    }
    co_return reply;
}

asio::awaitable<std::optional<owner_reply>>
dispatcher::call_owner_once(service_id service, host_message message, milliseconds timeout)
{
    owner_reply reply;
    reply.m_answer = owner_answer::not_owner;
    if (m_owners.contains(service)) {
        co_return co_await handle_as_owner(std::move(service), std::move(message));
    }
    const owner_record* owner = m_registry.find_owner(service);
    if (owner == nullptr || owner->m_host.m_peer_address == m_self.m_peer_address) {
        co_return reply;
    }
    bool sent = false;
    std::string address = owner->m_host.m_peer_address;
    std::optional<host_message> answer =
        co_await m_peer_link.call(std::move(address), std::move(message), timeout, &sent);
    if (!answer) {
        reply.m_answer = sent ? owner_answer::unknown : owner_answer::not_owner;
        co_return reply;
    }
    if (auto* received_reply = std::get_if<owner_reply>(&*answer)) {
        co_return *received_reply;
    }
    co_return reply;
}

asio::awaitable<owner_reply> dispatcher::call_owner(service_id service, host_message message,
                                                    milliseconds timeout)
{
    const time_point started_at = read_boot_clock();
    asio::steady_timer timer(m_context);
    owner_reply reply;
    bool is_unknown = false; ///< An earlier attempt may have been carried out, also later.
    while (true) {
        host_message copy = message;
        const auto taken = std::chrono::duration_cast<milliseconds>(read_boot_clock() - started_at);
        std::optional<owner_reply> answer =
            co_await call_owner_once(service, std::move(copy), timeout - taken);
        reply = *answer;
        const bool is_settled = reply.m_answer == owner_answer::done ||
                                reply.m_answer == owner_answer::none ||
                                reply.m_answer == owner_answer::forbidden;
        is_unknown = is_unknown || reply.m_answer == owner_answer::unknown;
        if (is_unknown && !is_settled) {
            // A later refusal says nothing about the earlier attempt.
            reply.m_answer = owner_answer::unknown;
        }
        const duration elapsed = read_boot_clock() - started_at;
        const bool may_repeat =
            is_unknown ? elapsed + min_owner_attempt < timeout
                       : reply.m_answer == owner_answer::not_owner && elapsed <= owner_retry_limit;
        if (is_settled || !may_repeat) {
            co_return reply;
        }
        timer.expires_after(owner_retry_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<caller_answer> dispatcher::handle_submit(const queue_route& route, submission_id id,
                                                         organisation_id organisation,
                                                         caller_request request)
{
    std::optional<submission> decoded = platform::decode_submission(request.m_body);
    // The call may wait for the store; only one copy of the submission waits with it.
    request.m_body = {};
    if (!decoded) {
        co_return make_answer(http_status::bad_request, R"({"error":")" + last_reason() + "\"}");
    }
    if (encoded_submission_bytes(*decoded) > max_stored_submission_bytes ||
        !may_ever_have_room(*m_submission_budget, memory_use_of(*decoded),
                            new_submission_bytes(*decoded))) {
        co_return make_answer(http_status::too_large, R"({"error":"the submission is too large"})");
    }
    const service_id service = route.m_contract.m_service;
    submit_request submit{service, route.m_contract.m_queue, id, encode_submission(*decoded),
                          std::move(organisation)};
    decoded.reset();
    host_message message(std::move(submit));
    const owner_reply reply =
        co_await call_owner(service, std::move(message), owner_timeout(request.m_timeout));
    switch (reply.m_answer) {
    case owner_answer::done:
        co_return make_answer(http_status::ok, "{}");
    case owner_answer::refused:
        co_return make_answer(http_status::too_many_requests, {},
                              std::max(min_retry_after_s, reply.m_retry_after_s));
    case owner_answer::not_owner:
    case owner_answer::none:
    case owner_answer::store_away:
        log_info("dispatch: submission not taken id=" + id.str() + " service=" + service.str() +
                 " answer=" + std::to_string(static_cast<int>(reply.m_answer)));
        co_return make_answer(http_status::unavailable, {},
                              std::max(min_retry_after_s, reply.m_retry_after_s));
    case owner_answer::forbidden:
        co_return make_answer(http_status::forbidden);
    case owner_answer::unknown:
        break;
    }
    log_info("dispatch: submission outcome unknown id=" + id.str() + " service=" + service.str());
    co_return make_answer(http_status::gateway_timeout);
}

asio::awaitable<caller_answer> dispatcher::handle_caller_request(caller_request request)
{
    const time_point started_at = read_boot_clock();
    const std::string method = request.m_method;
    const queue_route* route =
        m_config ? find_route(*m_config, request.m_host, request.m_path) : nullptr;
    const queue_id queue = route != nullptr ? route->m_contract.m_queue : queue_id("none");
    caller_answer answer;
    try {
        answer = co_await route_caller_request(std::move(request));
    }
    catch (const std::exception& error) {
        log_error("dispatch: unexpected error in a request, its outcome is unknown queue=" +
                  queue.str() + ": " + error.what());
        answer = make_answer(http_status::gateway_timeout);
    }
    m_metrics.record(queue, method, answer.m_status, read_boot_clock() - started_at);
    co_return answer;
}

asio::awaitable<caller_answer> dispatcher::handle_metrics_request(caller_request request)
{
    if (request.m_path != "/metrics") {
        co_return make_answer(http_status::not_found);
    }
    caller_answer answer = make_answer(http_status::ok, format_metrics());
    answer.m_content_type = "text/plain; version=0.0.4";
    co_return answer;
}

std::string dispatcher::format_metrics() const
{
    std::string text = m_metrics.to_text();
    const auto line = [&text](const std::string& name, double value) {
        text += name + " " + std::to_string(value) + "\n";
    };
    line("guavabay_store_calls_total", static_cast<double>(m_store.call_count()));
    line("guavabay_store_received_bytes_total", static_cast<double>(m_store.received_bytes()));
    const link_traffic& traffic = m_peer_link.traffic();
    for (std::size_t kind = 0; kind < traffic.size(); ++kind) {
        const std::string labels = "{message=\"" + std::string(message_name(kind)) + "\"}";
        const frame_counts& counts = traffic.at(kind);
        line("guavabay_peer_sent_total" + labels, static_cast<double>(counts.m_sent));
        line("guavabay_peer_sent_bytes_total" + labels, static_cast<double>(counts.m_sent_bytes));
        line("guavabay_peer_received_total" + labels, static_cast<double>(counts.m_received));
        line("guavabay_peer_received_bytes_total" + labels,
             static_cast<double>(counts.m_received_bytes));
    }
    line("guavabay_store_answers", m_store.is_available() ? 1 : 0);
    line("guavabay_connections_opened_total", static_cast<double>(m_client.opened()));
    line("guavabay_worker_calls_relayed_total", static_cast<double>(m_worker_client.relayed()));
    line("guavabay_worker_relay_failures_total",
         static_cast<double>(m_worker_client.relay_failures()));
    line("guavabay_caller_connections", static_cast<double>(m_caller_server.open_connections()));
    text += format_budget_metrics(*m_budget);
    text += format_submission_metrics(*m_submission_budget);
    const time_point now = read_boot_clock();
    for (const auto& [service, owner] : m_owners) {
        const shard& state = owner->state();
        const std::string labels = "{service=\"" + service.str() + "\"}";
        line("guavabay_open_submissions" + labels,
             static_cast<double>(state.m_open_submissions.size()));
        line("guavabay_deferred_submissions" + labels,
             static_cast<double>(state.m_deferred.size()));
        line("guavabay_workers" + labels, static_cast<double>(state.m_workers.size()));
        line("guavabay_worker_restarts_total" + labels, static_cast<double>(state.m_restarts));
        line("guavabay_workers_without_entry" + labels,
             static_cast<double>(count_workers_without_entry(state)));
        line("guavabay_starts_total" + labels, static_cast<double>(state.m_starts));
        line("guavabay_starts_on_reserved_workers_total" + labels,
             static_cast<double>(state.m_starts_on_reserved));
        line("guavabay_reserved_workers" + labels, static_cast<double>(state.m_reserved_workers));
        line("guavabay_placement_candidates_total" + labels,
             static_cast<double>(state.m_candidates));
        line("guavabay_tasks_examined_total" + labels, static_cast<double>(state.m_tasks_examined));
        line("guavabay_ends_done_total" + labels, static_cast<double>(state.m_ends_done));
        line("guavabay_ends_other_total" + labels, static_cast<double>(state.m_ends_other));
        const locality_counts& places = state.m_locality.m_counts;
        line("guavabay_locality_waits_paid_total" + labels,
             static_cast<double>(places.m_waits_paid));
        line("guavabay_locality_waits_unpaid_total" + labels,
             static_cast<double>(places.m_waits_unpaid));
        line("guavabay_locality_waiting" + labels,
             static_cast<double>(state.m_locality.m_waits.size()));
        line("guavabay_locality_wait_seconds_total" + labels, places.m_wait_seconds);
        line("guavabay_locality_declined_core_seconds_total" + labels, places.m_idle_core_seconds);
        line("guavabay_locality_starts_at_place_total" + labels,
             static_cast<double>(places.m_starts_at_place));
        line("guavabay_locality_starts_elsewhere_total" + labels,
             static_cast<double>(places.m_starts_elsewhere));
        line("guavabay_locality_unlogged_waits_total" + labels,
             static_cast<double>(places.m_unlogged_waits));
        line("guavabay_holder_inquiries_total" + labels,
             static_cast<double>(owner->inquiry_count()));
        line("guavabay_machines_needed" + labels, machines_needed(state, now));
        text += format_quota_metrics(state);
        text += format_cancellation_metrics(state, now);
        text += format_departure_metrics(owner->departed(), service, now);
        text += format_organisation_metrics(state);
    }
    return text;
}

request_note dispatcher::make_request_note(const queue_route& route, const submission_id& id,
                                           std::string_view method, const owner_reply& reply,
                                           time_point started_at) const
{
    const service_id& service = route.m_contract.m_service;
    const owner_record* owner = m_registry.find_owner(service);
    return {std::string(method),
            id,
            route.m_contract.m_queue,
            service,
            owner == nullptr ? std::string() : owner->m_host.m_host.str(),
            reply.m_answer,
            read_boot_clock() - started_at,
            m_config ? m_config->m_version : 0};
}

asio::awaitable<caller_answer> dispatcher::route_caller_request(caller_request request)
{
    if (!m_config) {
        co_return make_answer(http_status::unavailable, {}, min_retry_after_s);
    }
    const std::string path = request.m_path.substr(0, request.m_path.find('?'));
    const queue_route* found = find_route(*m_config, request.m_host, path);
    if (found == nullptr) {
        note(describe_missing_route(request.m_method, request.m_host, path, *m_config, m_noted,
                                    read_boot_clock()));
        co_return make_answer(http_status::not_found);
    }
    const std::optional<organisation_id> organisation =
        authorize(*m_config, *found, request.m_authorization);
    if (!organisation) {
        note(describe_refused_key(*found, request.m_authorization, last_reason(),
                                  m_config->m_version, m_refused_keys, read_boot_clock()));
        co_return make_answer(http_status::unauthorized);
    }
    if (!organisation->empty() && is_refusing_keys()) {
        co_return make_answer(http_status::unavailable, {}, min_retry_after_s);
    }
    const queue_route route = *found;
    const std::string rest = path.substr(route.m_path.size());
    const service_id service = route.m_contract.m_service;
    const milliseconds timeout = owner_timeout(request.m_timeout);
    if (rest.empty()) {
        if (request.m_method != "GET") {
            co_return make_answer(http_status::method_not_allowed);
        }
        host_message message(count_request{service, route.m_contract.m_queue});
        const owner_reply reply = co_await call_owner(service, std::move(message), timeout);
        if (reply.m_answer != owner_answer::done) {
            co_return make_answer(http_status::unavailable, {},
                                  std::max(min_retry_after_s, reply.m_retry_after_s));
        }
        co_return make_answer(http_status::ok, platform::encode_pending_count(reply.m_count));
    }
    if (!platform::is_submission_id(rest)) {
        note(describe_missing_route(request.m_method, request.m_host, path, *m_config, m_noted,
                                    read_boot_clock()));
        co_return make_answer(http_status::not_found);
    }
    const submission_id id(rest);
    if (request.m_method == "POST") {
        co_return co_await handle_submit(route, id, *organisation, std::move(request));
    }
    if (request.m_method == "GET") {
        host_message message(state_request{service, route.m_contract.m_queue, id, *organisation});
        const time_point started_at = read_boot_clock();
        const owner_reply reply = co_await call_owner(service, std::move(message), timeout);
        if (reply.m_answer == owner_answer::done) {
            co_return make_answer(http_status::ok,
                                  platform::encode_submission_state(reply.m_state));
        }
        if (reply.m_answer == owner_answer::none) {
            note(describe_unknown_id(make_request_note(route, id, "GET", reply, started_at),
                                     m_noted, read_boot_clock()));
            co_return make_answer(http_status::gone);
        }
        if (reply.m_answer == owner_answer::forbidden) {
            co_return make_answer(http_status::forbidden);
        }
        co_return make_answer(http_status::unavailable, {},
                              std::max(min_retry_after_s, reply.m_retry_after_s));
    }
    if (request.m_method == "DELETE") {
        host_message message(cancel_request{service, route.m_contract.m_queue, id, *organisation});
        const time_point started_at = read_boot_clock();
        const owner_reply reply = co_await call_owner(service, std::move(message), timeout);
        note(describe_cancellation(make_request_note(route, id, "DELETE", reply, started_at)));
        if (reply.m_answer == owner_answer::done) {
            co_return make_answer(http_status::ok, "{}");
        }
        if (reply.m_answer == owner_answer::none) {
            co_return make_answer(http_status::gone);
        }
        if (reply.m_answer == owner_answer::forbidden) {
            co_return make_answer(http_status::forbidden);
        }
        const bool unknown = reply.m_answer == owner_answer::unknown;
        co_return make_answer(unknown ? http_status::gateway_timeout : http_status::unavailable, {},
                              unknown ? 0 : std::max(min_retry_after_s, reply.m_retry_after_s));
    }
    co_return make_answer(http_status::method_not_allowed);
}

asio::awaitable<host_message> dispatcher::relay_store_call(relay_request request)
{
    http_call store_call{request.m_method, request.m_target, {}, std::move(request.m_body)};
    const milliseconds timeout =
        std::min(milliseconds(request.m_timeout_ms), max_relayed_call_timeout);
    const http_answer answer = co_await m_store.call_direct(std::move(store_call), timeout);
    relay_reply reply;
    reply.m_progress = static_cast<std::uint8_t>(answer.m_progress);
    reply.m_status = answer.m_status;
    reply.m_body = answer.m_body;
    co_return host_message(std::move(reply));
}

asio::awaitable<std::optional<host_message>> dispatcher::handle_peer_message(host_message message,
                                                                             bool reply_expected)
{
    if (const auto* received = std::get_if<greeting>(&message)) {
        handle_greeting(*received);
        if (!reply_expected) {
            co_return std::nullopt;
        }
        co_return host_message(make_greeting(config_revision() > received->m_config_revision));
    }
    if (auto* call = std::get_if<relay_request>(&message)) {
        const call_limiter::permit permit = co_await m_relayed_calls.acquire();
        host_message reply = co_await relay_store_call(std::move(*call));
        co_return std::optional<host_message>(std::move(reply));
    }
    if (auto* order = std::get_if<worker_order_request>(&message)) {
        const call_limiter::permit permit = co_await m_relayed_calls.acquire();
        host_message reply = co_await m_worker_client.relay_order(std::move(*order));
        co_return std::optional<host_message>(std::move(reply));
    }
    if (auto* hold = std::get_if<worker_hold_request>(&message)) {
        const call_limiter::permit permit = co_await m_relayed_calls.acquire();
        host_message reply = co_await m_worker_client.relay_hold(std::move(*hold));
        co_return std::optional<host_message>(std::move(reply));
    }
    if (std::holds_alternative<store_status_request>(message)) {
        co_return host_message(store_status_reply{m_store.is_available()});
    }
    if (const auto* request = std::get_if<quota_request>(&message)) {
        co_return host_message(m_quota_exchange.answer(*request));
    }
    if (const auto* request = std::get_if<cordon_request>(&message)) {
        cordon_reply reply;
        const auto found = m_owners.find(request->m_service);
        if (found != m_owners.end()) {
            reply = found->second->cordon(*request);
        }
        co_return std::optional<host_message>(std::move(reply));
    }
    service_id service;
    if (const auto* submit = std::get_if<submit_request>(&message)) {
        service = submit->m_service;
    }
    else if (const auto* cancel = std::get_if<cancel_request>(&message)) {
        service = cancel->m_service;
    }
    else if (const auto* state = std::get_if<state_request>(&message)) {
        service = state->m_service;
    }
    else if (const auto* count = std::get_if<count_request>(&message)) {
        service = count->m_service;
    }
    else if (const auto* inquiry = std::get_if<holder_inquiry>(&message)) {
        service = inquiry->m_service;
    }
    else {
        co_return std::nullopt;
    }
    owner_reply reply = co_await handle_as_owner(std::move(service), std::move(message));
    co_return std::optional<host_message>(reply);
}

asio::awaitable<std::optional<cordon_reply>> dispatcher::request_cordon(cordon_request request)
{
    const auto own = m_owners.find(request.m_service);
    if (own != m_owners.end()) {
        co_return own->second->cordon(request);
    }
    const owner_record* owner = m_registry.find_owner(request.m_service);
    if (owner == nullptr) {
        co_return std::nullopt;
    }
    std::string address = owner->m_host.m_peer_address;
    host_message message(std::move(request));
    constexpr milliseconds cordon_timeout{500};
    const std::optional<host_message> answer =
        co_await m_peer_link.call(std::move(address), std::move(message), cordon_timeout, nullptr);
    if (!answer || !std::holds_alternative<cordon_reply>(*answer)) {
        co_return std::nullopt;
    }
    co_return std::get<cordon_reply>(*answer);
}

void dispatcher::stop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    spawn(m_context, "the shutdown", shut_down());
}

asio::awaitable<void> dispatcher::shut_down()
{
    const time_point started_at = read_boot_clock();
    log_info("dispatch: stopping shards=" + std::to_string(m_owners.size()));
    co_await m_registry.announce_leaving();
    if (m_machine_controller) {
        const std::shared_ptr<machine_controller> controller = m_machine_controller;
        co_await controller->release();
    }
    for (const auto& [shard, owner] : std::map(m_owners)) {
        co_await owner->release();
    }
    m_caller_server.drain();
    asio::steady_timer timer(m_context);
    const milliseconds max_wait = m_settings.m_grace_period - process_exit_margin;
    constexpr milliseconds poll_interval{50};
    while (true) {
        const time_point now = read_boot_clock();
        const bool is_idle = m_caller_server.requests_in_flight() == 0 &&
                             now - started_at > balancer_removal_time &&
                             now - m_caller_server.last_request_at() > poll_interval;
        if (is_idle || now - started_at > max_wait) {
            break;
        }
        timer.expires_after(poll_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
    co_await m_registry.end_lease();
    log_info("dispatch: stopped in_flight=" + std::to_string(m_caller_server.requests_in_flight()));
    m_context.stop();
}

} // namespace guavabay
