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

/// The shard whose owner orders machines. Its name cannot be a service's.
service_id machines_shard();

/// What the duty needs from its host.
struct duty_surroundings {
    asio::io_context* m_context = nullptr;
    http_client* m_client = nullptr;
    store_client* m_store = nullptr;
    const host_settings* m_settings = nullptr;
    const prefix_watch* m_operator = nullptr; ///< The operator's records.
    std::function<time_point()> m_proven_until;
    std::function<const operator_config*()> m_config; ///< Null before there is one.
    /// Asks a pool's owner to keep machines free; empty when it cannot be reached.
    std::function<asio::awaitable<std::optional<cordon_reply>>(cordon_request)> m_cordon;
};

/// Carries out the operator's waves of upkeep and moves machines between pools, under one token.
/// One host has the duty at a time.
class machine_duty : public std::enable_shared_from_this<machine_duty> {
public:
    /// Makes a holder of the duty; nothing is sent before start.
    machine_duty(duty_surroundings surroundings, revision token);

    /// Begins to follow waves.
    void start();

    /// Gives the duty up.
    void lose() { m_over = true; }

    /// Gives the duty up and removes its record, so that another host can take it at once.
    asio::awaitable<void> release();

private:
    asio::awaitable<void> run();
    asio::awaitable<bool> read_progress();
    asio::awaitable<bool> read_machines();
    asio::awaitable<void> ask_pools();
    asio::awaitable<void> advance_wave(upkeep_progress& wave);
    void advance_moves();
    void log_delays(upkeep_progress& wave);
    asio::awaitable<void> move(machine_id machine);
    asio::awaitable<void> order(std::int64_t wave, machine_id machine);
    bool take_order_allowance();
    asio::awaitable<bool> write_progress(const upkeep_progress& wave);
    [[nodiscard]] bool is_proven() const;
    void take_waves();

    duty_surroundings m_around;
    fencing_token m_token;
    bool m_over = false;
    bool m_has_read = false;
    std::map<std::int64_t, upkeep_progress> m_waves;
    std::map<std::int64_t, std::set<machine_id>> m_begun;    ///< As written by former holders.
    std::map<std::int64_t, std::set<machine_id>> m_intended; ///< Orders of former holders.
    std::set<std::int64_t> m_succeeded;
    std::vector<machine_listing> m_listings;
    double m_allowance = 0; ///< Orders that may be sent at once.
    time_point m_allowance_at{};
    move_state m_moves;
    std::set<machine_id> m_clear;            ///< Nothing runs on them, by their pools' owners.
    std::map<service_id, pool_load> m_loads; ///< As the pools' owners told last.
};

} // namespace guavabay
