#include <cstdlib>
#include <iostream>

#include "scenarios.h"

/// Runs a scenario of the review: review-scenario NAME PROGRAM FOLDER RECORD. With TROUBLE=0 in the
/// environment the disruption is left out. Exits with 0 if the rule held, 1 if it was broken, 2 if
/// the scenario could not run.
int main(int count, char** arguments)
{
    using namespace review;
    constexpr int argument_count = 5;
    if (count != argument_count) {
        std::cerr << "usage: review-scenario NAME PROGRAM FOLDER RECORD\n";
        return static_cast<int>(outcome::not_run);
    }
    const char* trouble = std::getenv("TROUBLE");
    asio::io_context context(1);
    record log(arguments[4]);
    outcome result = outcome::not_run;
    {
        deployment place(context, log, arguments[2], arguments[3],
                         trouble == nullptr || std::string(trouble) != "0");
        asio::co_spawn(context, run_scenario(place, arguments[1]),
                       [&](const std::exception_ptr& error, outcome reached) {
                           result = error ? outcome::not_run : reached;
                           try {
                               if (error) {
                                   std::rethrow_exception(error);
                               }
                           }
                           catch (const std::exception& thrown) {
                               log.add(std::string("unexpected error: ") + thrown.what());
                           }
                           context.stop();
                       });
        constexpr std::chrono::seconds longest{110};
        context.run_for(longest);
        // Ends the entry hosts.
        place.m_hosts.clear();
        log.add("RESULT " + std::to_string(static_cast<int>(result)));
        std::cout.flush();
        std::_Exit(static_cast<int>(result));
    }
}
