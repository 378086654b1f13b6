#include "submission/submission_budget.h"

#include <algorithm>
#include <numeric>
#include <string_view>
#include <utility>

namespace guavabay {

namespace {

/// Share of a host's memory for what callers have handed in.
constexpr std::size_t memory_divisor = 4;

/// Shares of the budget that lasting work and cancellations may have.
constexpr std::size_t lasting_divisor = 2;
constexpr std::size_t cancellation_divisor = 8;

/// Submissions that are larger leave this share of the budget free.
constexpr std::size_t small_submission_bytes = 16384;
constexpr std::size_t reserve_divisor = 8;

/// Memory of a run on a worker, of its task and of an order about it, and their share of the host's
/// memory, which is beside the budget.
constexpr std::size_t run_bytes = 1024;
constexpr std::size_t run_divisor = 4;

/// With less than this share free, final states are forgotten sooner.
constexpr std::size_t low_divisor = 4;

std::size_t& held(submission_budget& budget, memory_use use)
{
    return budget.m_held_bytes.at(static_cast<std::size_t>(use));
}

/// Bytes that a use may hold.
std::size_t max_bytes_of(const submission_budget& budget, memory_use use)
{
    switch (use) {
    case memory_use::lasting_work:
        return budget.m_max_bytes / lasting_divisor;
    case memory_use::cancellations:
        return budget.m_max_bytes / cancellation_divisor;
    case memory_use::work:
        break;
    }
    return budget.m_max_bytes;
}

/// Bytes that all uses may hold together with a part of the given size.
std::size_t max_total(const submission_budget& budget, std::size_t bytes)
{
    const std::size_t reserve =
        bytes > small_submission_bytes ? budget.m_max_bytes / reserve_divisor : 0;
    return budget.m_max_bytes - reserve;
}

} // namespace

held_memory::held_memory(held_memory&& other) noexcept
    : m_budget(std::move(other.m_budget)), m_use(other.m_use),
      m_bytes(std::exchange(other.m_bytes, 0))
{
}

held_memory& held_memory::operator=(held_memory&& other) noexcept
{
    if (this != &other) {
        release();
        m_budget = std::move(other.m_budget);
        m_use = other.m_use;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

held_memory::~held_memory()
{
    release();
}

void held_memory::hold(boost::intrusive_ptr<submission_budget> budget, memory_use use,
                       std::size_t bytes)
{
    release();
    m_budget = std::move(budget);
    m_use = use;
    m_bytes = bytes;
    if (m_budget) {
        held(*m_budget, m_use) += m_bytes;
    }
}

void held_memory::release()
{
    if (m_budget) {
        held(*m_budget, m_use) -= m_bytes;
    }
    m_bytes = 0;
}

boost::intrusive_ptr<submission_budget> make_submission_budget(std::size_t memory_mb)
{
    constexpr std::size_t megabyte = 1U << 20U;
    boost::intrusive_ptr<submission_budget> budget(new submission_budget);
    budget->m_max_bytes = memory_mb * megabyte / memory_divisor;
    return budget;
}

std::size_t max_runs(const submission_budget& budget)
{
    return budget.m_max_bytes / run_divisor / run_bytes;
}

bool has_room(const submission_budget& budget, memory_use use, std::size_t bytes)
{
    const std::size_t of_use = budget.m_held_bytes.at(static_cast<std::size_t>(use));
    return of_use + bytes <= max_bytes_of(budget, use) &&
           total_held(budget) + bytes <= max_total(budget, bytes);
}

bool may_ever_have_room(const submission_budget& budget, memory_use use, std::size_t bytes)
{
    return bytes <= std::min(max_bytes_of(budget, use), max_total(budget, bytes));
}

std::size_t total_held(const submission_budget& budget)
{
    return std::accumulate(budget.m_held_bytes.begin(), budget.m_held_bytes.end(), std::size_t{0});
}

bool is_low(const submission_budget& budget)
{
    return total_held(budget) > budget.m_max_bytes - budget.m_max_bytes / low_divisor;
}

std::string format_submission_metrics(const submission_budget& budget)
{
    constexpr std::array<std::string_view, memory_use_count> words{"work", "lasting_work",
                                                                   "cancellations"};
    std::string text;
    for (std::size_t use = 0; use < memory_use_count; ++use) {
        text += "guavabay_submission_bytes{use=\"" + std::string(words.at(use)) + "\"} " +
                std::to_string(budget.m_held_bytes.at(use)) + "\n";
    }
    text += "guavabay_submission_bytes_limit " + std::to_string(budget.m_max_bytes) + "\n";
    text += "guavabay_submission_memory_refusals_total " + std::to_string(budget.m_refusals) + "\n";
    return text;
}

} // namespace guavabay
