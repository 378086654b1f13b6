#include "support/fake_store.h"

#include <algorithm>

namespace guavabay::test {

store_result fake_store::call(const store_call& wanted)
{
    store_result result;
    result.m_number = wanted.m_number;
    ++m_calls;
    if (m_away) {
        return result;
    }
    if (const auto* read = std::get_if<store_read>(&wanted.m_operation)) {
        result.m_outcome = store_outcome::done;
        result.m_record = get(read->m_key);
    }
    else if (const auto* changes = std::get_if<store_read_changes>(&wanted.m_operation)) {
        read_changes(*changes, result);
    }
    else if (const auto* swap = std::get_if<store_swap>(&wanted.m_operation)) {
        if (m_drop_calls > 0) {
            --m_drop_calls;
            return result;
        }
        const bool guarded = swap->m_guard_key.empty() ||
                             get(swap->m_guard_key).m_revision == swap->m_guard_revision;
        const bool holds = guarded && get(swap->m_key).m_revision == swap->m_expected;
        result.m_outcome = holds ? store_outcome::done : store_outcome::refused;
        if (holds) {
            const revision written = put(swap->m_key, swap->m_value);
            m_records[swap->m_key].m_lease = swap->m_lease;
            result.m_record = {swap->m_key, written, swap->m_value};
        }
        else {
            result.m_record = get(swap->m_key);
        }
        if (holds && swap->m_value.empty()) {
            m_records.erase(swap->m_key);
        }
        if (m_lose_answers > 0) {
            --m_lose_answers;
            result.m_outcome = store_outcome::unknown;
            result.m_record = {};
        }
    }
    else if (std::holds_alternative<store_grant_lease>(wanted.m_operation)) {
        result.m_outcome = store_outcome::done;
        result.m_lease = lease_id(m_next_lease++);
        m_leases[result.m_lease] = true;
    }
    else if (const auto* keep = std::get_if<store_keep_lease>(&wanted.m_operation)) {
        const bool held = m_leases.contains(keep->m_lease);
        result.m_outcome = held ? store_outcome::done : store_outcome::refused;
    }
    else if (const auto* revoke = std::get_if<store_revoke_lease>(&wanted.m_operation)) {
        end_lease(revoke->m_lease);
        result.m_outcome = store_outcome::done;
    }
    return result;
}

store_update fake_store::read_all() const
{
    store_update update;
    update.m_full = true;
    update.m_revision = revision(m_revision);
    for (const auto& [key, one] : m_records) {
        if (!key.starts_with(unwatched_mark)) {
            update.m_records.push_back(one.m_record);
            update.m_shown.push_back(stable_hash(key));
        }
    }
    std::sort(update.m_shown.begin(), update.m_shown.end());
    return update;
}

store_update fake_store::changes_since(revision position) const
{
    store_update update;
    update.m_revision = revision(m_revision);
    for (const config_record& record : m_history) {
        if (record.m_revision > position && !record.m_key.starts_with(unwatched_mark)) {
            update.m_records.push_back(record);
        }
    }
    return update;
}

std::vector<config_record> fake_store::list(const std::string& prefix) const
{
    std::vector<config_record> found;
    for (const auto& [key, one] : m_records) {
        if (key.starts_with(prefix)) {
            found.push_back(one.m_record);
        }
    }
    return found;
}

void fake_store::read_changes(const store_read_changes& wanted, store_result& result) const
{
    result.m_records = list(wanted.m_prefix);
    std::erase_if(result.m_records, [&wanted](const config_record& record) {
        return record.m_revision <= wanted.m_since;
    });
    std::sort(result.m_records.begin(), result.m_records.end(),
              [](const config_record& left, const config_record& right) {
                  return left.m_revision < right.m_revision;
              });
    result.m_outcome = store_outcome::done;
    result.m_position = revision(m_revision);
}

revision fake_store::put(const std::string& key, const std::string& value)
{
    ++m_revision;
    const config_record record{key, revision(m_revision), value};
    m_records[key] = {record, {}};
    remember(record);
    return record.m_revision;
}

void fake_store::remember(config_record record)
{
    m_history.push_back(std::move(record));
}

void fake_store::end_lease(lease_id lease)
{
    m_leases.erase(lease);
    for (auto it = m_records.begin(); it != m_records.end();) {
        if (it->second.m_lease != lease || lease == lease_id{}) {
            ++it;
            continue;
        }
        ++m_revision;
        remember({it->first, revision(m_revision), ""});
        it = m_records.erase(it);
    }
}

config_record fake_store::get(const std::string& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? config_record{key, {}, ""} : found->second.m_record;
}

} // namespace guavabay::test
