#include "record.h"

namespace review {

record::record(const std::string& path) : m_file(path) {}

void record::add(const std::string& line)
{
    const auto since = std::chrono::duration_cast<milliseconds>(steady::now() - m_started_at);
    m_file << since.count() << " " << line << std::endl;
}

void record::add_violation(const std::string& rule, const std::string& what)
{
    ++m_violations;
    add("BROKEN " + rule + ": " + what);
}

} // namespace review
