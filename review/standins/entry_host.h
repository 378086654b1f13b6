#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// An entry host: a process of the project's own program, started as deploy/system.toml says.
class entry_host {
public:
    /// Chooses free ports; starts nothing.
    entry_host(std::string name, std::string folder);
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    /// Starts the process. Its settings are those of a small deployment.
    void start(const std::string& program, const std::string& store_address,
               const std::vector<std::string>& seeds);

    /// Sends a signal to the process.
    void signal(int number) const;

    /// True once the process has ended; reaps it.
    bool has_ended();

    [[nodiscard]] const std::string& name() const { return m_name; }
    [[nodiscard]] const std::string& caller_address() const { return m_caller; }
    [[nodiscard]] const std::string& peer_address() const { return m_peer; }

private:
    std::string m_name;
    std::string m_folder;
    std::string m_caller;
    std::string m_readiness;
    std::string m_peer;
    pid_t m_process = 0;
};

} // namespace review
