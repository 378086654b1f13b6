#include "fleet/quota_share.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

#include "core/json_fields.h"
#include "fleet/task_record.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr std::int64_t max_running_tasks = 1'000'000'000;

/// Components of an amount: tasks, thousandths of a core, megabytes and accelerators. All of them
/// follow the same arithmetic.
using quota_components = std::array<std::int64_t, 4>;

quota_components to_components(const quota_amount& amount)
{
    return {amount.m_running, amount.m_reserved.m_cpu_millis, amount.m_reserved.m_memory_mb,
            amount.m_reserved.m_accelerators};
}

quota_amount from_components(const quota_components& components)
{
    return {static_cast<std::uint32_t>(components[0]),
            {components[1], components[2], components[3]}};
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
                std::clamp<std::int64_t>(number_field(fields, "running"), 0, max_running_tasks);
            read[pool_id(std::string(entry.key()))] = {static_cast<std::uint32_t>(running),
                                                       read_resources(fields)};
        }
    }
    return read;
}

json::object write_amounts(const std::map<pool_id, quota_amount>& amounts)
{
    json::object object;
    for (const auto& [pool, amount] : amounts) {
        json::object fields{{"running", static_cast<std::int64_t>(amount.m_running)}};
        write_resources(amount.m_reserved, fields);
        object[pool.str()] = std::move(fields);
    }
    return object;
}

/// Counts the pools that have an allocation or unmet demand, including the given pool.
std::size_t count_claimants(const quota_record& record, const pool_id& pool)
{
    std::set<pool_id> claimants{pool};
    for (const auto& [other, allocated] : record.m_allocated) {
        claimants.insert(other);
    }
    for (const auto& [other, unmet] : record.m_unmet_demand) {
        claimants.insert(other);
    }
    return claimants.size();
}

void set_amount(std::map<pool_id, quota_amount>& amounts, const pool_id& pool,
                const quota_components& components)
{
    if (is_zero(from_components(components))) {
        amounts.erase(pool);
        return;
    }
    amounts[pool] = from_components(components);
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

quota_record reallocate_quota(quota_record record, const pool_quota_demand& demand,
                              const std::set<pool_id>& pools)
{
    const auto is_gone = [&pools](const auto& entry) { return !pools.contains(entry.first); };
    std::erase_if(record.m_allocated, is_gone);
    std::erase_if(record.m_unmet_demand, is_gone);
    quota_components allocated_to_others{};
    for (const auto& [pool, allocated] : record.m_allocated) {
        const quota_components components =
            to_components(pool == demand.m_pool ? quota_amount{} : allocated);
        std::transform(components.begin(), components.end(), allocated_to_others.begin(),
                       allocated_to_others.begin(), std::plus<>());
    }
    const bool others_have_unmet_demand =
        std::any_of(record.m_unmet_demand.begin(), record.m_unmet_demand.end(),
                    [&demand](const auto& entry) { return entry.first != demand.m_pool; });
    const auto claimants = static_cast<std::int64_t>(count_claimants(record, demand.m_pool));
    const quota_components grant = to_components(demand.m_grant);
    const quota_components used = to_components(demand.m_used);
    const quota_components blocked = to_components(demand.m_blocked);
    const quota_components single_task = to_components(demand.m_single_task);
    quota_components allocated{};
    quota_components unmet{};
    for (std::size_t i = 0; i < allocated.size(); ++i) {
        const std::int64_t full_demand =
            std::min(used[i] + blocked[i], std::max(grant[i], used[i]));
        const std::int64_t fair_share = std::max({used[i], single_task[i], grant[i] / claimants});
        const std::int64_t target =
            others_have_unmet_demand ? std::min(full_demand, fair_share) : full_demand;
        allocated[i] = std::max(used[i], std::min(target, grant[i] - allocated_to_others[i]));
        unmet[i] = std::max<std::int64_t>(0, target - allocated[i]);
    }
    set_amount(record.m_allocated, demand.m_pool, allocated);
    set_amount(record.m_unmet_demand, demand.m_pool, unmet);
    return record;
}

bool is_zero(const quota_amount& amount)
{
    return amount.m_running == 0 && amount.m_reserved == resources{};
}

} // namespace guavabay
