#include "node/isolation.h"

#include <algorithm>

namespace guavabay {

namespace {

constexpr seconds strict_limit{5};
constexpr std::chrono::minutes lenient_limit{15};

} // namespace

duration isolation_limit(const contract& terms)
{
    return terms.m_on_isolation == isolation_rule::stop ? duration(strict_limit)
                                                        : duration(lenient_limit);
}

duration longest_run_limit(const contract& terms)
{
    duration longest{0};
    for (const service_grant& grant : terms.m_services) {
        longest = std::max<duration>(longest, grant.m_run_limit);
    }
    return longest;
}

bool stops_when_isolated(const contract& terms, duration isolated)
{
    return isolated > isolation_limit(terms);
}

} // namespace guavabay
