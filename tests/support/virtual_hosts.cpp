#include "support/virtual_hosts.h"

#include <boost/json.hpp>

#include "contract/digest.h"

namespace guavabay::test {

namespace json = boost::json;

namespace {

constexpr microseconds network_delay{500};
constexpr milliseconds late_effect{35};           ///< After another host's next call.
constexpr milliseconds effect_after_timeout{150}; ///< After the caller has tried again.
constexpr milliseconds store_delay{2};
constexpr milliseconds late_repeat{700};
constexpr wall_time start_of_calendar{std::chrono::seconds(1'790'000'000)};

} // namespace

virtual_hosts::virtual_hosts(std::size_t count, std::uint64_t seed) : m_random(seed)
{
    for (std::size_t i = 1; i <= count; ++i) {
        start("h" + std::to_string(i), "z" + std::to_string((i - 1) % 3 + 1));
    }
}

wall_time virtual_hosts::wall() const
{
    return start_of_calendar + std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch());
}

void virtual_hosts::run_for(duration length)
{
    const time_point until = m_now + length;
    while (m_events.step(until, m_now)) {
    }
    m_now = until;
}

bool virtual_hosts::run_until(const std::function<bool()>& holds, duration limit)
{
    const time_point until = m_now + limit;
    while (!holds()) {
        if (m_now >= until) {
            return false;
        }
        run_for(milliseconds(1));
    }
    return true;
}

void virtual_hosts::start(const std::string& name, const std::string& zone)
{
    node_settings settings = m_common;
    settings.m_self.m_host = host_id(name);
    settings.m_self.m_zone = zone_id(zone);
    settings.m_self.m_incarnation = incarnation(m_next_incarnation++);
    settings.m_self.m_peer_address = name;
    settings.m_seed_addresses = {"h1", "h2", "h3"};
    const std::uint64_t run = m_hosts[name].m_run + 1;
    m_hosts[name] =
        host{std::make_unique<node_state>(std::move(settings), m_now), false, false, {}, {}, run};
    m_events.at(m_now + microseconds(m_random() % 50'000),
                [this, name, run] { tick_host(name, run); });
}

void virtual_hosts::kill(const std::string& name)
{
    host& one = m_hosts.at(name);
    const lease_id lease = one.m_node->m_lease.m_lease;
    one.m_node.reset();
    ++one.m_run;
    m_events.at(m_now + seconds(10), [this, lease] { m_store.end_lease(lease); });
}

void virtual_hosts::stop(const std::string& name)
{
    send_event(name, stop_wanted{});
}

void virtual_hosts::freeze(const std::string& name)
{
    m_hosts.at(name).m_frozen = true;
}

void virtual_hosts::thaw(const std::string& name)
{
    host& one = m_hosts.at(name);
    one.m_frozen = false;
    const std::vector<std::function<void()>> held = std::move(one.m_held_back);
    one.m_held_back.clear();
    for (const auto& action : held) {
        action();
    }
    const std::uint64_t run = one.m_run;
    m_events.at(m_now, [this, name, run] { tick_host(name, run); });
}

void virtual_hosts::tick_host(const std::string& name, std::uint64_t run)
{
    host& one = m_hosts.at(name);
    if (one.m_run != run || !one.m_node || one.m_frozen) {
        return;
    }
    node_output out;
    follow_store(name, one);
    tick(*one.m_node, m_now, wall(), out);
    carry_out(name, out);
    m_events.at(m_now + tick_interval, [this, name, run] { tick_host(name, run); });
}

void virtual_hosts::follow_store(const std::string& name, host& one)
{
    const bool reachable = !m_store.m_away && !m_cut_from_store.contains(name);
    if (reachable != one.m_watching) {
        one.m_watching = reachable;
        send_event(name, store_event(store_reachability{reachable}));
        if (reachable) {
            const store_update update = m_store.read_all();
            one.m_seen = update.m_revision;
            send_event(name, store_event(update));
        }
        return;
    }
    if (reachable) {
        const store_update update = m_store.changes_since(one.m_seen);
        one.m_seen = update.m_revision;
        if (!update.m_records.empty()) {
            send_event(name, store_event(update));
        }
    }
}

void virtual_hosts::send_event(const std::string& name, node_event event)
{
    host& one = m_hosts.at(name);
    if (!one.m_node) {
        return;
    }
    if (one.m_frozen) {
        const std::uint64_t run = one.m_run;
        one.m_held_back.push_back([this, name, run, event = std::move(event)] {
            if (m_hosts.at(name).m_run == run) {
                send_event(name, event);
            }
        });
        return;
    }
    node_output out;
    step(*one.m_node, event, m_now, wall(), out);
    carry_out(name, out);
}

void virtual_hosts::deliver(const std::string& from, const std::string& to,
                            const peer_packet& packet, duration delay)
{
    if (m_cut && m_cut(from, to)) {
        return;
    }
    const auto target = m_hosts.find(to);
    if (target == m_hosts.end()) {
        return;
    }
    const std::uint64_t run = target->second.m_run;
    m_events.at(m_now + delay, [this, to, packet, run] {
        if (m_hosts.at(to).m_run == run) {
            send_event(to, packet_received{packet});
        }
    });
}

void virtual_hosts::carry_out(const std::string& name, node_output& out)
{
    host& one = m_hosts.at(name);
    const member& self = one.m_node->m_members.self();
    std::map<std::string, peer_packet> packets;
    for (auto& [to, message] : out.m_sends) {
        if (one.m_node->m_members.find(to) != nullptr) {
            packets[to.str()].m_messages.push_back(std::move(message));
        }
    }
    for (auto& [to, message] : out.m_address_sends) {
        packets[to].m_messages.push_back(std::move(message));
    }
    std::uniform_real_distribution<double> share(0, 1);
    for (auto& [to, packet] : packets) {
        packet.m_sender = self.m_host;
        packet.m_incarnation = self.m_incarnation;
        ++m_packets;
        m_messages += packet.m_messages.size();
        if (share(m_random) >= m_loss) {
            deliver(name, to, packet, network_delay + microseconds(m_random() % 500));
        }
        if (share(m_random) < m_repeat) {
            deliver(name, to, packet, late_repeat);
        }
    }
    for (edge_answer& answer : out.m_edge) {
        const request_id id = std::visit([](const auto& a) { return a.m_request; }, answer);
        m_edge[id] = std::move(answer);
    }
    for (operator_answer& answer : out.m_operators) {
        m_answers[answer.m_number] = std::move(answer);
    }
    for (store_call& call : out.m_store) {
        if (std::holds_alternative<store_resync>(call.m_operation)) {
            one.m_watching = false;
            continue;
        }
        run_store_call(name, call);
    }
    check_slots();
}

void virtual_hosts::run_store_call(const std::string& name, const store_call& call)
{
    const store_fate fate = m_fate ? m_fate(name, call) : store_fate::answered;
    store_result result;
    result.m_number = call.m_number;
    const bool arrives = !m_cut_from_store.contains(name) && fate != store_fate::dropped;
    const bool told = fate == store_fate::answered || fate == store_fate::late;
    if (arrives && fate == store_fate::late) {
        m_events.at(m_now + late_effect,
                    [this, name, call] { answer_store_call(name, m_store.call(call)); });
        return;
    }
    if (arrives && fate == store_fate::late_and_lost) {
        m_events.at(m_now + effect_after_timeout, [this, call] { m_store.call(call); });
    }
    else if (arrives) {
        const store_result answer = m_store.call(call);
        result = told ? answer : result;
    }
    answer_store_call(name, result);
}

void virtual_hosts::answer_store_call(const std::string& name, const store_result& result)
{
    const auto jitter = static_cast<std::uint64_t>(duration(m_store_jitter).count());
    const microseconds late(jitter == 0 ? 0 : m_random() % jitter);
    const std::uint64_t run = m_hosts.at(name).m_run;
    m_events.at(m_now + store_delay + late, [this, name, run, result] {
        if (m_hosts.at(name).m_run == run) {
            send_event(name, store_event(result));
        }
    });
}

void virtual_hosts::check_slots()
{
    for (const auto& [endpoint, slots] : m_slots) {
        const std::uint32_t used = used_at(endpoint);
        m_most_overfilled = std::max(m_most_overfilled, used > slots ? used - slots : 0);
    }
}

std::uint64_t virtual_hosts::apply(const std::string& name, const std::string& body,
                                   const std::string& operation, const std::string& who)
{
    operator_request request;
    request.m_number = m_next_call++;
    request.m_verb = operator_verb::apply;
    request.m_customer = customer_id(json::parse(body).at("customer").as_string().c_str());
    request.m_body = body;
    request.m_operation = operation_id(operation);
    request.m_operator = who;
    send_event(name, request);
    return request.m_number;
}

std::uint64_t virtual_hosts::end(const std::string& name, const std::string& customer,
                                 const std::string& operation)
{
    operator_request request;
    request.m_number = m_next_call++;
    request.m_verb = operator_verb::end;
    request.m_customer = customer_id(customer);
    request.m_operation = operation_id(operation);
    request.m_operator = "anna";
    send_event(name, request);
    return request.m_number;
}

std::uint64_t virtual_hosts::ask(const std::string& name, operator_verb verb,
                                 const std::string& customer)
{
    operator_request request;
    request.m_number = m_next_call++;
    request.m_verb = verb;
    request.m_customer = customer_id(customer);
    send_event(name, request);
    return request.m_number;
}

std::uint64_t virtual_hosts::fleet_call(const std::string& name, operator_verb verb,
                                        const std::string& body, const std::string& machine,
                                        bool dry_run)
{
    operator_request request;
    request.m_number = m_next_call++;
    request.m_verb = verb;
    request.m_body = body;
    request.m_host = machine;
    request.m_dry_run = dry_run;
    send_event(name, request);
    return request.m_number;
}

std::uint64_t virtual_hosts::operate(const std::string& name, operator_request request)
{
    request.m_number = m_next_call++;
    send_event(name, request);
    return request.m_number;
}

const operator_answer* virtual_hosts::answer(std::uint64_t number) const
{
    const auto found = m_answers.find(number);
    return found == m_answers.end() ? nullptr : &found->second;
}

request_id virtual_hosts::want(const std::string& name, const std::string& customer,
                               const std::string& service, duration allowed)
{
    slot_wanted wanted;
    wanted.m_request = {stable_hash(name), m_next_request++};
    wanted.m_customer = customer_id(customer);
    wanted.m_service = service_id(service);
    wanted.m_allowed = allowed;
    send_event(name, edge_event(wanted));
    return wanted.m_request;
}

void virtual_hosts::finish(const std::string& name, const request_id& request, slot_outcome outcome,
                           duration run)
{
    send_event(name, edge_event(slot_finished{request, outcome, run}));
}

request_id virtual_hosts::claim(const std::string& name, std::uint64_t key_hash,
                                std::uint64_t fingerprint, duration allowed)
{
    const member& self = node(name).m_settings.m_self;
    key_wanted wanted;
    wanted.m_record.m_key_hash = key_hash;
    wanted.m_record.m_fingerprint = fingerprint;
    wanted.m_record.m_request = {process_origin(self.m_host, self.m_incarnation), m_next_request++};
    wanted.m_allowed = allowed;
    send_event(name, edge_event(wanted));
    return wanted.m_record.m_request;
}

void virtual_hosts::finish_claim(const std::string& name, const request_id& request,
                                 std::uint64_t key_hash, key_state state, std::uint64_t fingerprint)
{
    key_record record;
    record.m_key_hash = key_hash;
    record.m_fingerprint = fingerprint;
    record.m_request = request;
    record.m_state = state;
    send_event(name, edge_event(key_finished{record}));
}

const edge_answer* virtual_hosts::edge(const request_id& request) const
{
    const auto found = m_edge.find(request);
    return found == m_edge.end() ? nullptr : &found->second;
}

bool virtual_hosts::granted(const request_id& request) const
{
    const edge_answer* got = edge(request);
    if (got == nullptr) {
        return false;
    }
    const auto* decided = std::get_if<key_decided>(got);
    return std::holds_alternative<slot_given>(*got) || (decided != nullptr && !decided->m_kind);
}

std::optional<error_kind> virtual_hosts::refusal(const request_id& request) const
{
    const edge_answer* got = edge(request);
    if (got == nullptr) {
        return std::nullopt;
    }
    if (const auto* denied = std::get_if<slot_denied>(got)) {
        return denied->m_kind;
    }
    const auto* decided = std::get_if<key_decided>(got);
    return decided == nullptr ? std::nullopt : decided->m_kind;
}

std::vector<std::string> virtual_hosts::running() const
{
    std::vector<std::string> names;
    for (const auto& [name, one] : m_hosts) {
        if (one.m_node) {
            names.push_back(name);
        }
    }
    return names;
}

void virtual_hosts::list_endpoint(const std::string& service, const std::string& name,
                                  const std::string& zone, std::uint32_t slots, bool leaving)
{
    endpoint_listing listing;
    listing.m_address = "127.0.0.1:1";
    listing.m_zone = zone_id(zone);
    listing.m_rack = rack_id("r-" + name);
    listing.m_slots = slots;
    listing.m_leaving = leaving;
    m_slots[name] = slots;
    m_store.put("endpoint/" + service + "/" + name, format_endpoint(listing));
}

std::uint32_t virtual_hosts::used_at(const std::string& endpoint) const
{
    std::uint32_t used = 0;
    for (const auto& [name, one] : m_hosts) {
        if (!one.m_node) {
            continue;
        }
        for (const auto& [id, slot] : one.m_node->m_active) {
            used += slot.m_endpoint.str() == endpoint ? 1U : 0U;
        }
    }
    return used;
}

bool virtual_hosts::finished(const std::string& name) const
{
    const host& one = m_hosts.at(name);
    return !one.m_node || has_finished(*one.m_node);
}

std::string make_contract(const std::string& customer, const std::string& service,
                          const std::string& changes)
{
    json::object grant{{"name", service},           {"class", "interactive"},
                       {"rate_per_second", 1000},   {"burst", 1000},
                       {"concurrency", 100},        {"queue_limit", 1000},
                       {"queue_deadline_ms", 3000}, {"run_limit_ms", 5000}};
    json::object terms{{"customer", customer},
                       {"keys_sha256", json::array{format_digest(digest_of("key-" + customer))}},
                       {"begins", "2026-01-01T00:00:00Z"},
                       {"on_isolation", "stop"}};
    const json::value overrides = json::parse(changes);
    for (const auto& member : overrides.as_object()) {
        const std::string name(member.key().data(), member.key().size());
        json::object& target = grant.contains(name) ? grant : terms;
        target[name] = member.value();
    }
    terms["services"] = json::array{grant};
    return json::serialize(terms);
}

} // namespace guavabay::test
