#include "switches.h"

#include <cstdlib>

namespace standins {

long switches::get(const std::string& name) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? 0 : found->second;
}

bool switches::take(const std::string& name)
{
    const auto found = m_values.find(name);
    if (found == m_values.end() || found->second <= 0) {
        return false;
    }
    --found->second;
    return true;
}

bool switches::set_from_path(const std::string& path)
{
    const std::string prefix = "/-/switch/";
    if (!path.starts_with(prefix)) {
        return false;
    }
    const std::size_t slash = path.find('/', prefix.size());
    if (slash == std::string::npos) {
        return false;
    }
    m_values[path.substr(prefix.size(), slash - prefix.size())] =
        std::strtol(path.c_str() + slash + 1, nullptr, 10);
    return true;
}

} // namespace standins
