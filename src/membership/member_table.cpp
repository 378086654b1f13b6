#include "membership/member_table.h"

#include "core/check.h"

namespace guavabay {

namespace {

constexpr seconds departed_memory{60};

bool is_newer(const member& candidate, const member& known)
{
    if (candidate.m_incarnation != known.m_incarnation) {
        return candidate.m_incarnation > known.m_incarnation;
    }
    return candidate.m_phase_version > known.m_phase_version;
}

} // namespace

member_table::member_table(member self, time_point now) : m_self(self.m_host)
{
    check(!m_self.empty(), "a member has a host id");
    m_by_tag[process_tag(m_self, self.m_incarnation)] = m_self;
    m_entries[m_self] = {std::move(self), 0, now, false};
}

void member_table::set_phase(member_phase phase)
{
    member& self = m_entries.at(m_self).m_member;
    if (self.m_phase != phase) {
        self.m_phase = phase;
        ++self.m_phase_version;
    }
}

bool member_table::merge(const member& other, time_point now)
{
    if (other.m_host == m_self || other.m_host.empty()) {
        return false;
    }
    const auto found = m_entries.find(other.m_host);
    if (found == m_entries.end()) {
        m_by_tag[process_tag(other.m_host, other.m_incarnation)] = other.m_host;
        m_entries[other.m_host] = {other, 0, now, false};
        return true;
    }
    member_entry& entry = found->second;
    if (!is_newer(other, entry.m_member)) {
        return false;
    }
    if (other.m_incarnation > entry.m_member.m_incarnation) {
        m_by_tag.erase(process_tag(other.m_host, entry.m_member.m_incarnation));
        m_by_tag[process_tag(other.m_host, other.m_incarnation)] = other.m_host;
        entry.m_heartbeat_count = 0;
        entry.m_last_evidence = now;
        entry.m_suspected = false;
    }
    entry.m_member = other;
    return true;
}

bool member_table::merge_liveness(const liveness& count, time_point now)
{
    const auto name = m_by_tag.find(count.m_process);
    if (name == m_by_tag.end()) {
        return false;
    }
    if (name->second == m_self) {
        return true;
    }
    member_entry& entry = m_entries.at(name->second);
    if (count.m_count > entry.m_heartbeat_count) {
        entry.m_heartbeat_count = count.m_count;
        entry.m_last_evidence = now;
        entry.m_suspected = false;
    }
    return true;
}

void member_table::heard_from(const host_id& host, incarnation run, time_point now)
{
    const auto found = m_entries.find(host);
    if (found == m_entries.end() || found->second.m_member.m_incarnation != run) {
        return;
    }
    found->second.m_last_evidence = now;
    found->second.m_suspected = false;
}

void member_table::suspect(const host_id& host)
{
    const auto found = m_entries.find(host);
    if (found != m_entries.end() && host != m_self) {
        found->second.m_suspected = true;
    }
}

void member_table::beat(time_point now)
{
    member_entry& entry = m_entries.at(m_self);
    ++entry.m_heartbeat_count;
    entry.m_last_evidence = now;
}

std::vector<liveness> member_table::liveness_counts(time_point now) const
{
    std::vector<liveness> counts;
    counts.reserve(m_entries.size());
    for (const auto& [host, entry] : m_entries) {
        if (is_alive(host, now)) {
            counts.push_back(
                {process_tag(host, entry.m_member.m_incarnation), entry.m_heartbeat_count});
        }
    }
    return counts;
}

bool member_table::is_alive(const host_id& host, time_point now) const
{
    const member_entry* entry = find(host);
    if (entry == nullptr || entry->m_member.m_phase == member_phase::left) {
        return false;
    }
    return host == m_self || now - entry->m_last_evidence < member_silence_limit;
}

std::optional<time_point> member_table::last_evidence(const host_id& host) const
{
    const member_entry* entry = find(host);
    return entry == nullptr ? std::nullopt : std::optional(entry->m_last_evidence);
}

std::vector<host_id> member_table::serving(time_point now) const
{
    std::vector<host_id> hosts;
    for (const auto& [host, entry] : m_entries) {
        const bool in_service = entry.m_member.m_phase == member_phase::serving;
        if (in_service && !entry.m_suspected && is_alive(host, now)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

const member_entry* member_table::find(const host_id& host) const
{
    const auto found = m_entries.find(host);
    return found == m_entries.end() ? nullptr : &found->second;
}

void member_table::forget_departed(time_point now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        const bool left = it->second.m_member.m_phase == member_phase::left;
        if (left && now - it->second.m_last_evidence > departed_memory) {
            m_by_tag.erase(process_tag(it->first, it->second.m_member.m_incarnation));
            it = m_entries.erase(it);
        }
        else {
            ++it;
        }
    }
}

void member_table::grant_grace(time_point now)
{
    for (auto& [host, entry] : m_entries) {
        entry.m_last_evidence = now;
        entry.m_suspected = false;
    }
}

const member_entry* member_table::find_process(std::uint32_t tag) const
{
    const auto found = m_by_tag.find(tag);
    return found == m_by_tag.end() ? nullptr : find(found->second);
}

std::uint32_t process_tag(const host_id& host, incarnation run)
{
    return static_cast<std::uint32_t>(mix(stable_hash(host.str()), run.get()));
}

std::optional<host_id> rendezvous_owner(const std::vector<host_id>& candidates,
                                        std::uint64_t name_hash)
{
    std::optional<host_id> best;
    std::uint64_t best_score = 0;
    for (const host_id& candidate : candidates) {
        const std::uint64_t score = mix(stable_hash(candidate.str()), name_hash);
        if (!best || score > best_score) {
            best = candidate;
            best_score = score;
        }
    }
    return best;
}

} // namespace guavabay
