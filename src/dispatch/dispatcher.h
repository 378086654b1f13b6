#pragma once

#include <map>
#include <memory>
#include <optional>

#include "dispatch/caller_server.h"
#include "dispatch/host_metrics.h"
#include "dispatch/host_settings.h"
#include "dispatch/machine_duty.h"
#include "dispatch/peer_table.h"
#include "dispatch/registry.h"
#include "dispatch/shard_owner.h"

namespace guavabay {

/// An entry host on the platform: answers callers, and owns shards of the work.
class dispatcher {
public:
    /// Opens the sockets. Throws boost::system::system_error when an address is taken.
    dispatcher(asio::io_context& context, host_settings settings);

    /// Begins to serve.
    void start();

    /// Gives everything away in order, answers what was read, and then ends the context.
    void stop();

    /// Takes settings that changed while running.
    void reload(const host_settings& settings);

private:
    asio::awaitable<caller_answer> measure_caller(caller_request request);
    asio::awaitable<caller_answer> answer_caller(caller_request request);
    asio::awaitable<caller_answer> answer_metrics(caller_request request);
    [[nodiscard]] std::string describe_metrics() const;
    asio::awaitable<caller_answer> answer_submit(const queue_route& route, submission_id id,
                                                 caller_request request);
    asio::awaitable<owner_reply> ask_owner(service_id service, host_message message,
                                           milliseconds patience);
    asio::awaitable<std::optional<owner_reply>> ask_once(service_id service, host_message message,
                                                         milliseconds patience);
    asio::awaitable<std::optional<host_message>> answer_peer(host_message message);
    asio::awaitable<owner_reply> answer_as_owner(service_id service, host_message message);
    asio::awaitable<host_message> relay(relay_request request);
    asio::awaitable<caller_answer> answer_readiness(caller_request request);
    asio::awaitable<std::optional<cordon_reply>> ask_cordon(cordon_request request);
    asio::awaitable<void> follow_workers();
    asio::awaitable<void> greet_peers();
    asio::awaitable<void> balance();
    asio::awaitable<void> run_stop();
    void take_operator_changes(const std::vector<std::string>& keys);
    void take_config(const store_item& item);
    void take_greeting(const greeting& what);
    greeting make_greeting(bool with_config) const;
    void gain(const service_id& shard, revision token);
    void lose(const service_id& shard);
    [[nodiscard]] std::vector<queue_contract> queues() const;
    [[nodiscard]] bool store_away_for_all() const;

    asio::io_context& m_context;
    host_settings m_settings;
    host_record m_self;
    http_client m_client;
    store_client m_store;
    host_link m_peers;
    peer_table m_peer_table;
    prefix_watch m_operator;
    registry m_registry;
    caller_server m_callers;
    caller_server m_readiness;
    std::unique_ptr<caller_server> m_metrics_server; ///< Null without an address for it.
    host_metrics m_metrics;
    std::optional<operator_config> m_config;
    std::map<service_id, std::shared_ptr<shard_owner>> m_owners;
    std::shared_ptr<machine_duty> m_machines;
    std::int64_t m_listed = 0; ///< Workers in the last reading of the list.
    bool m_stopping = false;
};

} // namespace guavabay
