#pragma once

#include <map>
#include <string>

namespace standins {

/// The words --name value of a command line.
class options {
public:
    /// Reads pairs of words from the position on.
    options(int argc, char** argv, int first);

    /// The text of an option, or the fallback.
    [[nodiscard]] std::string text(const std::string& name, const std::string& fallback = {}) const;

    /// The number of an option, or the fallback.
    [[nodiscard]] long number(const std::string& name, long fallback = 0) const;

private:
    std::map<std::string, std::string> m_values;
};

/// Runs the stand-in for the platform's store until it is killed.
int run_store(const options& given);

/// Runs the stand-in for an endpoint until it is killed.
int run_endpoint(const options& given);

/// Runs callers with open-loop load and prints latencies and outcomes.
int run_caller(const options& given);

/// Runs the stand-in for the platform's side of the fleet until it is killed.
int run_platform(const options& given);

/// Runs a relay that copies bytes, as a yardstick for the latency that an entry host adds.
int run_relay(const options& given);

} // namespace standins
