#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"

namespace guavabay {

/// One record of the operators' configuration as the platform store last held it. An empty value
/// means that the record was removed.
struct config_record {
    std::string m_key;
    revision m_revision;
    std::string m_value;

    /// Lets the codec read and write the record.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_key, m_revision, m_value);
    }
};

/// A record's key and revision without its value.
struct config_version {
    std::string m_key;
    revision m_revision;

    /// Lets the codec read and write the version.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_key, m_revision);
    }
};

/// Number of groups that two tables compare separately.
inline constexpr std::size_t config_bucket_count = 64;

/// A hash per group of records; equal hashes mean equal records.
using config_digest = std::array<std::uint64_t, config_bucket_count>;

/// A newer record that was refused because its value cannot be read.
struct quarantined_record {
    revision m_revision;
    std::string m_reason;
};

/// What a merge did with a record.
enum class merge_outcome : std::uint8_t { applied, known, quarantined };

/// Says why a value cannot be used under a key; empty when it can.
using config_validator =
    std::function<std::string(const std::string& key, const std::string& value)>;

/// All configuration records that a process knows. Of two records with one key the one with the
/// larger revision stays, whatever the order in which they arrive.
class config_table {
public:
    /// Makes an empty table that checks each value with the given function.
    explicit config_table(config_validator validator) : m_validator(std::move(validator)) {}

    /// Takes in a record from the store or from a peer.
    merge_outcome merge(const config_record& record);

    /// Finds a record that has a value; null when there is none.
    [[nodiscard]] const config_record* find(const std::string& key) const;

    /// The revision held for a key, also for a removed record; zero when unknown.
    [[nodiscard]] revision revision_of(const std::string& key) const;

    /// Calls a function for each record that has a value and whose key starts with the prefix.
    void for_each(const std::string& prefix,
                  const std::function<void(const config_record&)>& function) const;

    /// The hashes of all groups.
    [[nodiscard]] const config_digest& digest() const { return m_digest; }

    /// One hash over all groups.
    [[nodiscard]] std::uint64_t total_digest() const;

    /// Versions of all records in the groups whose hash differs from the given ones.
    [[nodiscard]] std::vector<config_version>
    versions_where_differs(const config_digest& other) const;

    /// Finds a record, also a removed one; null when unknown.
    [[nodiscard]] const config_record* find_any(const std::string& key) const;

    /// Records whose newest version is unreadable, by key.
    [[nodiscard]] const std::map<std::string, quarantined_record>& quarantined() const
    {
        return m_quarantined;
    }

    /// The largest revision taken in.
    [[nodiscard]] revision newest() const { return m_newest; }

    /// Number of records, removed ones included.
    [[nodiscard]] std::size_t size() const { return m_records.size(); }

private:
    void toggle_in_digest(const config_record& record);

    config_validator m_validator;
    std::map<std::string, config_record> m_records;
    std::map<std::string, quarantined_record> m_quarantined;
    config_digest m_digest{};
    revision m_newest;
};

/// The group that a key belongs to.
std::size_t config_bucket(const std::string& key);

} // namespace guavabay
