#include "fleet/quota_share.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

#include "core/json_fields.h"
#include "fleet/task_record.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr std::int64_t most_running = 1'000'000'000;

/// The parts of an amount, so that each is treated alike.
using amounts = std::array<std::int64_t, 4>;

amounts split(const quota_amount& use)
{
    return {use.m_running, use.m_reserved.m_cpu_millis, use.m_reserved.m_memory_mb,
            use.m_reserved.m_accelerators};
}

quota_amount join(const amounts& parts)
{
    return {static_cast<std::uint32_t>(parts[0]), {parts[1], parts[2], parts[3]}};
}

std::map<pool_id, quota_amount> read_amounts(const json::object& object, std::string_view name)
{
    std::map<pool_id, quota_amount> read;
    const json::value* list = object.if_contains({name.data(), name.size()});
    if (list == nullptr || !list->is_object()) {
        return read;
    }
    for (const auto& entry : list->get_object()) {
        if (entry.value().is_object()) {
            const json::object& fields = entry.value().get_object();
            const auto running =
                std::clamp<std::int64_t>(number_field(fields, "running"), 0, most_running);
            read[pool_id(std::string(entry.key()))] = {static_cast<std::uint32_t>(running),
                                                       read_resources(fields)};
        }
    }
    return read;
}

json::object write_amounts(const std::map<pool_id, quota_amount>& uses)
{
    json::object object;
    for (const auto& [pool, use] : uses) {
        json::object fields{{"running", static_cast<std::int64_t>(use.m_running)}};
        write_resources(use.m_reserved, fields);
        object[pool.str()] = std::move(fields);
    }
    return object;
}

/// Pools that have or want a part of the quota, the given one included.
std::size_t count_claimants(const quota_record& record, const pool_id& pool)
{
    std::set<pool_id> claimants{pool};
    for (const auto& [other, lent] : record.m_allocated) {
        claimants.insert(other);
    }
    for (const auto& [other, wanted] : record.m_unmet_demand) {
        claimants.insert(other);
    }
    return claimants.size();
}

void put_amount(std::map<pool_id, quota_amount>& uses, const pool_id& pool, const amounts& parts)
{
    if (is_zero(join(parts))) {
        uses.erase(pool);
        return;
    }
    uses[pool] = join(parts);
}

} // namespace

std::optional<quota_record> parse_quota(const std::string& value)
{
    const std::optional<json::object> object = parse_json_object(value);
    if (!object) {
        return std::nullopt;
    }
    return quota_record{read_amounts(*object, "lent"), read_amounts(*object, "wanted")};
}

std::string format_quota(const quota_record& record)
{
    return json::serialize(json::object{{"lent", write_amounts(record.m_allocated)},
                                        {"wanted", write_amounts(record.m_unmet_demand)}});
}

quota_record reallocate_quota(quota_record record, const pool_quota_demand& position,
                              const std::set<pool_id>& pools)
{
    const auto is_gone = [&pools](const auto& entry) { return !pools.contains(entry.first); };
    std::erase_if(record.m_allocated, is_gone);
    std::erase_if(record.m_unmet_demand, is_gone);
    amounts lent_to_others{};
    for (const auto& [pool, lent] : record.m_allocated) {
        const amounts parts = split(pool == position.m_pool ? quota_amount{} : lent);
        std::transform(parts.begin(), parts.end(), lent_to_others.begin(), lent_to_others.begin(),
                       std::plus<>());
    }
    const bool others_want =
        std::any_of(record.m_unmet_demand.begin(), record.m_unmet_demand.end(),
                    [&position](const auto& entry) { return entry.first != position.m_pool; });
    const auto claimants = static_cast<std::int64_t>(count_claimants(record, position.m_pool));
    const amounts grant = split(position.m_grant);
    const amounts used = split(position.m_used);
    const amounts blocked = split(position.m_blocked);
    const amounts smallest = split(position.m_single_task);
    amounts lent{};
    amounts wanted{};
    for (std::size_t i = 0; i < lent.size(); ++i) {
        const std::int64_t whole = std::min(used[i] + blocked[i], std::max(grant[i], used[i]));
        const std::int64_t fair = std::max({used[i], smallest[i], grant[i] / claimants});
        const std::int64_t target = others_want ? std::min(whole, fair) : whole;
        lent[i] = std::max(used[i], std::min(target, grant[i] - lent_to_others[i]));
        wanted[i] = std::max<std::int64_t>(0, target - lent[i]);
    }
    put_amount(record.m_allocated, position.m_pool, lent);
    put_amount(record.m_unmet_demand, position.m_pool, wanted);
    return record;
}

bool is_zero(const quota_amount& amount)
{
    return amount.m_running == 0 && amount.m_reserved == resources{};
}

} // namespace guavabay
