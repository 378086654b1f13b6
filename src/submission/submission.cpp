#include "submission/submission.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "core/result.h"

namespace guavabay {

std::string to_string(const task_name& name)
{
    return name.m_submission.str() + '.' + std::to_string(name.m_occurrence) + '.' +
           std::to_string(name.m_step) + '.' + std::to_string(name.m_index);
}

std::optional<task_name> parse_task_name(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers{};
    for (std::size_t i = numbers.size(); i-- > 0;) {
        const std::size_t dot = text.rfind('.');
        if (dot == std::string_view::npos) {
            return fail("malformed task name: fewer than four parts separated by dots");
        }
        const std::string_view part = text.substr(dot + 1);
        const auto [end, status] =
            std::from_chars(part.data(), part.data() + part.size(), numbers[i]);
        if (status != std::errc() || end != part.data() + part.size()) {
            return fail("malformed task name: occurrence, step or index is not a 32-bit number");
        }
        text = text.substr(0, dot);
    }
    if (text.empty()) {
        return fail("malformed task name: no submission id");
    }
    return task_name{submission_id(std::string(text)), numbers[0], numbers[1], numbers[2]};
}

std::chrono::milliseconds critical_path_length(const submission& request)
{
    std::vector<std::chrono::milliseconds> ends(request.m_steps.size());
    std::chrono::milliseconds longest{0};
    for (std::size_t i = 0; i < request.m_steps.size(); ++i) {
        std::chrono::milliseconds begin{0};
        for (const std::uint32_t earlier : request.m_steps[i].m_after) {
            begin = std::max(begin, ends[earlier]);
        }
        ends[i] = begin + request.m_steps[i].m_estimate;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

double total_core_ms(const submission& request)
{
    double work = 0;
    for (const submission_step& step : request.m_steps) {
        work += static_cast<double>(step.m_task_count) *
                static_cast<double>(step.m_demand.m_cpu_millis) / 1000.0 *
                static_cast<double>(step.m_estimate.count());
    }
    return work;
}

} // namespace guavabay
