#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store/store.h"

namespace guavabay::test {

/// The platform's store as a plain structure: calls take effect at once, and faults are chosen
/// call by call.
class fake_store {
public:
    /// Carries out a call; the result is what the caller would be told.
    store_result call(const store_call& wanted);

    /// Everything in the store, as a full reading.
    [[nodiscard]] store_update read_all() const;

    /// Changes since a position of the history, as a watch would show them.
    [[nodiscard]] store_update changes_since(revision position) const;

    /// Writes a record without a comparison, as the platform does.
    revision put(const std::string& key, const std::string& value);

    /// All records whose keys start with a prefix.
    [[nodiscard]] std::vector<config_record> list(const std::string& prefix) const;

    /// Ends a lease and removes its records.
    void end_lease(lease_id lease);

    /// The record under a key; revision zero when there is none.
    [[nodiscard]] config_record get(const std::string& key) const;

    bool m_away = false;       ///< No call takes effect and every result is unknown.
    int m_lose_answers = 0;    ///< Swaps that take effect while the result is lost.
    int m_drop_calls = 0;      ///< Swaps that never arrive; the result is unknown.
    std::uint64_t m_calls = 0; ///< Calls that were made.

private:
    struct entry {
        config_record m_record;
        lease_id m_lease;
    };

    void read_changes(const store_read_changes& wanted, store_result& result) const;
    void remember(config_record record);

    std::int64_t m_revision = 1;
    std::int64_t m_next_lease = 1;
    std::map<std::string, entry> m_records;
    std::map<lease_id, bool> m_leases;
    std::vector<config_record> m_history;
};

} // namespace guavabay::test
