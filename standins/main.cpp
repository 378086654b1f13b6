#include <iostream>
#include <string>

#include "checker.h"
#include "roles.h"

int main(int argc, char** argv)
{
    const std::string role = argc > 1 ? argv[1] : "";
    const standins::options given(argc, argv, 2);
    if (role == "store") {
        return standins::run_store(given);
    }
    if (role == "endpoint") {
        return standins::run_endpoint(given);
    }
    if (role == "caller") {
        return standins::run_caller(given);
    }
    if (role == "relay") {
        return standins::run_relay(given);
    }
    if (role == "platform") {
        return standins::run_platform(given);
    }
    if (role == "check") {
        return standins::run_check(given);
    }
    std::cerr << "usage: guavabay-standins store|endpoint|caller|platform|relay|check [--NAME "
                 "VALUE]...\n";
    return 2;
}
