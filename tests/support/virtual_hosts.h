#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "node/node.h"
#include "replay/event_queue.h"
#include "support/fake_store.h"

namespace guavabay::test {

/// What becomes of a call to the store: whether it takes effect at once, after others, after its
/// caller has given up or never, and whether its answer arrives.
enum class store_fate : std::uint8_t { answered, lost, late, late_and_lost, dropped };

/// Entry hosts' decisions under a paused clock, with a fake store and a fake network between
/// them. Everything happens in the order of virtual time; one seed gives one run.
class virtual_hosts {
public:
    /// Makes hosts h1, h2, ... in zones z1, z2, z3 in turn, and starts them.
    explicit virtual_hosts(std::size_t count, std::uint64_t seed = 1);

    /// Lets time pass.
    void run_for(duration length);

    /// Lets time pass until a condition holds; false when it does not within the limit.
    bool run_until(const std::function<bool()>& holds, duration limit);

    /// Starts a host, again or for the first time, with nothing but its settings.
    void start(const std::string& host, const std::string& zone);

    /// Ends a host's process at once.
    void kill(const std::string& host);

    /// Asks a host's process for a planned stop.
    void stop(const std::string& host);

    /// Stops a host's process without ending it.
    void freeze(const std::string& host);

    /// Lets a frozen process go on; what was sent to it meanwhile arrives now.
    void thaw(const std::string& host);

    /// Loses everything that was sent to a frozen host.
    void forget_held_back(const std::string& host) { m_hosts.at(host).m_held_back.clear(); }

    /// Applies a contract through a host; the answer arrives under the returned number.
    std::uint64_t apply(const std::string& host, const std::string& body,
                        const std::string& operation, const std::string& who = "anna");

    /// Ends a contract through a host.
    std::uint64_t end(const std::string& host, const std::string& customer,
                      const std::string& operation);

    /// Asks a host for the status or the proof of a customer.
    std::uint64_t ask(const std::string& host, operator_verb verb, const std::string& customer);

    /// Sends a call about the fleet to a host.
    std::uint64_t fleet_call(const std::string& host, operator_verb verb, const std::string& body,
                             const std::string& machine, bool dry_run);

    /// Sends any operator's call to a host; the answer arrives under the returned number.
    std::uint64_t operate(const std::string& host, operator_request request);

    /// The answer to an operator's call; null while there is none.
    [[nodiscard]] const operator_answer* answer(std::uint64_t number) const;

    /// Wants a slot at a host; the answer arrives under the returned id.
    request_id want(const std::string& host, const std::string& customer,
                    const std::string& service, duration allowed = seconds(3));

    /// Gives a slot back.
    void finish(const std::string& host, const request_id& request,
                slot_outcome outcome = slot_outcome::answered, duration run = milliseconds(10));

    /// Claims an idempotency key at a host.
    request_id claim(const std::string& host, std::uint64_t key_hash, std::uint64_t fingerprint = 7,
                     duration allowed = seconds(3));

    /// Says how the request under a key ended.
    void finish_claim(const std::string& host, const request_id& request, std::uint64_t key_hash,
                      key_state state, std::uint64_t fingerprint = 7);

    /// The answer to a want or a claim; null while there is none.
    [[nodiscard]] const edge_answer* edge(const request_id& request) const;

    /// True when the request has a slot.
    [[nodiscard]] bool granted(const request_id& request) const;

    /// The kind with which a want or a claim was refused; empty when it was not.
    [[nodiscard]] std::optional<error_kind> refusal(const request_id& request) const;

    /// A running host's decisions.
    [[nodiscard]] node_state& node(const std::string& host) { return *m_hosts.at(host).m_node; }

    /// The hosts that run, frozen ones included.
    [[nodiscard]] std::vector<std::string> running() const;

    /// Writes an endpoint's listing into the store.
    void list_endpoint(const std::string& service, const std::string& name, const std::string& zone,
                       std::uint32_t slots, bool leaving = false);

    /// Slots in use at an endpoint over all hosts that run.
    [[nodiscard]] std::uint32_t used_at(const std::string& endpoint) const;

    /// True when a planned stop of a host has finished.
    [[nodiscard]] bool finished(const std::string& host) const;

    /// The present moment of the virtual clock.
    [[nodiscard]] time_point now() const { return m_now; }

    node_settings m_common; ///< What the settings of hosts that start from now on share.
    fake_store m_store;
    std::function<bool(const std::string& from, const std::string& to)> m_cut; ///< Lost packets.
    std::set<std::string> m_cut_from_store;
    double m_loss = 0; ///< Share of packets that are lost.
    std::function<store_fate(const std::string& host, const store_call& call)> m_fate;
    milliseconds m_store_jitter{0}; ///< Results of the store overtake each other by up to this.
    double m_repeat = 0;            ///< Share of packets that arrive twice, the second time late.
    std::uint64_t m_packets = 0;
    std::uint64_t m_messages = 0;
    std::uint32_t m_most_overfilled = 0; ///< Most slots in use above an endpoint's number.

private:
    struct host {
        std::unique_ptr<node_state> m_node;
        bool m_frozen = false;
        bool m_watching = false;
        revision m_seen;
        std::vector<std::function<void()>> m_held_back;
        std::uint64_t m_run = 0; ///< Counts starts, so that nothing reaches a later process.
    };

    void tick_host(const std::string& name, std::uint64_t run);
    void send_event(const std::string& name, node_event event);
    void carry_out(const std::string& name, node_output& out);
    void deliver(const std::string& from, const std::string& to, const peer_packet& packet,
                 duration delay);
    void follow_store(const std::string& name, host& one);
    void run_store_call(const std::string& name, const store_call& call);
    void answer_store_call(const std::string& name, const store_result& result);
    void check_slots();
    [[nodiscard]] wall_time wall() const;

    time_point m_now{seconds(1000)};
    std::mt19937_64 m_random;
    event_queue m_events;
    std::map<std::string, host> m_hosts;
    std::map<std::uint64_t, operator_answer> m_answers;
    std::map<request_id, edge_answer> m_edge;
    std::map<std::string, std::uint32_t> m_slots;
    std::uint64_t m_next_call = 1'000'000;
    std::uint64_t m_next_request = 1;
    std::uint64_t m_next_incarnation = 1;
};

/// A contract's text for one customer with one interactive service.
std::string make_contract(const std::string& customer, const std::string& service,
                          const std::string& changes = "{}");

} // namespace guavabay::test
