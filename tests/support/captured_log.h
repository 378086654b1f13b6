#pragma once

#include <iostream>
#include <sstream>
#include <string>

namespace guavabay::test {

/// Collects what the program logs, which goes to standard output, for as long as it exists.
class captured_log {
public:
    captured_log() : m_before(std::cout.rdbuf(m_text.rdbuf())) {}
    ~captured_log() { std::cout.rdbuf(m_before); }

    captured_log(const captured_log&) = delete;
    captured_log& operator=(const captured_log&) = delete;

    /// The lines so far that contain a text, each with its line end.
    [[nodiscard]] std::string lines_with(const std::string& text) const
    {
        std::istringstream all(m_text.str());
        std::string found;
        for (std::string line; std::getline(all, line);) {
            found += line.find(text) == std::string::npos ? std::string() : line + "\n";
        }
        return found;
    }

private:
    std::ostringstream m_text;
    std::streambuf* m_before = nullptr;
};

} // namespace guavabay::test
