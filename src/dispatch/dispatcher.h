#pragma once

#include <map>
#include <memory>
#include <optional>

#include "dispatch/caller_server.h"
#include "dispatch/config_fetch.h"
#include "dispatch/host_metrics.h"
#include "dispatch/host_settings.h"
#include "dispatch/machine_controller.h"
#include "dispatch/peer_table.h"
#include "dispatch/quota_exchange.h"
#include "dispatch/registry.h"
#include "dispatch/request_notes.h"
#include "dispatch/shard_owner.h"
#include "dispatch/worker_client.h"
#include "dispatch/worker_directory.h"
#include "net/call_limiter.h"

namespace guavabay {

/// Entry host of the platform: serves callers and owns some of the shards. Each service is one
/// shard; requests for a shard that another host owns are forwarded to that host. Must be used on
/// the thread that runs its io_context.
class dispatcher {
public:
    /// Opens the listening sockets. Throws boost::system::system_error if an address cannot be
    /// bound.
    dispatcher(asio::io_context& context, host_settings settings);

    /// Starts to follow the configuration, to register in the store and to compete for shards.
    void start();

    /// Releases all shards, waits until the requests that were read are answered, at most until
    /// shortly before the end of the grace period, and stops the io_context. Further calls do
    /// nothing.
    void stop();

    /// Applies settings that may change while running, which are only the seeds.
    void reload(const host_settings& settings);

private:
    /// Answers a caller and records the metrics of the request.
    asio::awaitable<caller_answer> handle_caller_request(caller_request request);
    /// Answers a caller by the route, method and submission of the request.
    asio::awaitable<caller_answer> route_caller_request(caller_request request);
    /// What to log about a request to an owner that began at a moment and is answered now.
    [[nodiscard]] request_note make_request_note(const queue_route& route, const submission_id& id,
                                                 std::string_view method, const owner_reply& reply,
                                                 time_point started_at) const;
    asio::awaitable<caller_answer> handle_metrics_request(caller_request request);
    [[nodiscard]] std::string format_metrics() const;
    asio::awaitable<caller_answer> handle_submit(const queue_route& route, submission_id id,
                                                 organisation_id organisation,
                                                 caller_request request);
    /// Sends a message to the owner of a service, and retries for a short time while it has none.
    asio::awaitable<owner_reply> call_owner(service_id service, host_message message,
                                            milliseconds timeout);
    /// Sends a message to the owner of a service, which may be this host, once.
    asio::awaitable<std::optional<owner_reply>>
    call_owner_once(service_id service, host_message message, milliseconds timeout);
    /// Handles a message of another host; an empty result sends no reply.
    asio::awaitable<std::optional<host_message>> handle_peer_message(host_message message,
                                                                     bool reply_expected);
    /// Handles a message if this host owns the service; replies not_owner otherwise.
    asio::awaitable<owner_reply> handle_as_owner(service_id service, host_message message);
    /// Calls the store for a peer that it does not serve.
    asio::awaitable<host_message> relay_store_call(relay_request request);
    asio::awaitable<caller_answer> handle_readiness_request(caller_request request);
    /// Asks the owner of a service to keep machines free; empty if it cannot be reached.
    asio::awaitable<std::optional<cordon_reply>> request_cordon(cordon_request request);
    /// Follows the worker list while this host owns shards, and hands it to new owners.
    asio::awaitable<void> supply_workers();
    asio::awaitable<void> send_greetings();
    /// Asks peers at intervals whether the store answers them, while it does not answer this host
    /// and this host owns shards.
    asio::awaitable<void> ask_about_store_loop();
    asio::awaitable<void> ask_about_store(std::string peer);
    /// Releases a shard at intervals while this host owns too many.
    asio::awaitable<void> rebalance_shards();
    asio::awaitable<void> shut_down();
    void handle_operator_changes(const std::vector<std::string>& keys);
    void apply_config(const store_item& item);
    void handle_greeting(const greeting& received);
    /// Revision of the newest known configuration; zero if there is none.
    [[nodiscard]] std::int64_t config_revision() const;
    /// Fetches the configuration from a peer if that is due.
    void fetch_config_if_due();
    asio::awaitable<void> fetch_config(std::string peer);
    greeting make_greeting(bool with_config) const;
    void on_shard_gained(const service_id& shard, revision token);
    void on_shard_lost(const service_id& shard);
    [[nodiscard]] std::vector<queue_contract> queue_contracts() const;
    [[nodiscard]] std::set<service_id> configured_services() const;
    /// Services that are configured or whose shards may hold submissions.
    [[nodiscard]] std::set<service_id> services_with_work() const;
    /// Sets the services that share the caps of organisations.
    void update_shard_count();
    /// True if the store serves neither this host nor, by their latest greetings, any peer.
    [[nodiscard]] bool is_store_unreachable_for_all() const;
    /// True if this host was cut off for too long to rely on the keys that it knows.
    [[nodiscard]] bool is_refusing_keys();

    asio::io_context& m_context;
    host_settings m_settings;
    std::shared_ptr<connection_budget> m_budget;                 ///< Of all ports.
    boost::intrusive_ptr<submission_budget> m_submission_budget; ///< Of all owners.
    host_record m_self; ///< This host, as registered in the store.
    http_client m_client;
    store_client m_store;
    worker_client m_worker_client;
    call_limiter m_orders;        ///< To workers, of all owners.
    call_limiter m_relayed_calls; ///< To workers and to the store, for peers.
    host_link m_peer_link;
    peer_table m_peer_table;
    config_fetch m_config_fetch;
    prefix_watch m_operator_records; ///< Configuration and upkeep waves.
    registry m_registry;
    quota_exchange m_quota_exchange;
    worker_directory m_worker_directory;
    caller_server m_caller_server;
    caller_server m_readiness_server;
    std::unique_ptr<caller_server> m_metrics_server; ///< Null if no metrics address is set.
    host_metrics m_metrics;
    refused_key_log m_refused_keys;
    bool m_refusing_keys = false; ///< The log says that requests with keys are refused.
    remembered_keys m_noted;      ///< Requests that were logged; the same is not logged again.
    std::optional<operator_config> m_config; ///< Empty until the first valid one was read.
    std::int64_t m_config_revision = 0;      ///< Of the newest one that was read, valid or not.
    std::map<service_id, std::shared_ptr<shard_owner>> m_owners; ///< Shards that this host owns.
    std::shared_ptr<machine_controller>
        m_machine_controller; ///< Null unless this host owns its shard.
    std::uint64_t m_greeting_round = 0;
    bool m_stopping = false;
};

} // namespace guavabay
