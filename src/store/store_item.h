#pragma once

#include <string>
#include <vector>

#include "core/ids.h"

namespace guavabay {

/// One record of the platform's store as a reading shows it.
struct store_item {
    std::string m_key;
    std::string m_value;
    revision m_revision; ///< Of its last change.
    revision m_created;  ///< Of its creation.
    lease_id m_lease;    ///< Zero for a record that outlives its writer.
    bool m_removed = false;
};

/// A change of several records at once, or of none.
struct store_commit {
    /// Records that must be at a revision; zero for those that must not exist.
    std::vector<std::pair<std::string, revision>> m_guards;
    /// What to write.
    struct put {
        std::string m_key;
        std::string m_value;
        lease_id m_lease;
    };
    std::vector<put> m_puts;
    std::vector<std::string> m_removes;
};

/// How a commit ended.
enum class commit_outcome : std::uint8_t {
    done,
    conflict,  ///< A guard did not hold; nothing was changed.
    no_lease,  ///< A lease has ended; nothing was changed.
    refused,   ///< The store did nothing, because of its load or state.
    unknown,   ///< It may have taken effect, or may still do so.
    malformed, ///< The store does not accept such a commit.
};

/// The result of a commit.
struct commit_result {
    commit_outcome m_outcome = commit_outcome::unknown;
    revision m_revision;             ///< Of the change.
    std::vector<store_item> m_items; ///< On a conflict, the guarded records as they are.
};

/// A reading of records under a prefix.
struct range_result {
    bool m_ok = false;
    bool m_history_lost = false; ///< Of a watch: the range has to be read anew.
    std::vector<store_item> m_items;
    bool m_more = false;
    revision m_as_of;
};

} // namespace guavabay
