#include "app/serve.h"

#include <csignal>
#include <iostream>
#include <thread>

#include "app/control_loop.h"
#include "app/exit_status.h"
#include "app/serve_settings.h"
#include "core/result.h"
#include "edge/edge_server.h"
#include "log/log.h"
#include "net/descriptor_shares.h"
#include "operator_api/operator_server.h"

namespace guavabay {

namespace {

constexpr std::size_t ring_capacity = 4096;
constexpr std::size_t operator_ring_capacity = 1024;

/// Operators' connections at one time.
constexpr std::size_t max_operator_connections = 256;

/// Lowers the limit of callers' connections to their share of the process's descriptors.
edge_limits fit_to_descriptors(edge_limits limits)
{
    const std::size_t share = share_descriptors(descriptor_limit()).m_callers;
    if (share < limits.m_max_connections) {
        log_warning("edge: fewer connections than configured, the system limits descriptors max=" +
                    std::to_string(share));
        limits.m_max_connections = share;
    }
    return limits;
}

/// The threads of an entry host's process and the rings between them.
class entry_process {
public:
    explicit entry_process(const serve_settings& settings)
        : m_edge_in(m_edge_context, ring_capacity), m_store_in(m_store_context, ring_capacity),
          m_operator_in(m_operator_context, operator_ring_capacity),
          m_control_from_edge(m_control_context, ring_capacity),
          m_control_from_store(m_control_context, ring_capacity),
          m_control_from_operators(m_control_context, operator_ring_capacity),
          m_control_from_signals(m_control_context, 16),
          m_control(m_control_context, settings.m_node, settings.m_peer_address,
                    settings.m_peer_keys, {&m_edge_in, &m_store_in, &m_operator_in}, m_shared),
          m_store(m_store_context, settings.m_store,
                  [this](store_event&& event) { send_store_event(std::move(event)); }),
          m_flow(
              m_edge_context, settings.m_limits,
              process_origin(settings.m_node.m_self.m_host, settings.m_node.m_self.m_incarnation),
              [this](edge_event&& event) {
                  return m_control_from_edge.try_send(node_event(std::move(event)));
              },
              m_metrics),
          m_edge(m_edge_context, settings.m_caller_address, fit_to_descriptors(settings.m_limits),
                 m_flow, m_shared, [this] { send_edge_idle(); }),
          m_operators(
              m_operator_context, settings.m_operator_address,
              std::min(max_operator_connections, share_descriptors(descriptor_limit()).m_operators),
              settings.m_operator_key,
              [this](operator_request&& request) {
                  return m_control_from_operators.try_send(node_event(std::move(request)));
              },
              m_metrics, m_shared),
          m_signals(m_operator_context, SIGTERM, SIGINT)
    {
        connect();
    }

    /// Runs until a planned stop has finished.
    void run()
    {
        m_control.start();
        m_store.start();
        std::thread store([this] { m_store_context.run(); });
        std::thread edge([this] { m_edge_context.run(); });
        std::thread operators([this] { m_operator_context.run(); });
        m_control_context.run();
        m_edge_context.stop();
        m_operator_context.stop();
        m_store_context.stop();
        edge.join();
        operators.join();
        store.join();
    }

private:
    void connect()
    {
        const auto to_control = [this](node_event& event) { m_control.take(std::move(event)); };
        const auto carry_out = [this] { m_control.carry_out(); };
        m_control_from_edge.set_handler(to_control, carry_out);
        m_control_from_store.set_handler(to_control, carry_out);
        m_control_from_operators.set_handler(to_control, carry_out);
        m_control_from_signals.set_handler(to_control, carry_out);
        m_store_in.set_handler([this](store_call& call) { m_store.call(std::move(call)); });
        m_operator_in.set_handler(
            [this](operator_answer& answer) { m_operators.take(std::move(answer)); });
        m_edge_in.set_handler([this](edge_input& input) { take_edge_input(input); });
        m_signals.async_wait([this](const error_code& error, int) {
            if (!error) {
                m_control_from_signals.try_send(node_event(stop_wanted{}));
            }
        });
    }

    void take_edge_input(edge_input& input)
    {
        if (const auto* answer = std::get_if<edge_answer>(&input)) {
            m_flow.take(*answer);
        }
        else if (auto* view = std::get_if<config_view_ptr>(&input)) {
            m_flow.take(std::move(*view));
        }
        else {
            m_edge.stop();
        }
    }

    /// Store events must not be lost: when the ring is full, a new reading of everything follows.
    void send_store_event(store_event&& event)
    {
        if (!m_control_from_store.try_send(node_event(std::move(event)))) {
            log_error("store: ring full, reading everything again");
            m_store.call({0, store_resync{}});
        }
    }

    void send_edge_idle() { m_control_from_edge.try_send(node_event(edge_idle{})); }

    asio::io_context m_control_context{1};
    asio::io_context m_edge_context{1};
    asio::io_context m_store_context{1};
    asio::io_context m_operator_context{1};
    shared_state m_shared;
    request_metrics m_metrics;
    channel<edge_input> m_edge_in;
    channel<store_call> m_store_in;
    channel<operator_answer> m_operator_in;
    channel<node_event> m_control_from_edge;
    channel<node_event> m_control_from_store;
    channel<node_event> m_control_from_operators;
    channel<node_event> m_control_from_signals;
    control_loop m_control;
    etcd_store m_store;
    request_flow m_flow;
    edge_server m_edge;
    operator_server m_operators;
    asio::signal_set m_signals;
};

} // namespace

int run_serve(const std::vector<std::string>& arguments)
{
    const std::optional<parsed_command> parsed = parse_command(
        "serve", "Runs an entry host's process.", declare_serve_settings(), "", arguments);
    std::optional<serve_settings> settings;
    if (parsed) {
        settings = make_serve_settings(parsed->m_values);
    }
    if (!settings) {
        std::cerr << "guavabay serve: " << last_reason() << "\n";
        return exit_usage;
    }
    start_log();
    try {
        entry_process process(*settings);
        log_info("node: started host=" + settings->m_node.m_self.m_host.str());
        process.run();
    }
    catch (const boost::system::system_error& error) {
        std::cerr << "guavabay serve: cannot open an address: " << error.what() << "\n";
        return exit_failure;
    }
    return exit_success;
}

} // namespace guavabay
