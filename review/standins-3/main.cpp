#include <iostream>

#include "scenarios.h"

// Usage: installation SCENARIO PROGRAM FOLDER RECORD TROUBLE
// Ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
int main(int argc, char** argv)
{
    constexpr int argument_count = 6;
    if (argc != argument_count) {
        std::cerr << "usage: installation SCENARIO PROGRAM FOLDER RECORD 0|1\n";
        return review::could_not_run;
    }
    const std::map<std::string, review::scenario> scenarios{
        {"new-kind", review::run_new_kind},
        {"two-waves", review::run_two_waves},
        {"moved-queue", review::run_moved_queue},
        {"drain-beside-wave", review::run_drain_beside_wave},
        {"waiting-owners", review::run_waiting_owners},
        {"split-record", review::run_split_record},
        {"false-refusal", review::run_false_refusal}};
    const auto found = scenarios.find(argv[1]);
    if (found == scenarios.end()) {
        std::cerr << "no such scenario\n";
        return review::could_not_run;
    }
    review::record written(argv[4]);
    review::asio::io_context context;
    int outcome = review::could_not_run;
    {
        review::installation place(context, argv[2], argv[3], written);
        review::asio::co_spawn(
            context,
            [&]() -> review::asio::awaitable<void> {
                outcome = co_await found->second(place, std::string(argv[5]) == "1");
                context.stop();
            },
            [&](const std::exception_ptr& error) {
                if (!error) {
                    return;
                }
                try {
                    std::rethrow_exception(error);
                }
                catch (const std::exception& thrown) {
                    written.write(std::string("unexpected: ") + thrown.what());
                }
                context.stop();
            });
        context.run();
    }
    written.write(outcome == review::rule_broken ? "the rule was broken"
                  : outcome == review::rule_held ? "the rule held"
                                                 : "the case could not run");
    std::cout << argv[1] << " outcome " << outcome << "\n";
    return outcome;
}
