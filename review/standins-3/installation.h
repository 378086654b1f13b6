#pragma once

#include <list>
#include <memory>

#include "cloud.h"

namespace review {

/// A process of the system.
struct host {
    std::string m_name;
    std::string m_settings_path;
    std::string m_callers;
    std::string m_ready;
    pid_t m_process = -1;
};

/// A small installation on loopback: the store, the interface for machines and the runners are
/// parts of this process; the hosts are processes that run the deploy file's command.
class installation {
public:
    installation(asio::io_context& context, std::string program, std::string folder,
                 record& written);
    ~installation();

    installation(const installation&) = delete;
    installation& operator=(const installation&) = delete;

    /// Starts the hosts and waits until they are ready; false if they are not in time.
    asio::awaitable<bool> start(std::size_t hosts);

    /// Adds a runner that is not started yet.
    runner& add_runner(runner_traits traits);

    void start_host(host& what);
    void signal_host(host& what, int number);

    /// Stops a host as the platform does, and starts it again.
    asio::awaitable<void> restart_host(host& what);

    /// Kills a host and starts it again.
    asio::awaitable<void> kill_host(host& what);

    /// The host whose name stands in an item of the store; null if there is none.
    host* named_in(const std::string& key);

    /// Writes a version of the configuration: one queue, of a service, and two services.
    void configure(std::int64_t version, const std::string& service, std::int64_t max_attempts = 3);

    /// Hands a submission in at a host, once; returns the status.
    asio::awaitable<unsigned> submit(host& at, std::string id, json::object body,
                                     milliseconds timeout);

    asio::io_context& m_context;
    record& m_record;
    store m_store;
    cloud m_cloud;
    std::vector<std::unique_ptr<runner>> m_runners;
    std::list<host> m_hosts;
    bool m_has_machines = false;
    std::map<std::string, std::string> m_more_settings;

private:
    void write_settings(const host& what, const std::string& peer, const std::string& seeds);

    std::string m_program;
    std::string m_folder;
};

} // namespace review
