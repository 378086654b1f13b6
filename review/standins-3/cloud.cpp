#include "cloud.h"

namespace review {

namespace {

constexpr milliseconds answer_time{4};
constexpr milliseconds upkeep_time{2000};

} // namespace

cloud::cloud(asio::io_context& context, store& registry, record& written)
    : m_context(context), m_registry(registry), m_record(written),
      m_server(context, [this](request asked) { return answer(std::move(asked)); })
{
}

void cloud::add(runner& present)
{
    m_machines[present.traits().m_machine].m_runner = &present;
}

std::size_t cloud::count_down(std::int64_t wave) const
{
    return static_cast<std::size_t>(
        std::count_if(m_machines.begin(), m_machines.end(), [wave](const auto& entry) {
            return entry.second.m_state == "upkeep" && entry.second.m_wave == wave;
        }));
}

bool cloud::has_begun(std::int64_t wave, const std::string& name) const
{
    const auto found = m_machines.find(name);
    return found != m_machines.end() && found->second.m_begun.contains(wave);
}

reply cloud::list() const
{
    json::array machines;
    for (const auto& [name, what] : m_machines) {
        const runner_traits& traits = what.m_runner->traits();
        machines.push_back({{"machine", name},
                            {"pool", traits.m_service},
                            {"state", what.m_state},
                            {"zone", "z1"},
                            {"labels", json::array{"a", traits.m_rack}},
                            {"capacity", {{"cpu", traits.m_cpu}, {"mem-mb", 16384}, {"gpu", 0}}},
                            {"id", traits.m_id}});
    }
    return {200, {{"machines", std::move(machines)}}};
}

reply cloud::order_upkeep(const request& asked)
{
    const std::string name = text_of(asked.m_body, "machine");
    const std::int64_t wave = number_of(asked.m_body, "wave");
    const auto found = m_machines.find(name);
    if (found == m_machines.end()) {
        return {400, {}};
    }
    machine& what = found->second;
    if (asked.m_token < what.m_token) {
        return {409, {{"reason", "fence"}}};
    }
    what.m_token = asked.m_token;
    const std::string request_text = m_registry.get("op/wave/" + std::to_string(wave));
    if (request_text.find("\"" + name + "\"") == std::string::npos) {
        return {409, {{"reason", "wave"}}};
    }
    if (what.m_begun.contains(wave)) {
        return {200, {}};
    }
    if (what.m_state != "up" || what.m_runner->is_draining()) {
        return {409, {{"reason", "busy"}}};
    }
    what.m_state = "upkeep";
    what.m_wave = wave;
    what.m_begun.insert(wave);
    m_record.write("machine " + name + " begins its upkeep for wave " + std::to_string(wave) +
                   " by order of " + asked.m_holder + " token " + std::to_string(asked.m_token));
    if (const auto on_upkeep = m_on_upkeep) {
        on_upkeep(wave, name);
    }
    asio::co_spawn(m_context, upkeep(name), asio::detached);
    return {200, {}};
}

asio::awaitable<void> cloud::upkeep(std::string name)
{
    machine& what = m_machines.at(name);
    what.m_runner->crash();
    m_registry.remove("servers/" + what.m_runner->traits().m_id);
    co_await pause_for(upkeep_time);
    what.m_state = "up";
    what.m_runner->start_as_new();
    m_record.write("machine " + name + " is up again");
}

asio::awaitable<reply> cloud::answer(request asked)
{
    if (m_trouble == trouble::reset) {
        m_record.write("machines: a call is reset without an answer " + asked.m_path + " " +
                       json::serialize(asked.m_body));
        co_return reply{};
    }
    co_await pause_for(answer_time);
    if (asked.m_path == "/v1/machines") {
        co_return list();
    }
    if (asked.m_path == "/v1/machine-upkeep") {
        const reply made = order_upkeep(asked);
        m_record.write("machines: upkeep " + json::serialize(asked.m_body) + " answered " +
                       std::to_string(made.m_status) + " " + json::serialize(made.m_body));
        co_return made;
    }
    co_return reply{409, {{"reason", "busy"}}};
}

} // namespace review
