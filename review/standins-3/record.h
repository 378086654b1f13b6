#pragma once

#include <fstream>
#include <string>

#include "net.h"

namespace review {

/// What was sent, answered and run, one line each, with the time since the start.
class record {
public:
    explicit record(const std::string& path) : m_file(path) {}

    void write(const std::string& line)
    {
        const auto passed =
            std::chrono::duration_cast<milliseconds>(steady::now() - m_started_at).count();
        m_file << passed << " ms " << line << "\n";
        m_file.flush();
    }

private:
    std::ofstream m_file;
    steady::time_point m_started_at = steady::now();
};

} // namespace review
