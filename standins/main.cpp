#include <iostream>
#include <string>

#include "checker.h"
#include "roles.h"

namespace standins {

options::options(int argc, char** argv, int first)
{
    for (int i = first; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        if (name.starts_with("--")) {
            m_values[name.substr(2)] = argv[i + 1];
        }
    }
}

std::string options::text(const std::string& name, const std::string& fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : found->second;
}

long options::number(const std::string& name, long fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : std::stol(found->second);
}

} // namespace standins

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
    if (role == "check") {
        return standins::run_check(given);
    }
    std::cerr << "usage: guavabay-standins store|endpoint|caller|relay|check [--NAME VALUE]...\n";
    return 2;
}
