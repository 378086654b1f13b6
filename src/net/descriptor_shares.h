#pragma once

#include <cstddef>

namespace guavabay {

/// Connections that the ports of `guavabay serve` may have, so that descriptors are left for the
/// other ports, for endpoints, peers and the store.
struct descriptor_shares {
    std::size_t m_callers = 0;
    std::size_t m_operators = 0;
};

/// The shares of a number of descriptors.
descriptor_shares share_descriptors(std::size_t descriptors);

/// Descriptors that the system lets this process open.
std::size_t descriptor_limit();

} // namespace guavabay
