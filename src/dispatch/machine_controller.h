#pragma once

#include <functional>
#include <memory>

#include "dispatch/host_settings.h"
#include "dispatch/operator_config.h"
#include "dispatch/prefix_watch.h"
#include "fleet/pool_moves.h"
#include "fleet/upkeep_plan.h"
#include "peer/host_message.h"

namespace guavabay {

/// Returns the name of the shard whose owner runs the machine controller. No service can have this
/// name.
service_id machine_control_shard();

/// What the controller uses of its host. The pointers have to outlive the controller.
struct machine_controller_dependencies {
    asio::io_context* m_context = nullptr;
    http_client* m_client = nullptr;
    store_client* m_store = nullptr;
    const host_settings* m_settings = nullptr;
    const prefix_watch* m_operator = nullptr; ///< Records written by the operator.
    /// Boot-clock time until which no other host can run the controller.
    std::function<time_point()> m_lease_valid_until;
    std::function<const operator_config*()> m_config; ///< Null until one was read.
    /// Asks the owner of a pool to drain machines and to report the pool's load; empty if the owner
    /// cannot be reached.
    std::function<asio::awaitable<std::optional<cordon_reply>>(cordon_request)> m_cordon;
};

/// Carries out the maintenance waves (upkeep) that the operator requests and moves machines between
/// pools. The owner of machine_control_shard() runs it, so at most one host does so at a time; each
/// order to the platform carries the fencing token of that ownership.
class machine_controller : public std::enable_shared_from_this<machine_controller> {
public:
    /// Creates a controller that acts under a fencing token. Sends nothing before start().
    machine_controller(machine_controller_dependencies dependencies, revision token);

    /// Starts the control loop on the I/O context.
    void start();

    /// Stops the control loop after its current step; the ownership record stays.
    void stop() { m_stopped = true; }

    /// Stops the control loop and removes the ownership record, so that another host can take over
    /// without waiting for the lease to expire.
    asio::awaitable<void> release();

private:
    /// Runs one round per interval until the controller is stopped.
    asio::awaitable<void> run();
    /// Reads the progress that earlier controllers stored; false if the store did not answer.
    asio::awaitable<bool> read_progress();
    /// Reads all records under a prefix; false if the store did not answer.
    asio::awaitable<bool> read_records(std::string prefix, std::vector<store_item>& items);
    /// Reads the platform's list of machines; false, with the old list kept, if a page is missing.
    asio::awaitable<bool> read_machines();
    /// Tells each pool which machines to drain and collects drained machines and loads.
    asio::awaitable<void> send_cordon_requests();
    /// Requests to the owners of all pools that are open at the same time.
    struct cordon_round {
        cordon_round(asio::io_context& context, std::size_t requests)
            : m_open(requests), m_all_answered(context, asio::steady_timer::time_point::max())
        {
        }

        std::size_t m_open;
        asio::steady_timer m_all_answered; ///< Cancelled when no request is open.
    };
    /// Sends one of these requests and records the reply.
    asio::awaitable<void> request_cordon(std::shared_ptr<cordon_round> round,
                                         cordon_request request);
    /// Logs the machines that each pool has and needs, at intervals.
    void log_pools();
    /// Stores the progress of a wave, then orders the maintenance of its drained machines.
    asio::awaitable<void> advance_wave(upkeep_progress& wave);
    /// Chooses machines to move between pools and orders the moves whose machines are drained.
    void advance_moves();
    /// Logs, once per machine, that a machine takes long to drain.
    void log_delays(upkeep_progress& wave);
    /// Sends an order to the platform, unless this host may no longer control the machines when
    /// the connection is open.
    asio::awaitable<http_answer> send_order(http_call order);
    /// Orders the platform to move a machine and applies the outcome.
    asio::awaitable<void> send_move_order(machine_id machine);
    /// Orders the platform to take a machine down for maintenance and applies the outcome.
    asio::awaitable<void> send_upkeep_order(std::int64_t wave, machine_id machine);
    /// Takes one permit of the token bucket that limits the rate of orders; false if none is left.
    bool try_acquire_order_permit();
    /// Stores the progress and the status of a wave; stops the controller if it is no longer the
    /// owner.
    asio::awaitable<bool> write_progress(const upkeep_progress& wave);
    /// True while no other host can run the controller.
    [[nodiscard]] bool is_lease_valid() const;
    /// Pools whose machines are off until they are moved.
    [[nodiscard]] std::set<service_id> standby_pools() const;
    /// Adds waves that the operator requested since the last round.
    void load_new_waves();

    machine_controller_dependencies m_dependencies;
    fencing_token m_token;
    bool m_stopped = false;
    bool m_progress_loaded = false;
    std::map<std::int64_t, upkeep_progress> m_waves;
    /// Machines that have begun their maintenance according to the store, by wave.
    std::map<std::int64_t, std::set<machine_id>> m_recorded_begun;
    /// Machines that an earlier controller may have ordered down, by wave.
    std::map<std::int64_t, std::set<machine_id>> m_recorded_intents;
    std::set<std::int64_t> m_succeeded; ///< Waves recorded as succeeded.
    std::vector<machine_listing> m_listings;
    time_point m_next_pool_log{};
    std::size_t m_orders_in_flight = 0;
    double m_order_permits = 0; ///< Orders that may be sent now; fractions accumulate.
    time_point m_permits_refilled_at{};
    move_state m_moves;
    std::set<machine_id> m_drained_machines; ///< Cordoned and without runs, as their pools report.
    std::map<service_id, pool_load>
        m_loads; ///< As reported by the owners of the pools in this round.
};

} // namespace guavabay
