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
