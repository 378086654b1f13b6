#pragma once

#include <map>
#include <vector>

#include "record.h"
#include "store.h"

namespace review {

/// Properties of a runner that stay the same in all its lifetimes, and how its subtasks behave.
struct runner_traits {
    std::string m_id;
    std::string m_machine;
    std::string m_rack;
    std::string m_service;
    std::int64_t m_cpu = 4000;
    milliseconds m_work{1000};     ///< Of a subtask that ends.
    milliseconds m_startup{500};   ///< Until a subtask that lasts is at work.
    milliseconds m_stop_time{400}; ///< From a stop to the end.
    milliseconds m_max_hold{10000};
};

/// Something that happened to a run.
struct run_event {
    enum class kind : std::uint8_t { started, stop_ordered, ended };
    kind m_kind = kind::started;
    std::string m_runner;
    std::string m_task;
    std::int64_t m_run = 0;
    std::string m_how; ///< Of an end.
    bool m_at_work = false;
};

/// A runner that follows the pages: it starts what it is told, holds leases, and lists ends.
class runner {
public:
    runner(asio::io_context& context, store& registry, record& written, runner_traits traits);

    /// Starts a new lifetime of a kind: the runner listens and registers itself.
    void start(const std::string& kind);

    /// Starts a new runner on the same machine, under another id.
    void start_as_new();

    /// Ends the lifetime without a word. What ran is gone.
    void crash();

    /// Ends everything that runs as failed.
    void fail_all();

    /// Reports that the runner is draining.
    void drain();

    /// Sets how long stops take from now on.
    void set_stop_time(milliseconds time) { m_traits.m_stop_time = time; }

    [[nodiscard]] const runner_traits& traits() const { return m_traits; }
    [[nodiscard]] const std::string& kind() const { return m_kind; }
    [[nodiscard]] bool is_up() const { return m_up; }
    [[nodiscard]] bool is_draining() const { return m_draining; }

    /// True if a subtask runs here and is at work.
    [[nodiscard]] bool is_at_work(const std::string& task) const;
    [[nodiscard]] std::vector<std::string> tasks() const;

    std::function<void(const run_event&)> m_on_event;
    std::function<bool(const std::string&)> m_lasts; ///< True for a subtask that lasts.

private:
    struct run {
        std::int64_t m_number = 0;
        steady::time_point m_began_at{};
        std::optional<steady::time_point> m_stops_at;
    };
    struct end {
        std::int64_t m_number = 0;
        std::string m_task;
        std::int64_t m_run = 0;
        std::string m_how;
    };

    asio::awaitable<reply> answer(request asked);
    asio::awaitable<reply> hold(request asked);
    reply start_run(const json::object& body);
    reply stop_run(const json::object& body);
    bool extend(const json::object& body);
    void end_run(const std::string& task, const std::string& how);
    void publish();
    asio::awaitable<void> work();
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] std::int64_t percent(const std::string& task, const run& what) const;

    asio::io_context& m_context;
    store& m_registry;
    record& m_record;
    runner_traits m_traits;
    http_server m_server;
    std::string m_kind;
    bool m_up = false;
    bool m_draining = false;
    std::int64_t m_lifetime = 0;
    std::int64_t m_born_ms = 0;
    std::int64_t m_sequence = 0;
    steady::time_point m_born_at{};
    std::int64_t m_fence = 0;
    std::int64_t m_deadline_ms = 0;
    std::int64_t m_next_end = 1;
    std::map<std::string, run> m_runs;
    std::map<std::string, std::int64_t> m_highest; ///< Highest run stopped or ended, by subtask.
    std::vector<end> m_ends;
};

} // namespace review
