#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace guavabay {

/// What an entry host says of itself.
enum class member_phase : std::uint8_t { joining, serving, leaving, left };

/// One entry host's process as it describes itself to the others.
struct member {
    host_id m_host;
    zone_id m_zone;
    incarnation m_incarnation;
    std::string m_peer_address; ///< IP number and port of its inner protocol socket.
    member_phase m_phase = member_phase::joining;
    std::uint32_t m_phase_version = 0; ///< Grows with each change of the phase.

    /// Lets the codec read and write the member.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_host, m_zone, m_incarnation, m_peer_address, m_phase, m_phase_version);
    }
};

/// The heartbeat count of a member, passed on by any other member.
struct liveness {
    std::uint32_t m_process = 0; ///< Tag of the host and the incarnation of its process.
    std::uint32_t m_count = 0;

    /// Lets the codec read and write the count.
    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(m_process, m_count);
    }
};

/// A member together with the evidence of its life.
struct member_entry {
    member m_member;
    std::uint32_t m_heartbeat_count = 0;
    time_point m_last_evidence{}; ///< When its count last grew or a datagram of it arrived.
    bool m_suspected = false;     ///< Did not answer a probe; cleared by any evidence.
};

/// Silence after which a member is treated as gone.
inline constexpr milliseconds member_silence_limit{2500};

/// Every entry host that this process has heard of, and which of them are alive.
class member_table {
public:
    /// Makes a table that holds only the process itself.
    member_table(member self, time_point now);

    /// This process's own record.
    [[nodiscard]] const member& self() const { return m_entries.at(m_self).m_member; }

    /// Changes this process's own phase.
    void set_phase(member_phase phase);

    /// Takes in a member's own description; true when it changed what is known.
    bool merge(const member& other, time_point now);

    /// Takes in a heartbeat count that was passed on; false when the process is not known here.
    bool merge_liveness(const liveness& count, time_point now);

    /// Notes that a datagram arrived from this member's running process.
    void heard_from(const host_id& host, incarnation run, time_point now);

    /// Marks a member that did not answer a probe.
    void suspect(const host_id& host);

    /// Counts one heartbeat of this process.
    void beat(time_point now);

    /// Heartbeat counts of all members that are alive.
    [[nodiscard]] std::vector<liveness> liveness_counts(time_point now) const;

    /// True when the member was heard of recently and has not left.
    [[nodiscard]] bool is_alive(const host_id& host, time_point now) const;

    /// When the member last gave a sign of life; empty for an unknown host.
    [[nodiscard]] std::optional<time_point> last_evidence(const host_id& host) const;

    /// The hosts that may own duties: alive, serving, and not suspected.
    [[nodiscard]] std::vector<host_id> serving(time_point now) const;

    /// Finds a member; null when unknown.
    [[nodiscard]] const member_entry* find(const host_id& host) const;

    /// Finds the member whose process has a tag; null when unknown.
    [[nodiscard]] const member_entry* find_process(std::uint32_t tag) const;

    /// All members by host.
    [[nodiscard]] const std::map<host_id, member_entry>& entries() const { return m_entries; }

    /// Drops every member whose process has left and was silent for long.
    void forget_departed(time_point now);

    /// Restarts every silence count, for a process that was itself paused and heard nothing.
    void grant_grace(time_point now);

private:
    host_id m_self;
    std::map<host_id, member_entry> m_entries;
    std::map<std::uint32_t, host_id> m_by_tag; ///< Processes by their tag.
};

/// The short name of a member's process in heartbeats.
std::uint32_t process_tag(const host_id& host, incarnation run);

/// Picks the owner of a name by rendezvous hashing; empty when there is no candidate.
std::optional<host_id> rendezvous_owner(const std::vector<host_id>& candidates,
                                        std::uint64_t name_hash);

} // namespace guavabay
