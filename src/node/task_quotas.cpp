#include "node/task_quotas.h"

#include "fleet/task_accounting.h"
#include "fleet/task_upkeep.h"

namespace guavabay {

namespace {

constexpr seconds contracts_interval{1};
constexpr milliseconds share_interval{100};
constexpr seconds surplus_time{2}; ///< How long a pool keeps a part of a quota that it may need.

quota_amount amount_of(const std::map<pool_id, quota_amount>& amounts, const pool_id& pool)
{
    const auto found = amounts.find(pool);
    return found == amounts.end() ? quota_amount{} : found->second;
}

bool equal(const quota_amount& left, const quota_amount& right)
{
    return left.m_running == right.m_running && left.m_reserved == right.m_reserved;
}

/// True when a part is in no amount larger than another.
bool is_within(const quota_amount& inner, const quota_amount& outer)
{
    return inner.m_running <= outer.m_running && fits(inner.m_reserved, outer.m_reserved);
}

bool others_want(const quota_record& record, const pool_id& pool)
{
    for (const auto& [other, wanted] : record.m_unmet_demand) {
        if (other != pool) {
            return true;
        }
    }
    return false;
}

pool_quota_demand position_of(const task_duty& duty, const pool_id& pool,
                              const customer_id& customer)
{
    pool_quota_demand position;
    position.m_pool = pool;
    const auto grant = duty.m_board.m_quotas.find(customer);
    if (grant != duty.m_board.m_quotas.end()) {
        position.m_grant = to_quota_amount(grant->second);
    }
    const auto use = duty.m_board.m_quota_usage.find(customer);
    position.m_used = use == duty.m_board.m_quota_usage.end() ? quota_amount{} : use->second;
    position.m_blocked = total_blocked_demand(duty.m_board, customer);
    position.m_single_task = first_blocked_demand(duty.m_board, customer);
    return position;
}

/// True when a new division must be written now rather than when it has lasted.
bool is_pressing(const quota_entry& entry, const quota_record& next, const pool_id& pool)
{
    const quota_amount before = amount_of(entry.m_record.m_allocated, pool);
    const quota_amount after = amount_of(next.m_allocated, pool);
    const bool shrinks = is_within(after, before);
    return !shrinks || others_want(entry.m_record, pool) ||
           !equal(amount_of(entry.m_record.m_unmet_demand, pool),
                  amount_of(next.m_unmet_demand, pool));
}

/// Writes a new division of a quota. What is given back is no longer used from this moment on.
void write_quota(node_state& node, const pool_id& pool, task_duty& duty,
                 const customer_id& customer, const quota_record& next, node_output& out)
{
    quota_entry& entry = duty.m_quotas[customer];
    const quota_amount before = amount_of(entry.m_record.m_allocated, pool);
    const quota_amount after = amount_of(next.m_allocated, pool);
    if (is_within(after, before)) {
        duty.m_board.m_allocated[customer] = after;
    }
    store_swap swap =
        make_swap(std::string(quota_prefix) + customer.str(), entry.m_revision, format_quota(next));
    swap.m_guard_key = task_duty_key(pool);
    swap.m_guard_revision = duty.m_fence;
    entry.m_writing = true;
    duty.m_quota_writes[call_store(node, std::move(swap), out)] = customer;
}

/// Takes over a quota's record as the store has it.
void adopt_quota(const pool_id& pool, task_duty& duty, const customer_id& customer,
                 const config_record& record)
{
    quota_entry& entry = duty.m_quotas[customer];
    entry.m_revision = record.m_revision;
    entry.m_record = parse_quota(record.m_value).value_or(quota_record{});
    const quota_amount lent = amount_of(entry.m_record.m_allocated, pool);
    const auto known = duty.m_board.m_allocated.find(customer);
    if (known == duty.m_board.m_allocated.end() || !equal(lent, known->second)) {
        set_quota_allocation(duty.m_board, customer, lent);
        duty.m_place = true;
    }
}

std::vector<customer_id> customers_of(const task_duty& duty)
{
    std::set<customer_id> customers;
    for (const auto& [customer, blocked] : duty.m_board.m_blocked) {
        customers.insert(customer);
    }
    for (const auto& [customer, lent] : duty.m_board.m_allocated) {
        if (!is_zero(lent)) {
            customers.insert(customer);
        }
    }
    return {customers.begin(), customers.end()};
}

} // namespace

void follow_task_contracts(const node_state& node, task_duty& duty, time_point now, wall_time wall)
{
    if (duty.m_contracts == node.m_view && now < duty.m_next_contracts) {
        return;
    }
    duty.m_contracts = node.m_view;
    duty.m_next_contracts = now + contracts_interval;
    duty.m_board.m_quotas.clear();
    for (const auto& [customer, terms] : node.m_view->m_contracts) {
        if (!access_refusal(terms, wall)) {
            duty.m_board.m_quotas[customer] = terms.m_record.m_terms.m_tasks;
        }
    }
    std::vector<task_id> over;
    for (const auto& [id, one] : duty.m_board.m_tasks) {
        if (!is_final(one.m_state) && !duty.m_board.m_quotas.contains(one.m_customer)) {
            over.push_back(id);
        }
    }
    std::vector<task_order> repeated; // The record itself tells the platform what to stop.
    for (const task_id& id : over) {
        cancel_task(duty.m_board, id, repeated);
        duty.m_board.m_tasks.at(id).m_reason = "the contract's access is over";
    }
}

void share_quotas(node_state& node, const pool_id& pool, task_duty& duty, time_point now,
                  node_output& out)
{
    if (now < duty.m_next_share) {
        return;
    }
    duty.m_next_share = now + share_interval;
    for (const customer_id& customer : customers_of(duty)) {
        quota_entry& entry = duty.m_quotas[customer];
        if (entry.m_writing) {
            continue;
        }
        quota_record next =
            reallocate_quota(entry.m_record, position_of(duty, pool, customer), node.m_pools);
        const bool same =
            equal(amount_of(entry.m_record.m_allocated, pool), amount_of(next.m_allocated, pool)) &&
            equal(amount_of(entry.m_record.m_unmet_demand, pool),
                  amount_of(next.m_unmet_demand, pool));
        if (same) {
            entry.m_surplus_since = {};
            continue;
        }
        if (entry.m_surplus_since == time_point{}) {
            entry.m_surplus_since = now;
        }
        if (is_pressing(entry, next, pool) || now - entry.m_surplus_since >= surplus_time) {
            entry.m_surplus_since = {};
            write_quota(node, pool, duty, customer, next, out);
        }
    }
}

void take_quota_records(const pool_id& pool, task_duty& duty,
                        const std::vector<config_record>& records)
{
    for (const config_record& record : records) {
        if (!record.m_key.starts_with(quota_prefix)) {
            continue;
        }
        const customer_id customer(record.m_key.substr(quota_prefix.size()));
        quota_entry& entry = duty.m_quotas[customer];
        if (entry.m_revision >= record.m_revision) {
            continue;
        }
        if (entry.m_writing) {
            entry.m_overtaking = record;
        }
        else {
            adopt_quota(pool, duty, customer, record);
        }
    }
}

bool on_quota_write_result(const pool_id& pool, task_duty& duty, const store_result& result)
{
    const customer_id customer = duty.m_quota_writes.at(result.m_number);
    duty.m_quota_writes.erase(result.m_number);
    quota_entry& entry = duty.m_quotas[customer];
    entry.m_writing = false;
    if (result.m_outcome == store_outcome::unknown) {
        return true;
    }
    const bool refused = result.m_outcome == store_outcome::refused;
    if (refused && result.m_record.m_revision == entry.m_revision) {
        return false;
    }
    adopt_quota(pool, duty, customer, result.m_record);
    if (entry.m_overtaking.m_revision > entry.m_revision) {
        adopt_quota(pool, duty, customer, entry.m_overtaking);
    }
    return true;
}

} // namespace guavabay
