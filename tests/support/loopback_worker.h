#pragma once

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/asio.h"
#include "worker/worker.h"

namespace guavabay::test {

/// Stand-in for a worker on loopback. Its runs last until they are stopped or its lease ends. Open
/// connections can fall silent, as after the loss of state on a path: nothing that is sent on them
/// arrives any more and nothing shows it. Used on the thread that runs its io_context.
class loopback_worker {
public:
    /// Listens on a free port.
    loopback_worker(asio::io_context& context, const std::string& name);

    /// The worker's registration in a service.
    [[nodiscard]] worker_listing listing(const service_id& service) const;

    /// Makes all open connections silent on which no call is under way, or all open connections.
    /// New ones are served.
    void silence_connections(bool idle_only);

    /// Number of open connections that are served.
    [[nodiscard]] std::size_t served_connections() const;

    /// True while an answer to a call is being prepared on a connection that is served.
    [[nodiscard]] bool is_calling() const;

    /// Number of runs of a submission.
    [[nodiscard]] std::size_t run_count(const submission_id& submission) const;

    std::size_t m_ended_leases = 0; ///< Times at which the lease ended while there were runs.

private:
    struct connection {
        explicit connection(asio::ip::tcp::socket&& socket) : m_socket(std::move(socket)) {}

        asio::ip::tcp::socket m_socket;
        bool m_calling = false;
        bool m_silent = false;
    };

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(std::shared_ptr<connection> served);
    /// Ends all runs whenever the lease has ended.
    asio::awaitable<void> watch_lease();
    boost::json::object answer(std::string_view target, const boost::json::object& body);

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::string m_name;
    std::vector<std::weak_ptr<connection>> m_connections;
    std::map<std::string, std::int64_t> m_runs; ///< Run numbers by task.
    std::int64_t m_deadline_ms = 0;             ///< End of the lease.
};

} // namespace guavabay::test
