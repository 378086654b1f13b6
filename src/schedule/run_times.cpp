#include "schedule/run_times.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <cmath>

namespace guavabay {

namespace {

/// Scale of the distributions: four buckets per octave.
constexpr double lowest_ratio = 1.0 / 32;
constexpr double highest_ratio = 128;

/// Each sample counts this much more than the one before: the newest hundred dominate, which hold
/// three tasks of a tail of three in a hundred.
constexpr double weight_growth = 1.01;
/// Weights are scaled down when the newest reaches this.
constexpr double max_weight = 1e6;

/// Weight, in newest samples, of the assumption that half of what reaches a ratio reaches 1.4 times
/// of it; the mean beyond is then twice of it.
constexpr double heavy_tail_weight = 0.5;

/// Number of submissions after which older ones count less.
constexpr double submission_window = 50;
/// Weight in submissions of the assumptions that a new owner begins with: estimates are right on
/// the mean, don't depend on their size, and differ between submissions by a third.
constexpr double prior_mean_weight = 0.25;
constexpr double prior_slope_weight = 10;
constexpr double prior_variance_weight = 3;
constexpr double prior_variance_between = 0.1;
constexpr double prior_variance_within = 0.04;

/// Weight of the newest sample in the variance within submissions.
constexpr double within_weight = 0.02;
/// Larger differences of logarithms within a submission come from the tail and count as this.
constexpr double max_within_difference = 0.7;
/// Larger differences of a logarithm from the expected one count as this.
constexpr double max_log_difference = 2.5;

/// Limits of the expected factor.
constexpr double min_factor = 0.05;
constexpr double max_factor = 30;

/// Share of the runs that does not exceed the high multiple.
constexpr double high_share = 0.99;

using ratio_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

const ratio_axis& scale()
{
    static const ratio_axis axis(ratio_distribution::bucket_count, lowest_ratio, highest_ratio);
    return axis;
}

/// Geometric centres of the buckets.
const std::array<double, ratio_distribution::bucket_count>& centres()
{
    static const auto table = [] {
        std::array<double, ratio_distribution::bucket_count> values{};
        for (std::size_t i = 0; i < values.size(); ++i) {
            values[i] = scale().value(static_cast<double>(i) + 0.5);
        }
        return values;
    }();
    return table;
}

double median_of(const submission_run_times& times)
{
    // The lower of two: what takes too long is the rule's exception.
    return times.m_log_ratios[(times.m_samples - 1) / 2];
}

/// Change of the logarithm of the ratio with the logarithm of the estimate: 0 for estimates that
/// are right or wrong at random, -1 for estimates that say nothing.
double slope_of(const run_time_model& model)
{
    if (model.m_variance_estimate <= 0) {
        return 0;
    }
    const double slope = std::clamp(model.m_covariance / model.m_variance_estimate, -1.0, 0.0);
    return slope * model.m_submissions / (model.m_submissions + prior_slope_weight);
}

/// Expected logarithm of the factor of a submission that has told nothing.
double log_factor(const run_time_model& model, const submission_run_times& times)
{
    const double mean =
        model.m_mean_log_ratio * model.m_submissions / (model.m_submissions + prior_mean_weight);
    return mean + slope_of(model) * (times.m_log_estimate - model.m_mean_log_estimate);
}

/// Variance of the logarithm of the factor between submissions, around the expected one.
double variance_between(const run_time_model& model)
{
    const double around_line =
        model.m_variance_ratio - slope_of(model) * slope_of(model) * model.m_variance_estimate;
    const double measured = std::max(0.0, around_line - model.m_variance_within);
    return (measured * model.m_submissions + prior_variance_between * prior_variance_weight) /
           (model.m_submissions + prior_variance_weight);
}

/// A logarithm of a ratio, moved towards what is expected if it is far from that: tasks of the tail
/// say little about the factor of a submission.
double limit_outlier(const submission_run_times& times, double log_ratio, double untold)
{
    const double expected = times.m_samples > 0 ? median_of(times) : untold;
    const double limit = times.m_samples > 0 ? max_within_difference : max_log_difference;
    return std::clamp(log_ratio, expected - limit, expected + limit);
}

} // namespace

void add_ratio(ratio_distribution& distribution, double ratio)
{
    const int bucket =
        std::clamp(scale().index(ratio), 0, static_cast<int>(ratio_distribution::bucket_count) - 1);
    distribution.m_weights[static_cast<std::size_t>(bucket)] += distribution.m_next_weight;
    distribution.m_total += distribution.m_next_weight;
    distribution.m_next_weight *= weight_growth;
    ++distribution.m_samples;
    if (distribution.m_next_weight > max_weight) {
        for (double& weight : distribution.m_weights) {
            weight /= max_weight;
        }
        distribution.m_total /= max_weight;
        distribution.m_next_weight /= max_weight;
    }
}

double quantile_of(const ratio_distribution& distribution, double share)
{
    if (distribution.m_samples == 0) {
        return 1;
    }
    double below = 0;
    const double wanted = share * distribution.m_total;
    for (std::size_t i = 0; i < ratio_distribution::bucket_count; ++i) {
        const double weight = distribution.m_weights[i];
        if (weight > 0 && below + weight >= wanted) {
            const double part = std::clamp((wanted - below) / weight, 0.0, 1.0);
            return scale().value(static_cast<double>(i) + part);
        }
        below += weight;
    }
    return highest_ratio;
}

double mean_of(const ratio_distribution& distribution)
{
    if (distribution.m_samples == 0) {
        return 1;
    }
    double sum = 0;
    for (std::size_t i = 0; i < ratio_distribution::bucket_count; ++i) {
        sum += distribution.m_weights[i] * centres()[i];
    }
    return sum / distribution.m_total;
}

double expected_beyond(const ratio_distribution& distribution, double reached)
{
    double weight = heavy_tail_weight * distribution.m_next_weight;
    double sum = weight * 2 * reached;
    for (std::size_t i = 0; i < ratio_distribution::bucket_count; ++i) {
        const double centre = centres()[i];
        if (centre > reached) {
            weight += distribution.m_weights[i];
            sum += distribution.m_weights[i] * centre;
        }
    }
    return sum / weight;
}

void add_task_ratio(submission_run_times& times, double ratio)
{
    if (times.m_samples == submission_run_times::max_samples || ratio <= 0) {
        return;
    }
    const double log_ratio = std::log(ratio);
    auto* const end = times.m_log_ratios.data() + times.m_samples;
    auto* const place = std::upper_bound(times.m_log_ratios.data(), end, log_ratio);
    std::copy_backward(place, end, end + 1);
    *place = log_ratio;
    ++times.m_samples;
    times.m_changed = true;
}

submission_run_times without_ratio(const submission_run_times& times, double ratio)
{
    submission_run_times others = times;
    if (others.m_samples == 0) {
        return others;
    }
    const double log_ratio = std::log(std::max(ratio, lowest_ratio));
    auto* const begin = others.m_log_ratios.data();
    auto* const end = begin + others.m_samples;
    auto* const closest = std::min_element(begin, end, [&](double left, double right) {
        return std::abs(left - log_ratio) < std::abs(right - log_ratio);
    });
    std::copy(closest + 1, end, closest);
    --others.m_samples;
    return others;
}

run_time_model::run_time_model() : m_variance_within(prior_variance_within) {}

void add_run(run_time_model& model, const submission_run_times& times, double ratio,
             std::uint32_t tasks)
{
    const double log_ratio = std::log(std::max(ratio, lowest_ratio));
    const double untold = log_factor(model, times);
    ++model.m_samples;
    add_ratio(model.m_untold, ratio / std::exp(untold));
    if (times.m_samples > 0) {
        add_ratio(model.m_told, ratio / estimate_factor(model, times));
        const double difference =
            std::min(std::abs(log_ratio - median_of(times)), max_within_difference);
        // Both differ from the true value, hence half.
        model.m_variance_within +=
            within_weight * (difference * difference / 2 - model.m_variance_within);
    }
    const double weight = 1.0 / std::max<std::uint32_t>(1, tasks);
    model.m_submissions = model.m_submissions * (1 - weight / submission_window) + weight;
    const double step = weight / model.m_submissions;
    const double x = times.m_log_estimate - model.m_mean_log_estimate;
    const double y = limit_outlier(times, log_ratio, untold) - model.m_mean_log_ratio;
    model.m_mean_log_estimate += step * x;
    model.m_mean_log_ratio += step * y;
    model.m_variance_estimate = (1 - step) * (model.m_variance_estimate + step * x * x);
    model.m_variance_ratio = (1 - step) * (model.m_variance_ratio + step * y * y);
    model.m_covariance = (1 - step) * (model.m_covariance + step * x * y);

    model.m_untold_high = quantile_of(model.m_untold, high_share);
    model.m_told_high = quantile_of(model.m_told, high_share);
}

double estimate_factor(const run_time_model& model, const submission_run_times& times)
{
    double result = log_factor(model, times);
    if (times.m_samples > 0) {
        const double between = variance_between(model);
        const double within = model.m_variance_within / static_cast<double>(times.m_samples);
        result += between / (between + within) * (median_of(times) - result);
    }
    return std::clamp(std::exp(result), min_factor, max_factor);
}

double high_over_typical(const run_time_model& model, const submission_run_times& times)
{
    return std::max(1.0, times.m_samples > 0 ? model.m_told_high : model.m_untold_high);
}

double expected_over_typical(const run_time_model& model, const submission_run_times& times,
                             double reached)
{
    return expected_beyond(times.m_samples > 0 ? model.m_told : model.m_untold, reached);
}

} // namespace guavabay
