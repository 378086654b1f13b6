#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace guavabay {

/// Distribution of a positive ratio in buckets of a logarithmic scale, in which older samples count
/// less. Its size is fixed, and no operation allocates.
struct ratio_distribution {
    static constexpr std::size_t bucket_count = 48;
    std::array<double, bucket_count> m_weights{};
    double m_total = 0;       ///< Sum of the weights.
    double m_next_weight = 1; ///< Of the next sample; grows instead of all others shrinking.
    std::uint32_t m_samples = 0;
};

/// Adds a sample. One outside of the scale, which goes from 1/32 to 128, counts at its end.
void add_ratio(ratio_distribution& distribution, double ratio);

/// The ratio below which a share of the samples lies; 1 without samples.
double quantile_of(const ratio_distribution& distribution, double share);

/// The mean of the samples; 1 without samples.
double mean_of(const ratio_distribution& distribution);

/// The expected ratio of something that has reached `reached` already: the mean of the samples
/// above it. Where samples above are few the result approaches twice of what has been reached, as
/// in a heavy tail.
double expected_beyond(const ratio_distribution& distribution, double reached);

/// Ratios of run time to declared estimate that the tasks of one submission have told.
struct submission_run_times {
    static constexpr std::size_t max_samples = 7;
    /// Mean natural logarithm of the declared estimates in milliseconds, over the steps that end.
    double m_log_estimate = 0;
    std::array<double, max_samples> m_log_ratios{}; ///< Natural logarithms, in ascending order.
    std::size_t m_samples = 0;
    bool m_changed = false; ///< A sample came after the deadlines were last determined.
};

/// Adds the ratio of one task. Samples beyond the limit are ignored.
void add_task_ratio(submission_run_times& times, double ratio);

/// The same without the sample that is closest to a ratio: what the other tasks have told.
submission_run_times without_ratio(const submission_run_times& times, double ratio);

/// Run times of a queue, or of one organisation's submissions in it: how its declared estimates
/// relate to them across submissions, and how the tasks of one submission differ. A submission's
/// estimates are taken to be wrong by one common factor. The logarithm of that factor is expected
/// to fall linearly with the logarithm of the estimate: of wrong estimates the small ones are too
/// small more often.
struct run_time_model {
    /// Run time over expected run time, of submissions that had told nothing yet.
    ratio_distribution m_untold;
    /// The same, by what other tasks of the submission had told.
    ratio_distribution m_told;
    double m_submissions = 0; ///< Decayed number of submissions, each of weight one.
    double m_mean_log_estimate = 0;
    double m_mean_log_ratio = 0;
    double m_variance_estimate = 0; ///< Of the logarithms of estimates.
    double m_variance_ratio = 0;    ///< Of the logarithms of ratios.
    double m_covariance = 0;
    double m_variance_within; ///< Of the logarithms of ratios in one submission, without outliers.
    std::uint32_t m_samples = 0;
    double m_untold_high =
        1;                  ///< Above nearly all of m_untold; kept so that planning needn't sum up.
    double m_told_high = 1; ///< Above nearly all of m_told.

    run_time_model();
};

/// Adds a run of one of a submission's `tasks` tasks that has ended. The submission's own ratios
/// must not contain this run yet.
void add_run(run_time_model& model, const submission_run_times& times, double ratio,
             std::uint32_t tasks);

/// The factor by which the declared estimates of a submission are expected to be wrong: 1 without
/// samples. Typical, not mean: a task of the tail takes longer.
double estimate_factor(const run_time_model& model, const submission_run_times& times);

/// A multiple of the typical run time that hardly any run exceeds, at least 1.
double high_over_typical(const run_time_model& model, const submission_run_times& times);

/// Expected run time over the typical one of a run that has taken `reached` of the typical one.
double expected_over_typical(const run_time_model& model, const submission_run_times& times,
                             double reached);

} // namespace guavabay
