#include "net/descriptor_shares.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace guavabay {

namespace {

/// A request of a caller takes a second descriptor, for its endpoint.
constexpr std::size_t caller_divisor = 3;
constexpr std::size_t operator_divisor = 8;

} // namespace

descriptor_shares share_descriptors(std::size_t descriptors)
{
    return {std::max<std::size_t>(1, descriptors / caller_divisor),
            std::max<std::size_t>(1, descriptors / operator_divisor)};
}

std::size_t descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return limit.rlim_cur;
}

} // namespace guavabay
