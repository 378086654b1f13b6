#pragma once

#include <functional>
#include <memory>

#include "dispatch/host_settings.h"
#include "dispatch/installation.h"
#include "dispatch/prefix_watch.h"
#include "fleet/pool_moves.h"
#include "fleet/upkeep_plan.h"
#include "peer/host_message.h"

namespace guavabay {

/// The shard whose owner orders machines. Its name cannot be a service's.
service_id machine_control_shard();

/// What the duty needs from its host.
struct machine_controller_dependencies {
    asio::io_context* m_context = nullptr;
    http_client* m_client = nullptr;
    store_link* m_store = nullptr;
    const host_settings* m_settings = nullptr;
    const prefix_watch* m_operator = nullptr; ///< The operator's records.
    std::function<time_point()> m_lease_valid_until;
    std::function<const installation*()> m_config; ///< Null before there is one.
    /// Asks a pool's owner to keep machines free; empty when it cannot be reached.
    std::function<asio::awaitable<std::optional<cordon_reply>>(cordon_request)> m_cordon;
};

/// Carries out the operator's waves of upkeep and moves machines between pools, under one token.
/// One host has the duty at a time.
class machine_controller : public std::enable_shared_from_this<machine_controller> {
public:
    /// Makes a holder of the duty; nothing is sent before start.
    machine_controller(machine_controller_dependencies dependencies, revision token);

    /// Begins to follow waves.
    void start();

    /// Gives the duty up.
    void stop() { m_stopped = true; }

    /// Gives the duty up and removes its record, so that another host can take it at once.
    asio::awaitable<void> release();

private:
    asio::awaitable<void> run();
    asio::awaitable<bool> read_progress();
    asio::awaitable<bool> read_machines();
    asio::awaitable<void> send_cordon_requests();
    asio::awaitable<void> advance_wave(upkeep_progress& wave);
    void advance_moves();
    void log_delays(upkeep_progress& wave);
    asio::awaitable<void> send_move_order(machine_id machine);
    asio::awaitable<void> send_upkeep_order(std::int64_t wave, machine_id machine);
    bool try_acquire_order_permit();
    asio::awaitable<bool> write_progress(const upkeep_progress& wave);
    [[nodiscard]] bool is_lease_valid() const;
    void load_new_waves();

    machine_controller_dependencies m_dependencies;
    fencing_token m_token;
    bool m_stopped = false;
    bool m_progress_loaded = false;
    std::map<std::int64_t, upkeep_progress> m_waves;
    std::map<std::int64_t, std::set<machine_id>>
        m_recorded_begun; ///< As written by former holders.
    std::map<std::int64_t, std::set<machine_id>> m_recorded_intents; ///< Orders of former holders.
    std::set<std::int64_t> m_succeeded;
    std::vector<machine_listing> m_listings;
    double m_order_permits = 0; ///< Orders that may be sent at once.
    time_point m_permits_refilled_at{};
    move_state m_moves;
    std::set<machine_id> m_drained_machines; ///< Nothing runs on them, by their pools' owners.
    std::map<service_id, pool_load> m_loads; ///< As the pools' owners told last.
};

} // namespace guavabay
