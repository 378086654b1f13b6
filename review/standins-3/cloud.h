#pragma once

#include "runner.h"

namespace review {

/// The platform's interface for machines. Each machine has one runner at a time.
class cloud {
public:
    enum class trouble : std::uint8_t { none, reset };

    cloud(asio::io_context& context, store& registry, record& written);

    void start() { m_server.start(); }
    [[nodiscard]] std::string address() const { return m_server.address(); }

    /// Adds a machine with its present runner.
    void add(runner& present);

    /// Machines that are down for a wave, and those that have begun their upkeep for it.
    [[nodiscard]] std::size_t count_down(std::int64_t wave) const;
    [[nodiscard]] bool has_begun(std::int64_t wave, const std::string& machine) const;

    trouble m_trouble = trouble::none; ///< Calls are read and reset without an answer.
    std::function<void(std::int64_t, const std::string&)> m_on_upkeep;

private:
    struct machine {
        runner* m_runner = nullptr;
        std::string m_state = "up";
        std::int64_t m_wave = 0;
        std::int64_t m_token = 0;
        std::set<std::int64_t> m_begun;
    };

    asio::awaitable<reply> answer(request asked);
    reply list() const;
    reply order_upkeep(const request& asked);
    asio::awaitable<void> upkeep(std::string name);

    asio::io_context& m_context;
    store& m_registry;
    record& m_record;
    http_server m_server;
    std::map<std::string, machine> m_machines;
};

} // namespace review
