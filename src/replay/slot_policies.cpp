#include "replay/slot_policies.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include "broker/slot_broker.h"
#include "core/result.h"
#include "replay/event_queue.h"

namespace guavabay {

namespace {

constexpr milliseconds rebalance_interval{50};
constexpr std::chrono::minutes patience{10};

/// Shared parts of all ways of sharing slots: time, running requests and what is measured.
class slot_run {
public:
    explicit slot_run(slot_scene scene) : m_scene(std::move(scene)), m_random(m_scene.m_seed)
    {
        m_running.resize(m_scene.m_endpoints.size());
        for (const endpoint_listing& listing : m_scene.m_endpoints) {
            m_total_slots += listing.m_slots;
        }
    }
    virtual ~slot_run() = default;
    slot_run(const slot_run&) = delete;
    slot_run& operator=(const slot_run&) = delete;

    /// Plays all requests and adds what was measured under the policy's name.
    void play(const std::string& name, measures& measured)
    {
        for (std::size_t i = 0; i < m_scene.m_requests.size(); ++i) {
            m_events.at(m_scene.m_requests[i].m_at, [this, i] { note_arrival(i); });
        }
        begin();
        while (m_finished < m_scene.m_requests.size() && m_events.step(time_point(patience))) {
        }
        report(name, measured);
    }

protected:
    /// Prepares the policy.
    virtual void begin() {}
    /// Takes a request that has arrived at its entry host.
    virtual void arrive(std::size_t request) = 0;
    /// Takes note that a request has ended at an endpoint.
    virtual void end(std::size_t request) = 0;

    /// Starts a request at an endpoint.
    void run_at(std::size_t request, std::size_t endpoint)
    {
        account();
        --m_waiting;
        ++m_busy;
        const std::uint32_t running = ++m_running[endpoint];
        m_overfilled += running > m_scene.m_endpoints[endpoint].m_slots ? 1 : 0;
        m_scene.m_requests[request].m_endpoint = endpoint;
        m_events.at(m_events.now() + m_scene.m_requests[request].m_run, [this, request] {
            account();
            replay_request& one = m_scene.m_requests[request];
            --m_running[one.m_endpoint];
            --m_busy;
            one.m_done = m_events.now();
            ++m_finished;
            end(request);
        });
    }

    [[nodiscard]] bool has_room(std::size_t endpoint) const
    {
        return m_running[endpoint] < m_scene.m_endpoints[endpoint].m_slots;
    }

    slot_scene m_scene;
    std::mt19937_64 m_random;
    event_queue m_events;
    std::vector<std::uint32_t> m_running;
    std::uint64_t m_messages = 0;
    std::uint64_t m_overfilled = 0;
    std::uint32_t m_total_slots = 0;

private:
    void note_arrival(std::size_t request)
    {
        account();
        ++m_waiting;
        arrive(request);
    }

    /// Adds up the time in which requests waited, and the slots that were busy in it.
    void account()
    {
        const std::chrono::duration<double> passed = m_events.now() - m_accounted;
        m_accounted = m_events.now();
        if (m_waiting > m_total_slots / 4) {
            m_contended += passed.count();
            m_busy_while_contended += passed.count() * std::min(m_busy, m_total_slots);
        }
    }

    void report(const std::string& name, measures& measured) const
    {
        std::map<std::string, std::vector<double>> sojourns;
        for (const replay_request& one : m_scene.m_requests) {
            if (one.m_done == time_point{}) {
                continue;
            }
            const double sojourn = to_milliseconds(one.m_done - one.m_at);
            sojourns[one.m_customer.str()].push_back(sojourn);
        }
        for (auto& [customer, values] : sojourns) {
            std::sort(values.begin(), values.end());
            measured[name + "." + customer + ".p50_ms"] = values[values.size() / 2];
            measured[name + "." + customer + ".p99_ms"] = values[values.size() * 99 / 100];
        }
        const auto requests = static_cast<double>(m_scene.m_requests.size());
        measured[name + ".unfinished"] = requests - static_cast<double>(m_finished);
        measured[name + ".overfilled_share"] = static_cast<double>(m_overfilled) / requests;
        measured[name + ".messages_per_request"] = static_cast<double>(m_messages) / requests;
        measured[name + ".utilisation"] =
            m_contended == 0 ? 1 : m_busy_while_contended / (m_contended * m_total_slots);
    }

    std::size_t m_finished = 0;
    std::uint32_t m_waiting = 0;
    std::uint32_t m_busy = 0;
    time_point m_accounted{};
    double m_contended = 0;
    double m_busy_while_contended = 0;
};

/// One owner keeps the queue; entry hosts reach it over a network of the given delay.
class owner_run : public slot_run {
public:
    owner_run(slot_scene scene, duration network) : slot_run(std::move(scene)), m_network(network)
    {
        m_broker.m_service = service_id("s");
        for (std::size_t i = 0; i < m_scene.m_endpoints.size(); ++i) {
            const endpoint_listing& listing = m_scene.m_endpoints[i];
            m_broker.m_endpoints[listing.m_id].m_listing = listing;
            m_index[listing.m_id] = i;
        }
    }

private:
    void arrive(std::size_t request) override
    {
        m_events.at(m_events.now() + m_network, [this, request] { ask(request); });
    }

    void ask(std::size_t request)
    {
        const replay_request& one = m_scene.m_requests[request];
        slot_ask_message message;
        message.m_request = {1, request};
        message.m_service = m_broker.m_service;
        message.m_customer = one.m_customer;
        message.m_zone = zone_id("z" + std::to_string(one.m_entry % 3 + 1));
        message.m_remaining_us = duration(patience).count();
        broker_output out;
        on_slot_ask(m_broker, host_id("h"), message, lookup(), m_events.now(), out);
        ++m_messages;
        deliver(out);
    }

    void end(std::size_t request) override
    {
        const duration run = m_scene.m_requests[request].m_run;
        m_events.at(m_events.now() + m_network, [this, request, run] {
            slot_release_message message;
            message.m_request = {1, request};
            message.m_service = m_broker.m_service;
            message.m_outcome = slot_outcome::answered;
            message.m_run_us = run.count();
            broker_output out;
            on_slot_release(m_broker, message, lookup(), m_events.now(), out);
            ++m_messages;
            deliver(out);
        });
    }

    void deliver(const broker_output& out)
    {
        for (const auto& [host, message] : out.m_sends) {
            ++m_messages;
            const auto* grant = std::get_if<slot_grant_message>(&message);
            if (grant == nullptr) {
                continue;
            }
            const std::size_t request = grant->m_request.m_sequence;
            const std::size_t endpoint = m_index.at(grant->m_endpoint);
            m_events.at(m_events.now() + m_network,
                        [this, request, endpoint] { run_at(request, endpoint); });
        }
    }

    contract_lookup lookup()
    {
        return [this](const customer_id& customer) { return &m_scene.m_contracts.at(customer); };
    }

    slot_broker m_broker;
    duration m_network;
    std::map<endpoint_id, std::size_t> m_index;
};

/// One queue in the order of arrival, without delay and without regard to customer or class.
class fifo_run : public slot_run {
public:
    using slot_run::slot_run;

private:
    void arrive(std::size_t request) override
    {
        m_queue.push_back(request);
        dispatch();
    }

    void end(std::size_t /*request*/) override { dispatch(); }

    void dispatch()
    {
        for (std::size_t i = 0; i < m_scene.m_endpoints.size(); ++i) {
            while (!m_queue.empty() && has_room(i)) {
                const std::size_t request = m_queue.front();
                m_queue.pop_front();
                run_at(request, i);
            }
        }
    }

    std::deque<std::size_t> m_queue;
};

/// Each entry host picks the less loaded of two endpoints by its own requests alone; what does
/// not fit waits at the endpoint.
class independent_run : public slot_run {
public:
    using slot_run::slot_run;

private:
    void begin() override
    {
        m_own.assign(m_scene.m_entries, std::vector<std::uint32_t>(m_scene.m_endpoints.size()));
        m_queues.resize(m_scene.m_endpoints.size());
    }

    void arrive(std::size_t request) override
    {
        replay_request& one = m_scene.m_requests[request];
        std::vector<std::uint32_t>& own = m_own[one.m_entry];
        const std::size_t first = m_random() % own.size();
        const std::size_t second = m_random() % own.size();
        const std::size_t chosen = own[second] < own[first] ? second : first;
        ++own[chosen];
        one.m_endpoint = chosen;
        if (has_room(chosen)) {
            run_at(request, chosen);
        }
        else {
            ++m_overfilled;
            m_queues[chosen].push_back(request);
        }
    }

    void end(std::size_t request) override
    {
        const replay_request& one = m_scene.m_requests[request];
        --m_own[one.m_entry][one.m_endpoint];
        std::deque<std::size_t>& queue = m_queues[one.m_endpoint];
        if (!queue.empty()) {
            const std::size_t next = queue.front();
            queue.pop_front();
            run_at(next, one.m_endpoint);
        }
    }

    std::vector<std::vector<std::uint32_t>> m_own;
    std::vector<std::deque<std::size_t>> m_queues;
};

/// Slots are lent to entry hosts as credits and shared out anew by need at intervals.
class credit_run : public slot_run {
public:
    using slot_run::slot_run;

private:
    void begin() override
    {
        m_queues.resize(m_scene.m_entries);
        m_credits.assign(m_scene.m_entries, m_total_slots / m_scene.m_entries);
        m_used.assign(m_scene.m_entries, 0);
        schedule();
    }

    void schedule()
    {
        m_events.at(m_events.now() + rebalance_interval, [this] {
            rebalance();
            schedule();
        });
    }

    void rebalance()
    {
        std::uint64_t need = 0;
        for (std::size_t i = 0; i < m_scene.m_entries; ++i) {
            need += m_queues[i].size() + m_used[i] + 1;
        }
        for (std::size_t i = 0; i < m_scene.m_entries; ++i) {
            const std::uint64_t own = m_queues[i].size() + m_used[i] + 1;
            m_credits[i] = static_cast<std::uint32_t>(own * m_total_slots / need);
        }
        m_messages += 2 * m_scene.m_entries;
        for (std::size_t i = 0; i < m_scene.m_entries; ++i) {
            dispatch(i);
        }
    }

    void arrive(std::size_t request) override
    {
        const std::size_t entry = m_scene.m_requests[request].m_entry;
        m_queues[entry].push_back(request);
        dispatch(entry);
    }

    void end(std::size_t request) override
    {
        const std::size_t entry = m_scene.m_requests[request].m_entry;
        --m_used[entry];
        dispatch(entry);
    }

    void dispatch(std::size_t entry)
    {
        while (!m_queues[entry].empty() && m_used[entry] < m_credits[entry]) {
            std::size_t best = m_scene.m_endpoints.size();
            for (std::size_t i = 0; i < m_scene.m_endpoints.size(); ++i) {
                const bool better =
                    best == m_scene.m_endpoints.size() || m_running[i] < m_running[best];
                best = has_room(i) && better ? i : best;
            }
            if (best == m_scene.m_endpoints.size()) {
                return;
            }
            const std::size_t request = m_queues[entry].front();
            m_queues[entry].pop_front();
            ++m_used[entry];
            run_at(request, best);
        }
    }

    std::vector<std::deque<std::size_t>> m_queues;
    std::vector<std::uint32_t> m_credits;
    std::vector<std::uint32_t> m_used;
};

} // namespace

bool play_policy(const std::string& policy, const slot_scene& scene, measures& measured)
{
    std::unique_ptr<slot_run> run;
    if (policy == "ideal") {
        run = std::make_unique<owner_run>(scene, duration::zero());
    }
    else if (policy == "owner") {
        run = std::make_unique<owner_run>(scene, scene.m_network);
    }
    else if (policy == "fifo") {
        run = std::make_unique<fifo_run>(scene);
    }
    else if (policy == "credits") {
        run = std::make_unique<credit_run>(scene);
    }
    else if (policy == "independent") {
        run = std::make_unique<independent_run>(scene);
    }
    else {
        last_reason() = "unknown policy " + policy;
        return false;
    }
    run->play(policy, measured);
    return true;
}

} // namespace guavabay
