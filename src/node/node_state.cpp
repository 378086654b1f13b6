#include "node/node_state.h"

namespace guavabay {

void node_output::clear()
{
    m_sends.clear();
    m_address_sends.clear();
    m_edge.clear();
    m_store.clear();
    m_operators.clear();
    m_log.clear();
    m_view_changed = false;
}

node_state::node_state(node_settings settings, time_point now)
    : m_settings(std::move(settings)), m_members(m_settings.m_self, now), m_config(validate_record),
      m_view(make_config_view(m_config)), m_last_tick(now), m_last_outside_contact(now)
{
    m_sync.m_since = now;
    m_heartbeat_turn = stable_hash(m_settings.m_self.m_host.str());
}

std::uint64_t process_origin(const host_id& host, incarnation run)
{
    return mix(stable_hash(host.str()), run.get());
}

std::uint64_t take_number(node_state& node)
{
    return node.m_next_number++;
}

} // namespace guavabay
