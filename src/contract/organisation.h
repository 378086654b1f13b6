#pragma once

#include <cstddef>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "contract/contract.h"
#include "core/ids.h"
#include "fleet/resources.h"

namespace guavabay {

/// A component of a cap that does not limit anything. Sums of a few such amounts do not overflow.
inline constexpr std::int64_t unlimited_amount = std::int64_t{1} << 60U;

/// What an organisation may have running at one time, over all workers of all services.
inline constexpr resources unlimited_resources{unlimited_amount, unlimited_amount,
                                               unlimited_amount};

/// Terms of an organisation that decisions about its work need.
struct organisation_terms {
    std::uint32_t m_weight = 1;            ///< Share of contended capacity relative to others.
    resources m_cap = unlimited_resources; ///< Of its running tasks together.

    bool operator==(const organisation_terms&) const = default;
};

/// An organisation of the platform's configuration.
struct organisation {
    organisation_id m_id;
    std::vector<key_digest> m_keys;
    organisation_terms m_terms;
};

/// All organisations of a configuration, with an index of their keys.
class organisation_directory {
public:
    /// Adds an organisation. A key that another one has already stays with that one.
    void add(organisation added);

    /// Returns the organisation that a bearer key belongs to; null for an unknown key.
    [[nodiscard]] const organisation* find_by_key(std::string_view key) const;

    /// Returns all organisations.
    [[nodiscard]] const std::map<organisation_id, organisation>& all() const
    {
        return m_organisations;
    }

    /// True if there is no organisation, so that requests need no key.
    [[nodiscard]] bool empty() const { return m_organisations.empty(); }

private:
    /// Hash of a digest: its first bytes, which are evenly distributed already.
    struct digest_hash {
        std::size_t operator()(const key_digest& digest) const;
    };

    std::map<organisation_id, organisation> m_organisations;
    std::unordered_map<key_digest, organisation_id, digest_hash> m_by_key;
};

} // namespace guavabay
