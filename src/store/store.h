#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "config/config_table.h"
#include "core/ids.h"

namespace guavabay {

/// How a call to the platform store ended. Unknown means that a write may have taken effect.
enum class store_outcome : std::uint8_t { done, refused, unknown };

/// Reads one record.
struct store_read {
    std::string m_key;
};

/// First letter of the keys of records that only those who need them read. The watch and the full
/// reading leave them out.
inline constexpr char unwatched_mark = '~';

/// Reads records under a prefix that changed after a position of the history, oldest change first.
struct store_read_changes {
    std::string m_prefix;
    revision m_since;
};

/// Writes a record only if its revision is still the expected one; zero expects no record.
struct store_swap {
    std::string m_key;
    revision m_expected;
    std::string m_value;       ///< Empty to remove the record.
    lease_id m_lease;          ///< Zero for a record that outlives its writer.
    std::string m_guard_key;   ///< A second record that must be unchanged; empty for none.
    revision m_guard_revision; ///< Revision that the second record must have.
};

/// A swap without a second record.
inline store_swap make_swap(std::string key, revision expected, std::string value,
                            lease_id lease = {})
{
    return {std::move(key), expected, std::move(value), lease, {}, {}};
}

/// Grants a lease.
struct store_grant_lease {
    std::int64_t m_seconds = 0;
};

/// Extends a lease.
struct store_keep_lease {
    lease_id m_lease;
};

/// Ends a lease and removes its records.
struct store_revoke_lease {
    lease_id m_lease;
};

/// Reads everything again and starts a new watch.
struct store_resync {};

/// A call to the store. The number is echoed in the result.
struct store_call {
    std::uint64_t m_number = 0;
    std::variant<store_read, store_read_changes, store_swap, store_grant_lease, store_keep_lease,
                 store_revoke_lease, store_resync>
        m_operation;
};

/// The result of a call. A refused swap carries the record that stands in its way.
struct store_result {
    std::uint64_t m_number = 0;
    store_outcome m_outcome = store_outcome::unknown;
    config_record m_record;
    lease_id m_lease;
    std::vector<config_record> m_records; ///< What a reading of changes shows.
    revision m_position;                  ///< Position up to which the changes are shown.
    bool m_more = false;                  ///< Later changes are left to another reading.
};

/// Hashes of keys, in order. A collision would only keep a removed record until the next reading
/// of another history.
using key_hashes = std::vector<std::uint64_t>;

/// True when a key is among those whose hashes are given.
inline bool contains_key(const key_hashes& hashes, const std::string& key)
{
    return std::binary_search(hashes.begin(), hashes.end(), stable_hash(key));
}

/// Records that the store told of by itself. The end of a full reading names every record that
/// exists.
struct store_update {
    std::vector<config_record> m_records;
    bool m_full = false;
    revision m_revision; ///< Position of the store's history that a full reading shows.
    key_hashes m_shown;  ///< All keys, at the end of a full reading.
};

/// The store answers again, or no longer.
struct store_reachability {
    bool m_reachable = false;
};

/// Everything that arrives from the store.
using store_event = std::variant<store_result, store_update, store_reachability>;

} // namespace guavabay
