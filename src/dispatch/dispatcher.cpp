#include "dispatch/dispatcher.h"

#include <random>

#include "core/result.h"
#include "log/log.h"
#include "net/http_status.h"
#include "platform/caller_calls.h"
#include "platform/operator_records.h"
#include "platform/store_calls.h"
#include "platform/worker_calls.h"

namespace guavabay {

namespace {

/// Idle connections kept to one address.
constexpr std::size_t max_idle_connections = 16;

/// Longest a call to another host's owner takes, and what is kept of the caller's patience.
constexpr milliseconds longest_call{2800};
constexpr milliseconds patience_margin{100};

/// While a shard changes its owner a caller's request is tried again at this distance, for at
/// most this long.
constexpr milliseconds owner_retry{100};
constexpr milliseconds owner_patience{450};

/// Readings of the workers' list follow each other at this distance.
constexpr milliseconds list_interval{300};
constexpr microseconds list_interval_per_worker{1500};
constexpr milliseconds list_time{1200};

/// Peers are greeted at this distance, at most so many at a time.
constexpr milliseconds greet_interval{500};
constexpr std::size_t greeted_at_once = 8;

/// How long a host that stops still takes new connections, until the balancer leaves it out.
constexpr milliseconds balancer_time{2600};

/// What is kept of the time to stop for the end of the process.
constexpr milliseconds stop_margin{900};

/// A host with many more shards than another gives one away after it saw that for this long.
constexpr milliseconds balance_interval{2500};

constexpr std::uint32_t retry_soon_s = 1;

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

std::string text_of(const ip_address& address)
{
    return address.m_ip.to_string() + ":" + std::to_string(address.m_port);
}

milliseconds call_patience(milliseconds caller)
{
    if (caller <= patience_margin * 2) {
        return caller.count() > 0 ? caller : longest_call;
    }
    return std::min(longest_call, caller - patience_margin);
}

} // namespace

dispatcher::dispatcher(asio::io_context& context, host_settings settings)
    : m_context(context),
      m_settings(std::move(settings)), m_self{m_settings.m_host,
                                              make_incarnation(),
                                              text_of(m_settings.m_peer_address),
                                              m_settings.m_zone,
                                              false,
                                              m_settings.m_capacity},
      m_client(context, max_idle_connections), m_store(m_client, m_settings.m_store_address),
      m_peers(context, m_settings.m_peer_address,
              [this](host_message message) { return answer_peer(std::move(message)); }),
      m_operator(context, m_store, std::string(platform::operator_prefix),
                 [this](const std::vector<std::string>& keys) { take_operator_changes(keys); }),
      m_registry(context, m_store, m_self, m_settings.m_least_lease,
                 {[this](const service_id& shard, revision token) { gain(shard, token); },
                  [this](const service_id& shard) { lose(shard); }}),
      m_callers(context, m_settings.m_caller_address,
                [this](caller_request request) { return measure_caller(std::move(request)); }),
      m_readiness(context, m_settings.m_readiness_address,
                  [this](caller_request request) { return answer_readiness(std::move(request)); })
{
    if (m_settings.m_metrics_address) {
        m_metrics_server = std::make_unique<caller_server>(
            context, *m_settings.m_metrics_address,
            [this](caller_request request) { return answer_metrics(std::move(request)); });
    }
    m_peer_table.m_own_address = m_self.m_peer_address;
    m_peer_table.m_seeds = m_settings.m_seeds;
    m_store.set_peers(m_peers,
                      [this] { return peers_with_store(m_peer_table, read_boot_clock()); });
}

void dispatcher::start()
{
    log_info("dispatch: started host=" + m_self.m_host.str() + " zone=" + m_self.m_zone.str() +
             " callers=" + text_of(m_settings.m_caller_address));
    for (const std::string& seed : m_settings.m_seeds) {
        learn_peer(m_peer_table, seed, read_boot_clock());
    }
    m_operator.start();
    m_registry.start();
    asio::co_spawn(m_context, follow_workers(), asio::detached);
    asio::co_spawn(m_context, greet_peers(), asio::detached);
    asio::co_spawn(m_context, balance(), asio::detached);
}

void dispatcher::reload(const host_settings& settings)
{
    m_settings.m_seeds = settings.m_seeds;
    m_peer_table.m_seeds = settings.m_seeds;
    for (const std::string& seed : m_settings.m_seeds) {
        learn_peer(m_peer_table, seed, read_boot_clock());
    }
    log_info("dispatch: settings taken seeds=" + std::to_string(settings.m_seeds.size()));
}

std::vector<queue_contract> dispatcher::queues() const
{
    std::vector<queue_contract> contracts;
    if (m_config) {
        for (const queue_route& route : m_config->m_routes) {
            contracts.push_back(route.m_contract);
        }
    }
    return contracts;
}

bool dispatcher::store_away_for_all() const
{
    return !m_store.answers() &&
           store_away_for_peers(m_peer_table, m_registry.members().size(), read_boot_clock());
}

void dispatcher::gain(const service_id& shard, revision token)
{
    if (shard == machines_shard()) {
        duty_surroundings around;
        around.m_context = &m_context;
        around.m_client = &m_client;
        around.m_store = &m_store;
        around.m_settings = &m_settings;
        around.m_operator = &m_operator;
        around.m_proven_until = [this] { return m_registry.proven_until(); };
        around.m_config = [this] { return m_config ? &*m_config : nullptr; };
        around.m_cordon = [this](cordon_request request) { return ask_cordon(std::move(request)); };
        m_machines = std::make_shared<machine_duty>(std::move(around), token);
        m_machines->start();
        return;
    }
    owner_surroundings around;
    around.m_context = &m_context;
    around.m_workers = &m_client;
    around.m_store = &m_store;
    around.m_host = m_self.m_host;
    around.m_advice_address = m_settings.m_advice_address;
    around.m_bounds = m_settings.m_bounds;
    around.m_proven_until = [this] { return m_registry.proven_until(); };
    around.m_store_away_for_all = [this] { return store_away_for_all(); };
    auto owner = std::make_shared<shard_owner>(std::move(around), shard, token);
    m_owners[shard] = owner;
    owner->start(queues());
}

void dispatcher::lose(const service_id& shard)
{
    if (shard == machines_shard()) {
        if (m_machines) {
            m_machines->lose();
            m_machines.reset();
        }
        return;
    }
    const auto found = m_owners.find(shard);
    if (found != m_owners.end()) {
        found->second->lose();
        m_owners.erase(found);
    }
}

void dispatcher::take_operator_changes(const std::vector<std::string>& keys)
{
    for (const std::string& key : keys) {
        const auto found = m_operator.items().find(key);
        if (key == platform::config_key && found != m_operator.items().end()) {
            take_config(found->second);
        }
    }
}

void dispatcher::take_config(const store_item& item)
{
    std::optional<installation> config = platform::decode_config(item.m_value);
    if (!config) {
        log_error("config: revision " + std::to_string(item.m_revision.get()) +
                  " cannot be used: " + last_reason());
        return;
    }
    m_config = std::move(*config);
    m_callers.set_limits(m_config->m_limits);
    std::set<service_id> shards{machines_shard()};
    for (const pool_terms& pool : m_config->m_pools) {
        shards.insert(pool.m_service);
    }
    m_registry.set_shards(std::move(shards));
    for (const auto& [shard, owner] : m_owners) {
        owner->set_queues(queues());
    }
    log_info("config: in force version=" + std::to_string(m_config->m_version) +
             " revision=" + std::to_string(item.m_revision.get()) +
             " routes=" + std::to_string(m_config->m_routes.size()));
    // Peers that the store does not serve learn it from here.
    for (const std::string& peer : peers_to_greet(m_peer_table, greeted_at_once, 0)) {
        const peer_view& view = m_peer_table.m_peers[peer];
        if (!view.m_store_answers) {
            m_peers.send(peer, make_greeting(true));
        }
    }
}

greeting dispatcher::make_greeting(bool with_config) const
{
    greeting what;
    what.m_host = m_self.m_host.str();
    what.m_address = m_self.m_peer_address;
    what.m_store_answers = m_store.answers();
    const auto found = m_operator.items().find(std::string(platform::config_key));
    if (found != m_operator.items().end()) {
        what.m_config_revision = found->second.m_revision.get();
        if (with_config) {
            what.m_config = found->second.m_value;
        }
    }
    for (const auto& [address, view] : m_peer_table.m_peers) {
        what.m_peers.push_back(address);
    }
    return what;
}

void dispatcher::take_greeting(const greeting& what)
{
    const time_point now = read_boot_clock();
    learn_peer(m_peer_table, what.m_address, now);
    const auto found = m_peer_table.m_peers.find(what.m_address);
    if (found == m_peer_table.m_peers.end()) {
        return;
    }
    found->second.m_heard_at = now;
    found->second.m_store_answers = what.m_store_answers;
    found->second.m_config_revision = what.m_config_revision;
    if (m_peer_table.m_peers.size() < what.m_peers.size()) {
        for (const std::string& address : what.m_peers) {
            learn_peer(m_peer_table, address, now);
        }
    }
    const std::string key(platform::config_key);
    const auto own = m_operator.items().find(key);
    const std::int64_t known = own == m_operator.items().end() ? 0 : own->second.m_revision.get();
    if (!what.m_config.empty() && what.m_config_revision > known) {
        const revision newer(what.m_config_revision);
        m_operator.offer({key, what.m_config, newer, newer, lease_id(), false});
    }
    else if (what.m_config_revision < known) {
        m_peers.send(what.m_address, make_greeting(true));
    }
}

asio::awaitable<void> dispatcher::greet_peers()
{
    asio::steady_timer timer(m_context);
    std::uint64_t turn = 0;
    while (true) {
        const time_point now = read_boot_clock();
        std::vector<std::string> members;
        for (const auto& [host, record] : m_registry.members()) {
            members.push_back(record.m_peer_address);
            learn_peer(m_peer_table, record.m_peer_address, now);
        }
        forget_peers(m_peer_table, members, now);
        const greeting what = make_greeting(false);
        for (const std::string& peer : peers_to_greet(m_peer_table, greeted_at_once, turn)) {
            m_peers.send(peer, what);
        }
        ++turn;
        timer.expires_after(greet_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> dispatcher::follow_workers()
{
    asio::steady_timer timer(m_context);
    while (true) {
        if (!m_owners.empty()) {
            std::vector<worker_listing> listings;
            std::string after;
            bool more = true;
            bool ok = true;
            while (more && ok) {
                const http_answer answer = co_await m_store.call(
                    platform::encode_range(std::string(platform::worker_prefix), after, false),
                    list_time);
                const range_result page = platform::decode_range(answer);
                ok = page.m_ok;
                more = page.m_more && !page.m_items.empty();
                for (const store_item& item : page.m_items) {
                    after = item.m_key;
                    std::optional<worker_listing> listing = platform::decode_listing(item);
                    if (listing) {
                        listings.push_back(std::move(*listing));
                    }
                    else {
                        log_warning("workers: " + last_reason());
                    }
                }
            }
            if (ok) {
                m_listed = static_cast<std::int64_t>(listings.size());
                for (const auto& [shard, owner] : std::map(m_owners)) {
                    owner->set_workers(listings);
                }
            }
        }
        timer.expires_after(
            std::max<microseconds>(list_interval, m_listed * list_interval_per_worker));
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<void> dispatcher::balance()
{
    asio::steady_timer timer(m_context);
    std::size_t seen = 0;
    while (!m_stopping) {
        timer.expires_after(balance_interval);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
        const std::optional<service_id> surplus =
            surplus_shard(m_registry.members(), m_registry.owners(), m_self.m_host);
        seen = surplus ? seen + 1 : 0;
        constexpr std::size_t needed_sightings = 2;
        if (seen < needed_sightings || m_stopping) {
            continue;
        }
        seen = 0;
        const auto found = m_owners.find(*surplus);
        if (found != m_owners.end() && found->second->state().m_open_submissions.empty()) {
            const std::shared_ptr<shard_owner> owner = found->second;
            co_await owner->release();
        }
    }
}

asio::awaitable<caller_answer> dispatcher::answer_readiness(caller_request request)
{
    (void)request;
    const bool ready = m_config.has_value() && !m_stopping;
    co_return make_answer(ready ? http_status::ok : http_status::unavailable);
}

asio::awaitable<owner_reply> dispatcher::answer_as_owner(service_id service, host_message message)
{
    owner_reply reply;
    reply.m_answer = owner_answer::not_owner;
    const auto found = m_owners.find(service);
    if (found == m_owners.end()) {
        co_return reply;
    }
    const std::shared_ptr<shard_owner> owner = found->second;
    if (auto* submit = std::get_if<submit_request>(&message)) {
        std::optional<submission> what = decode_submission_bytes(submit->m_submission);
        if (!what) {
            log_warning("dispatch: a submission cannot be read id=" + submit->m_id.str() + ": " +
                        last_reason());
            reply.m_answer = owner_answer::refused;
            co_return reply;
        }
        co_return co_await owner->submit(submit->m_queue, submit->m_id, std::move(*what));
    }
    if (auto* cancel = std::get_if<cancel_request>(&message)) {
        co_return co_await owner->cancel(cancel->m_id);
    }
    if (auto* state = std::get_if<state_request>(&message)) {
        co_return owner->state(state->m_id);
    }
    if (auto* count = std::get_if<count_request>(&message)) {
        co_return owner->count(count->m_queue);
    }
    co_return reply;
}

asio::awaitable<std::optional<owner_reply>>
dispatcher::ask_once(service_id service, host_message message, milliseconds patience)
{
    owner_reply reply;
    reply.m_answer = owner_answer::not_owner;
    if (m_owners.contains(service)) {
        co_return co_await answer_as_owner(std::move(service), std::move(message));
    }
    const owner_record* owner = m_registry.owner_of(service);
    if (owner == nullptr || owner->m_host.m_peer_address == m_self.m_peer_address) {
        co_return reply;
    }
    bool sent = false;
    std::string address = owner->m_host.m_peer_address;
    std::optional<host_message> answer =
        co_await m_peers.call(std::move(address), std::move(message), patience, &sent);
    if (!answer) {
        reply.m_answer = sent ? owner_answer::unknown : owner_answer::not_owner;
        co_return reply;
    }
    if (auto* told = std::get_if<owner_reply>(&*answer)) {
        co_return *told;
    }
    co_return reply;
}

asio::awaitable<owner_reply> dispatcher::ask_owner(service_id service, host_message message,
                                                   milliseconds patience)
{
    const time_point begun = read_boot_clock();
    asio::steady_timer timer(m_context);
    owner_reply reply;
    while (true) {
        host_message copy = message;
        std::optional<owner_reply> answer = co_await ask_once(service, std::move(copy), patience);
        reply = *answer;
        if (reply.m_answer != owner_answer::not_owner ||
            read_boot_clock() - begun > owner_patience) {
            co_return reply;
        }
        timer.expires_after(owner_retry);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
}

asio::awaitable<caller_answer> dispatcher::answer_submit(const queue_route& route, submission_id id,
                                                         caller_request request)
{
    const std::optional<submission> what = platform::decode_submission(request.m_body);
    if (!what) {
        co_return make_answer(http_status::bad_request, R"({"error":")" + last_reason() + "\"}");
    }
    const service_id service = route.m_contract.m_service;
    submit_request submit{service, route.m_contract.m_queue, id, encode_submission(*what)};
    host_message message(std::move(submit));
    const owner_reply reply =
        co_await ask_owner(service, std::move(message), call_patience(request.m_patience));
    switch (reply.m_answer) {
    case owner_answer::done:
        co_return make_answer(http_status::ok, "{}");
    case owner_answer::refused:
        co_return make_answer(http_status::too_many_requests, {},
                              std::max(retry_soon_s, reply.m_retry_after_s));
    case owner_answer::not_owner:
    case owner_answer::none:
    case owner_answer::store_away:
        log_info("dispatch: submission not taken id=" + id.str() + " service=" + service.str() +
                 " answer=" + std::to_string(static_cast<int>(reply.m_answer)));
        co_return make_answer(http_status::unavailable, {},
                              std::max(retry_soon_s, reply.m_retry_after_s));
    case owner_answer::unknown:
        break;
    }
    log_info("dispatch: submission's outcome is unknown id=" + id.str() +
             " service=" + service.str());
    co_return make_answer(http_status::gateway_timeout);
}

asio::awaitable<caller_answer> dispatcher::measure_caller(caller_request request)
{
    const time_point begun = read_boot_clock();
    const std::string method = request.m_method;
    const queue_route* route =
        m_config ? find_route(*m_config, request.m_host, request.m_path) : nullptr;
    const queue_id queue = route != nullptr ? route->m_contract.m_queue : queue_id("none");
    caller_answer answer = co_await answer_caller(std::move(request));
    m_metrics.record(queue, method, answer.m_status, read_boot_clock() - begun);
    co_return answer;
}

asio::awaitable<caller_answer> dispatcher::answer_metrics(caller_request request)
{
    if (request.m_path != "/metrics") {
        co_return make_answer(http_status::not_found);
    }
    caller_answer answer = make_answer(http_status::ok, describe_metrics());
    answer.m_content_type = "text/plain; version=0.0.4";
    co_return answer;
}

std::string dispatcher::describe_metrics() const
{
    std::string text = m_metrics.to_text();
    const auto line = [&text](const std::string& name, double value) {
        text += name + " " + std::to_string(value) + "\n";
    };
    line("guavabay_store_calls_total", static_cast<double>(m_store.calls()));
    line("guavabay_store_answers", m_store.answers() ? 1 : 0);
    line("guavabay_connections_opened_total", static_cast<double>(m_client.opened()));
    line("guavabay_caller_connections", static_cast<double>(m_callers.connections()));
    const time_point now = read_boot_clock();
    for (const auto& [service, owner] : m_owners) {
        const shard& state = owner->state();
        const std::string labels = "{service=\"" + service.str() + "\"}";
        line("guavabay_open_submissions" + labels,
             static_cast<double>(state.m_open_submissions.size()));
        line("guavabay_workers" + labels, static_cast<double>(state.m_workers.size()));
        line("guavabay_starts_total" + labels, static_cast<double>(state.m_starts));
        line("guavabay_placement_candidates_total" + labels,
             static_cast<double>(state.m_candidates));
        line("guavabay_ends_done_total" + labels, static_cast<double>(state.m_ends_done));
        line("guavabay_ends_other_total" + labels, static_cast<double>(state.m_ends_other));
        line("guavabay_machines_needed" + labels, machines_needed(state, now));
    }
    return text;
}

asio::awaitable<caller_answer> dispatcher::answer_caller(caller_request request)
{
    if (!m_config) {
        co_return make_answer(http_status::unavailable, {}, retry_soon_s);
    }
    const std::string path = request.m_path.substr(0, request.m_path.find('?'));
    const queue_route* found = find_route(*m_config, request.m_host, path);
    if (found == nullptr) {
        co_return make_answer(http_status::not_found);
    }
    const queue_route route = *found;
    const std::string rest = path.substr(route.m_path.size());
    const service_id service = route.m_contract.m_service;
    const milliseconds patience = call_patience(request.m_patience);
    if (rest.empty()) {
        if (request.m_method != "GET") {
            co_return make_answer(http_status::method_not_allowed);
        }
        host_message message(count_request{service, route.m_contract.m_queue});
        const owner_reply reply = co_await ask_owner(service, std::move(message), patience);
        if (reply.m_answer != owner_answer::done) {
            co_return make_answer(http_status::unavailable, {}, retry_soon_s);
        }
        co_return make_answer(http_status::ok, platform::encode_pending_count(reply.m_count));
    }
    if (!platform::is_submission_id(rest)) {
        co_return make_answer(http_status::not_found);
    }
    const submission_id id(rest);
    if (request.m_method == "POST") {
        co_return co_await answer_submit(route, id, std::move(request));
    }
    if (request.m_method == "GET") {
        host_message message(state_request{service, id});
        const owner_reply reply = co_await ask_owner(service, std::move(message), patience);
        if (reply.m_answer == owner_answer::done) {
            co_return make_answer(http_status::ok, platform::encode_state(reply.m_state));
        }
        if (reply.m_answer == owner_answer::none) {
            co_return make_answer(http_status::gone);
        }
        co_return make_answer(http_status::unavailable, {}, retry_soon_s);
    }
    if (request.m_method == "DELETE") {
        host_message message(cancel_request{service, id});
        const owner_reply reply = co_await ask_owner(service, std::move(message), patience);
        if (reply.m_answer == owner_answer::done) {
            co_return make_answer(http_status::ok, "{}");
        }
        if (reply.m_answer == owner_answer::none) {
            co_return make_answer(http_status::gone);
        }
        const bool unknown = reply.m_answer == owner_answer::unknown;
        co_return make_answer(unknown ? http_status::gateway_timeout : http_status::unavailable, {},
                              unknown ? 0 : retry_soon_s);
    }
    co_return make_answer(http_status::method_not_allowed);
}

asio::awaitable<host_message> dispatcher::relay(relay_request request)
{
    http_call what{request.m_method, request.m_target, {}, std::move(request.m_body)};
    const http_answer answer =
        co_await m_store.call_direct(std::move(what), milliseconds(request.m_timeout_ms));
    relay_reply reply;
    reply.m_progress = static_cast<std::uint8_t>(answer.m_progress);
    reply.m_status = answer.m_status;
    reply.m_body = answer.m_body;
    co_return host_message(std::move(reply));
}

asio::awaitable<std::optional<host_message>> dispatcher::answer_peer(host_message message)
{
    if (const auto* what = std::get_if<greeting>(&message)) {
        take_greeting(*what);
        co_return std::nullopt;
    }
    if (auto* call = std::get_if<relay_request>(&message)) {
        host_message reply = co_await relay(std::move(*call));
        co_return std::optional<host_message>(std::move(reply));
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
    else {
        co_return std::nullopt;
    }
    owner_reply reply = co_await answer_as_owner(std::move(service), std::move(message));
    co_return std::optional<host_message>(reply);
}

asio::awaitable<std::optional<cordon_reply>> dispatcher::ask_cordon(cordon_request request)
{
    const auto own = m_owners.find(request.m_service);
    if (own != m_owners.end()) {
        co_return own->second->cordon(request);
    }
    const owner_record* owner = m_registry.owner_of(request.m_service);
    if (owner == nullptr) {
        co_return std::nullopt;
    }
    std::string address = owner->m_host.m_peer_address;
    host_message message(std::move(request));
    constexpr milliseconds cordon_time{500};
    const std::optional<host_message> answer =
        co_await m_peers.call(std::move(address), std::move(message), cordon_time, nullptr);
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
    asio::co_spawn(m_context, run_stop(), asio::detached);
}

asio::awaitable<void> dispatcher::run_stop()
{
    const time_point begun = read_boot_clock();
    log_info("dispatch: stopping shards=" + std::to_string(m_owners.size()));
    co_await m_registry.leave();
    if (m_machines) {
        const std::shared_ptr<machine_duty> duty = m_machines;
        co_await duty->release();
    }
    for (const auto& [shard, owner] : std::map(m_owners)) {
        co_await owner->release();
    }
    m_callers.drain();
    asio::steady_timer timer(m_context);
    const milliseconds longest = m_settings.m_stop_time - stop_margin;
    constexpr milliseconds poll{50};
    while (true) {
        const time_point now = read_boot_clock();
        const bool quiet = m_callers.in_flight() == 0 && now - begun > balancer_time &&
                           now - m_callers.last_request() > poll;
        if (quiet || now - begun > longest) {
            break;
        }
        timer.expires_after(poll);
        error_code ignored;
        co_await timer.async_wait(to_coroutine(ignored));
    }
    co_await m_registry.end();
    log_info("dispatch: stopped in_flight=" + std::to_string(m_callers.in_flight()));
    m_context.stop();
}

} // namespace guavabay
