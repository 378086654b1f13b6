#include "schedule/departures.h"

namespace guavabay {

namespace {

constexpr milliseconds count_interval{1000};

/// Hosts that have not applied a version yet hand in work of organisations that it no longer has.
/// Twice the time within which the platform wants a version applied everywhere.
constexpr milliseconds search_time{6000};

/// How long an organisation without work stays in the metrics.
constexpr seconds idle_retention{3600};

/// Most organisations in the metrics of a shard; the first by name.
constexpr std::size_t max_metrics = 32;

/// The organisation that a run belongs to; null if its submission is not known.
const organisation_id* organisation_of(const shard& state, const run_slot& run)
{
    const auto found = state.m_submissions.find(run.m_task.m_submission);
    return found == state.m_submissions.end() ? nullptr : &found->second->m_organisation;
}

/// Finds organisations that have open submissions or runs and are not configured.
void find_departed(departures& known, const shard& state, time_point now)
{
    const auto add = [&known, now](const organisation_id& id) {
        if (!id.empty() && !known.m_configured.contains(id)) {
            known.m_left.try_emplace(id).first->second.m_left_at = now;
        }
    };
    for (const submission_record* open : state.m_open_submissions) {
        add(open->m_organisation);
    }
    for (const auto& [id, worker] : state.m_workers) {
        for (const auto& [name, run] : worker->m_runs) {
            const organisation_id* organisation = organisation_of(state, run);
            if (organisation != nullptr) {
                add(*organisation);
            }
        }
    }
}

void count_submissions(departures& known, const shard& state)
{
    for (const submission_record* open : state.m_open_submissions) {
        const auto found = known.m_left.find(open->m_organisation);
        if (found != known.m_left.end()) {
            ++found->second.m_open_submissions;
        }
    }
}

void count_runs(departures& known, const shard& state)
{
    for (const auto& [id, worker] : state.m_workers) {
        std::set<organisation_id> running;
        for (const auto& [name, run] : worker->m_runs) {
            const organisation_id* organisation = organisation_of(state, run);
            const auto found =
                organisation == nullptr ? known.m_left.end() : known.m_left.find(*organisation);
            if (found != known.m_left.end()) {
                ++found->second.m_runs;
                running.insert(*organisation);
            }
        }
        for (const organisation_id& organisation : running) {
            ++known.m_left.at(organisation).m_workers;
        }
    }
}

std::int64_t elapsed_ms(time_point since, time_point now)
{
    return static_cast<std::int64_t>(to_milliseconds(now - since));
}

std::string describe(const organisation_id& id, const departed_organisation& left,
                     std::string_view event, time_point now)
{
    return "organisation that left " + std::string(event) + " organisation=" + id.str() +
           " open=" + std::to_string(left.m_open_submissions) +
           " runs=" + std::to_string(left.m_runs) + " workers=" + std::to_string(left.m_workers) +
           " left_ms=" + std::to_string(elapsed_ms(left.m_left_at, now)) + " idle_ms=" +
           (left.m_idle_since ? std::to_string(elapsed_ms(*left.m_idle_since, now)) : "none");
}

/// True if a line is due: what is left has changed from something to nothing, or back.
bool is_notable(const departed_organisation& before, const departed_organisation& after)
{
    return before.m_idle_since.has_value() != after.m_idle_since.has_value() ||
           (before.m_open_submissions == 0) != (after.m_open_submissions == 0);
}

} // namespace

void set_configured(departures& known, const organisation_directory& organisations, time_point now)
{
    const bool had_organisations = !known.m_configured.empty();
    known.m_configured.clear();
    for (const auto& [id, configured] : organisations.all()) {
        known.m_configured.insert(id);
    }
    std::erase_if(known.m_left,
                  [&](const auto& entry) { return known.m_configured.contains(entry.first); });
    if (had_organisations || !known.m_configured.empty()) {
        known.m_search_until = now + search_time;
    }
}

bool may_have_unknown_runs(const shard& state)
{
    if (!state.m_loaded || !state.m_awaited_workers.empty()) {
        return true;
    }
    for (const auto& [id, worker] : state.m_workers) {
        for (const auto& [name, run] : worker->m_runs) {
            if (organisation_of(state, run) == nullptr) {
                return true;
            }
        }
    }
    return false;
}

std::vector<std::string> update_departures(departures& known, const shard& state, time_point now)
{
    if (!state.m_loaded || now - known.m_counted_at < count_interval) {
        return {};
    }
    // A new owner may inherit work of organisations that left before.
    const bool first = known.m_counted_at == time_point{};
    if (first && !known.m_configured.empty()) {
        known.m_search_until = now + search_time;
    }
    const bool searching = first || now < known.m_search_until;
    if (!searching && known.m_left.empty()) {
        return {};
    }
    known.m_counted_at = now;
    const std::map<organisation_id, departed_organisation> before = known.m_left;
    if (searching) {
        find_departed(known, state, now);
    }
    for (auto& [id, left] : known.m_left) {
        const auto earlier = before.find(id);
        left = {};
        left.m_left_at = earlier == before.end() ? now : earlier->second.m_left_at;
        left.m_idle_since = earlier == before.end() ? std::nullopt : earlier->second.m_idle_since;
    }
    count_submissions(known, state);
    count_runs(known, state);
    const bool unknown_runs = may_have_unknown_runs(state);
    std::vector<std::string> lines;
    for (auto& [id, left] : known.m_left) {
        if (left.m_runs > 0 || unknown_runs) {
            left.m_idle_since.reset();
        }
        else if (!left.m_idle_since) {
            left.m_idle_since = now;
        }
        const auto earlier = before.find(id);
        if (earlier == before.end()) {
            lines.push_back(describe(id, left, "has work", now));
        }
        else if (is_notable(earlier->second, left)) {
            lines.push_back(
                describe(id, left, left.m_idle_since ? "runs nothing" : "may run something", now));
        }
    }
    std::erase_if(known.m_left, [now](const auto& entry) {
        const departed_organisation& left = entry.second;
        return left.m_open_submissions == 0 && left.m_idle_since &&
               now - *left.m_idle_since > idle_retention;
    });
    return lines;
}

std::string format_departure_metrics(const departures& known, const service_id& service,
                                     time_point now)
{
    std::string text;
    std::size_t count = 0;
    for (const auto& [id, left] : known.m_left) {
        if (++count > max_metrics) {
            break;
        }
        const std::string labels =
            "{service=\"" + service.str() + "\",organisation=\"" + id.str() + "\"} ";
        const auto line = [&](const char* name, std::int64_t value) {
            text +=
                "guavabay_departed_" + std::string(name) + labels + std::to_string(value) + "\n";
        };
        line("open_submissions", static_cast<std::int64_t>(left.m_open_submissions));
        line("runs", static_cast<std::int64_t>(left.m_runs));
        line("workers", static_cast<std::int64_t>(left.m_workers));
        // Absent while something runs or may run.
        if (left.m_idle_since) {
            line("idle_ms", elapsed_ms(*left.m_idle_since, now));
        }
    }
    return text;
}

} // namespace guavabay
