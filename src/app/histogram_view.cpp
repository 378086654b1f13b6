#include "app/histogram_view.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <iomanip>
#include <sstream>

#include "core/json_fields.h"
#include "core/result.h"

namespace guavabay {

namespace json = boost::json;

namespace {

constexpr std::size_t longest_bar = 40; ///< Characters.
constexpr double ms_per_second = 1000;

std::uint64_t total_of(const histogram_bins& bins)
{
    std::uint64_t total = 0;
    for (const auto& [bound, count] : bins) {
        total += count;
    }
    return total;
}

} // namespace

double quantile_of(const histogram_bins& bins, double share)
{
    const auto wanted =
        static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(total_of(bins))));
    std::uint64_t below = 0;
    for (const auto& [bound, count] : bins) {
        below += count;
        if (below >= wanted && below > 0) {
            return bound;
        }
    }
    return 0;
}

std::string draw_bars(const histogram_bins& bins)
{
    std::uint64_t largest = 0;
    for (const auto& [bound, count] : bins) {
        largest = std::max(largest, count);
    }
    std::ostringstream text;
    for (const auto& [bound, count] : bins) {
        if (count == 0) {
            continue;
        }
        const std::size_t length = std::max<std::size_t>(1, longest_bar * count / largest);
        text << "  " << std::setw(10) << std::fixed << std::setprecision(2) << bound * ms_per_second
             << " ms " << std::setw(8) << count << " " << std::string(length, '#') << "\n";
    }
    return text.str();
}

bool histogram_sum::add(const std::string& body)
{
    const std::optional<json::object> answer = parse_json_object(body);
    const json::value* classes = answer ? answer->if_contains("classes") : nullptr;
    if (classes == nullptr || !classes->is_array()) {
        last_reason() = "the answer has no classes";
        return false;
    }
    for (const json::value& entry : classes->get_array()) {
        const json::object& one = entry.as_object();
        histogram_bins& sum =
            m_requests[text_field(one, "customer") + " " + text_field(one, "class")];
        for (const json::value& bin : one.at("bins").as_array()) {
            sum[bin.at(0).to_number<double>()] += bin.at(1).to_number<std::uint64_t>();
        }
    }
    return true;
}

std::string histogram_sum::describe() const
{
    std::ostringstream text;
    for (const auto& [name, bins] : m_requests) {
        text << name << ": " << total_of(bins) << " requests, " << std::fixed
             << std::setprecision(2) << "p50 " << quantile_of(bins, 0.5) * ms_per_second
             << " ms, p99 " << quantile_of(bins, 0.99) * ms_per_second << " ms\n"
             << draw_bars(bins);
    }
    return text.str();
}

} // namespace guavabay
