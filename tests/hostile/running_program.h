#pragma once

#include <memory>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

#include "net/address.h"
#include "support/loopback_worker.h"
#include "support/paced_store.h"

namespace guavabay::test {

/// A process of the program under test. It is killed when this object is destroyed.
class running_program {
public:
    /// Starts the program with arguments and a value for the variable GUAVABAY_SETTINGS; its output
    /// is discarded. A maximum of open descriptors other than zero is set as the system's limit.
    /// Throws std::runtime_error if it cannot be started.
    running_program(const std::vector<std::string>& arguments, const std::string& settings_path,
                    std::size_t max_descriptors = 0);
    ~running_program();

    running_program(const running_program&) = delete;
    running_program& operator=(const running_program&) = delete;

    /// True until the process has ended.
    [[nodiscard]] bool is_alive();

    /// Largest resident memory so far, in MB.
    [[nodiscard]] std::size_t peak_memory_mb() const;

    /// Number of open descriptors that are sockets.
    [[nodiscard]] std::size_t open_sockets() const;

private:
    pid_t m_process = -1;
    bool m_ended = false;
};

/// Settings of a host as the settings file holds them, by name.
using named_settings = std::vector<std::pair<std::string, std::string>>;

/// What a process finds when it starts.
struct initial_state {
    std::vector<std::string> m_log_records; ///< Of the shard's log, as the store holds them.
    bool m_has_worker = false;              ///< A worker of the service is registered.
};

/// A `guavabay dispatch` process on loopback with a stand-in of the store. The settings file holds
/// the given settings besides the necessary ones; the limits are the object `limits` of the
/// operator's configuration, as JSON.
class dispatch_process {
public:
    dispatch_process(const named_settings& settings, const std::string& limits,
                     const initial_state& found = {});
    ~dispatch_process();

    dispatch_process(const dispatch_process&) = delete;
    dispatch_process& operator=(const dispatch_process&) = delete;

    /// True as soon as an ordinary request is answered; false if none is within the limit of waits.
    [[nodiscard]] bool answers();

    /// True as soon as an ordinary submission, whose id is made from a number, is accepted; false
    /// if it is not within the limit of waits.
    [[nodiscard]] bool accepts(std::uint64_t id);

    /// From now on the store's answers stop in the middle.
    void stall_store();

private:
    /// Writes the settings file and returns its path.
    [[nodiscard]] std::string write_settings(const named_settings& settings) const;

    asio::io_context m_context{1};
    paced_store m_store{m_context};
    std::unique_ptr<loopback_worker> m_worker;
    std::string m_settings_path;
    std::thread m_store_thread;

public:
    ip_address m_callers;
    ip_address m_readiness;
    ip_address m_peers;
    ip_address m_metrics;
    std::unique_ptr<running_program> m_program; ///< Ends before the store does.
};

/// A `guavabay serve` process on loopback. Its store cannot be reached.
struct serve_process {
    explicit serve_process(const std::vector<std::string>& more_arguments,
                           std::size_t max_descriptors = 0);

    ip_address m_callers;
    ip_address m_operators;
    ip_address m_peers;
    std::unique_ptr<running_program> m_program;
};

/// Sends a request and returns the status of the response; zero if there is none.
unsigned request_status(const ip_address& address, const std::string& request);

/// Repeats a request until its response has a status; false if none has within the limit of waits.
bool has_status_in_time(const ip_address& address, const std::string& request, unsigned status);

} // namespace guavabay::test
