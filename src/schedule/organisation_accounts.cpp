#include "schedule/organisation_accounts.h"

#include <algorithm>
#include <map>
#include <vector>

#include "schedule/shard_steps.h"

namespace guavabay {

namespace {

/// Capacity of a bucket: a time at the organisation's rate and a number of submissions, so that
/// uneven arrivals of a small organisation don't count as excess. A longer time would let a burst
/// of a large one count as guaranteed for about a second.
constexpr double bucket_seconds = 1;
constexpr double bucket_base_tokens = 8;

/// Limit of organisations that have metrics of their own.
constexpr std::size_t max_listed_organisations = 32;

/// Mean weight of the organisations; public work has this weight among them.
double mean_weight(const shard& state)
{
    double sum = 0;
    for (const auto& [id, terms] : state.m_organisations) {
        sum += std::max(1U, terms.m_weight);
    }
    return state.m_organisations.empty() ? 1
                                         : sum / static_cast<double>(state.m_organisations.size());
}

void update_account(const shard& state, const organisation_id& id, organisation_account& account)
{
    account.m_is_public = id.empty();
    const auto found = state.m_organisations.find(id);
    const organisation_terms terms =
        found == state.m_organisations.end() ? organisation_terms() : found->second;
    account.m_weight = account.m_is_public ? mean_weight(state) : std::max(1U, terms.m_weight);
    account.m_max_cores = terms.m_cap.m_cpu_millis < unlimited_amount
                              ? static_cast<double>(terms.m_cap.m_cpu_millis) / 1000.0
                              : std::numeric_limits<double>::infinity();
}

double bucket_size(const organisation_account& account)
{
    return bucket_base_tokens + account.m_weight * bucket_seconds;
}

void add_counts(organisation_counts& sum, const organisation_counts& added)
{
    sum.m_accepted += added.m_accepted;
    sum.m_refused += added.m_refused;
    sum.m_on_time += added.m_on_time;
}

/// The value of a metric's label: quotes, backslashes and line ends are escaped.
std::string escape_label(const std::string& value)
{
    std::string escaped;
    for (const char each : value) {
        if (each == '"' || each == '\\') {
            escaped += '\\';
        }
        if (each == '\n') {
            escaped += "\\n";
            continue;
        }
        escaped += each;
    }
    return escaped;
}

/// Cores that the runs of each organisation reserve.
std::map<organisation_id, double> sum_cores_in_use(const shard& state)
{
    std::map<organisation_id, double> cores;
    for (const auto& [id, worker] : state.m_workers) {
        for (const auto& [key, slot] : worker->m_runs) {
            const auto found = state.m_submissions.find(slot.m_task.m_submission);
            if (found != state.m_submissions.end()) {
                cores[found->second->m_organisation] +=
                    static_cast<double>(slot.m_reserved.m_cpu_millis) / 1000.0;
            }
        }
    }
    return cores;
}

/// The organisations with the largest weights, and by name among equal ones.
std::vector<organisation_id> find_listed_organisations(const shard& state)
{
    std::vector<std::pair<std::uint32_t, organisation_id>> sorted;
    sorted.reserve(state.m_organisations.size());
    for (const auto& [id, terms] : state.m_organisations) {
        sorted.emplace_back(terms.m_weight, id);
    }
    std::sort(sorted.begin(), sorted.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first > right.first : left.second < right.second;
    });
    sorted.resize(std::min(sorted.size(), max_listed_organisations));
    std::vector<organisation_id> listed;
    listed.reserve(sorted.size());
    for (const auto& [weight, id] : sorted) {
        listed.push_back(id);
    }
    return listed;
}

} // namespace

organisation_account& account_of(shard& state, submission_record& record)
{
    if (record.m_account == nullptr) {
        const auto [found, is_new] = state.m_accounts.try_emplace(record.m_organisation);
        if (is_new) {
            update_account(state, found->first, found->second);
        }
        record.m_account = &found->second;
    }
    return *record.m_account;
}

void begin_pass(shard& state)
{
    ++state.m_account_pass;
}

std::size_t slot_of(const shard& state, organisation_account& account, std::size_t next)
{
    if (account.m_pass != state.m_account_pass) {
        account.m_pass = state.m_account_pass;
        account.m_slot = next;
    }
    return account.m_slot;
}

void update_accounts(shard& state)
{
    for (submission_record* open : state.m_open_submissions) {
        open->m_account = nullptr;
    }
    for (auto it = state.m_accounts.begin(); it != state.m_accounts.end();) {
        const bool has_terms = it->first.empty() || state.m_organisations.contains(it->first);
        if (has_terms) {
            update_account(state, it->first, it->second);
            ++it;
            continue;
        }
        add_counts(state.m_former_organisations, it->second.m_counts);
        it = state.m_accounts.erase(it);
    }
}

bool is_beyond_rate(organisation_account& account, time_point now)
{
    if (account.m_is_public) {
        return false;
    }
    if (account.m_filled_at == time_point{}) {
        account.m_tokens = bucket_size(account);
    }
    else {
        const double passed_s = to_milliseconds(now - account.m_filled_at) / 1000.0;
        account.m_tokens = std::min(bucket_size(account),
                                    account.m_tokens + std::max(0.0, passed_s) * account.m_weight);
    }
    account.m_filled_at = now;
    return account.m_tokens < 1;
}

void take_token(organisation_account& account)
{
    account.m_tokens -= 1;
}

void count_success(shard& state, submission_record& record, wall_time wall)
{
    if (state.m_organisations.empty() || record.m_definition.m_repeat_count > 0) {
        return;
    }
    const milliseconds taken =
        milliseconds(unix_ms(wall) - record.m_accepted_ms) + record.m_waited_to_return;
    if (taken <= record.m_objective - record.m_arrived) {
        ++account_of(state, record).m_counts.m_on_time;
    }
}

std::string format_organisation_metrics(const shard& state)
{
    if (state.m_organisations.empty()) {
        return {};
    }
    std::string text;
    const auto lines = [&](const std::string& name, const organisation_counts& counts,
                           double cores) {
        const std::string labels = "{service=\"" + escape_label(state.m_service.str()) +
                                   "\",organisation=\"" + escape_label(name) + "\"} ";
        const auto line = [&](const std::string& metric, double value) {
            text += "guavabay_organisation_" + metric + labels + std::to_string(value) + "\n";
        };
        line("accepted_total", static_cast<double>(counts.m_accepted));
        line("refused_total", static_cast<double>(counts.m_refused));
        line("on_time_total", static_cast<double>(counts.m_on_time));
        line("cores_in_use", cores);
    };
    std::map<organisation_id, double> cores = sum_cores_in_use(state);
    const std::vector<organisation_id> listed = find_listed_organisations(state);
    for (const organisation_id& id : listed) {
        const auto found = state.m_accounts.find(id);
        lines(id.str(),
              found == state.m_accounts.end() ? organisation_counts() : found->second.m_counts,
              cores[id]);
        cores.erase(id);
    }
    organisation_counts others = state.m_former_organisations;
    for (const auto& [id, account] : state.m_accounts) {
        if (std::find(listed.begin(), listed.end(), id) == listed.end()) {
            add_counts(others, account.m_counts);
        }
    }
    double other_cores = 0;
    for (const auto& [id, used] : cores) {
        other_cores += used;
    }
    lines("other", others, other_cores);
    return text;
}

} // namespace guavabay
