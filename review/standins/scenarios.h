#pragma once

#include <memory>
#include <string>
#include <vector>

#include "caller.h"
#include "entry_host.h"
#include "platform_store.h"
#include "record.h"
#include "runner.h"

namespace review {

/// Results of a scenario, as exit status of the program.
enum class outcome : int { held = 0, broken = 1, not_run = 2 };

/// A small deployment: entry hosts, the store, and eight runners for each service.
struct deployment {
    asio::io_context& m_context;
    record& m_log;
    std::string m_program;
    std::string m_folder;
    bool m_trouble = true;
    platform_store m_store;
    run_checker m_checker;
    std::vector<std::unique_ptr<runner>> m_runners;
    std::vector<std::unique_ptr<entry_host>> m_hosts;

    deployment(asio::io_context& context, record& log, std::string program, std::string folder,
               bool trouble);
};

/// Runs the scenario of a name; not_run if there is none.
asio::awaitable<outcome> run_scenario(deployment& place, std::string name);

} // namespace review
