#include "config/config_table.h"

#include <algorithm>

namespace guavabay {

std::size_t config_bucket(const std::string& key)
{
    return stable_hash(key) % config_bucket_count;
}

merge_outcome config_table::merge(const config_record& record)
{
    const auto found = m_records.find(record.m_key);
    if (found != m_records.end() && found->second.m_revision >= record.m_revision) {
        return merge_outcome::known;
    }
    if (!record.m_value.empty()) {
        std::string reason = m_validator(record.m_key, record.m_value);
        if (!reason.empty()) {
            quarantined_record& entry = m_quarantined[record.m_key];
            if (entry.m_revision < record.m_revision) {
                entry = {record.m_revision, std::move(reason)};
            }
            return merge_outcome::quarantined;
        }
    }
    const auto suspect = m_quarantined.find(record.m_key);
    if (suspect != m_quarantined.end() && suspect->second.m_revision < record.m_revision) {
        m_quarantined.erase(suspect);
    }
    if (found != m_records.end()) {
        toggle_in_digest(found->second);
        found->second = record;
    }
    else {
        m_records.emplace(record.m_key, record);
    }
    toggle_in_digest(record);
    m_newest = std::max(m_newest, record.m_revision);
    return merge_outcome::applied;
}

const config_record* config_table::find_any(const std::string& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : &found->second;
}

const config_record* config_table::find(const std::string& key) const
{
    const config_record* record = find_any(key);
    return record == nullptr || record->m_value.empty() ? nullptr : record;
}

revision config_table::revision_of(const std::string& key) const
{
    const config_record* record = find_any(key);
    return record == nullptr ? revision{} : record->m_revision;
}

void config_table::for_each(const std::string& prefix,
                            const std::function<void(const config_record&)>& function) const
{
    for (auto it = m_records.lower_bound(prefix); it != m_records.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0) {
            break;
        }
        if (!it->second.m_value.empty()) {
            function(it->second);
        }
    }
}

std::uint64_t config_table::total_digest() const
{
    std::uint64_t total = 0;
    for (const std::uint64_t bucket : m_digest) {
        total = mix(total, bucket);
    }
    return total;
}

std::vector<config_version> config_table::versions_where_differs(const config_digest& other) const
{
    std::vector<config_version> versions;
    for (const auto& [key, record] : m_records) {
        const std::size_t bucket = config_bucket(key);
        if (m_digest.at(bucket) != other.at(bucket)) {
            versions.push_back({key, record.m_revision});
        }
    }
    return versions;
}

void config_table::toggle_in_digest(const config_record& record)
{
    const auto number = static_cast<std::uint64_t>(record.m_revision.get());
    m_digest.at(config_bucket(record.m_key)) ^= mix(stable_hash(record.m_key), number);
}

} // namespace guavabay
