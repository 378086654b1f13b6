#pragma once

#include <fstream>
#include <string>

#include "asio.h"

namespace review {

/// Writes what was sent, answered and run, each line with the milliseconds since the start.
class record {
public:
    explicit record(const std::string& path);

    /// Appends a line.
    void add(const std::string& line);

    /// Appends a broken rule.
    void add_violation(const std::string& rule, const std::string& what);

    [[nodiscard]] std::size_t violations() const { return m_violations; }

private:
    std::ofstream m_file;
    steady::time_point m_started_at = steady::now();
    std::size_t m_violations = 0;
};

} // namespace review
