#pragma once

#include <atomic>
#include <map>
#include <string>

namespace standins {

/// Faults of a stand-in, switched over HTTP by a test: POST /-/switch/NAME/NUMBER.
class switches {
public:
    /// Reads a switch; zero when it was never set.
    [[nodiscard]] long get(const std::string& name) const;

    /// Takes one from a switch that counts down; true when it was above zero.
    bool take(const std::string& name);

    /// Sets a switch from a path such as /-/switch/outage/1; false when it is not such a path.
    bool set_from_path(const std::string& path);

private:
    std::map<std::string, long> m_values;
};

} // namespace standins
