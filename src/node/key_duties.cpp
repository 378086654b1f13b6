#include "node/key_duties.h"

#include "node/store_duties.h"

namespace guavabay {

ledger_context make_ledger_context(const step_context& context)
{
    const node_state& node = context.m_node;
    ledger_context result;
    result.m_self = node.m_settings.m_self.m_host;
    result.m_incarnation = node.m_settings.m_self.m_incarnation;
    result.m_now = context.m_now;
    result.m_epoch_valid = epoch_is_valid(node, context.m_now);
    result.m_is_origin_alive = [&node, now = context.m_now](std::uint64_t origin) {
        for (const auto& [host, entry] : node.m_members.entries()) {
            const std::uint64_t candidate = process_origin(host, entry.m_member.m_incarnation);
            if (candidate == origin) {
                return node.m_members.is_alive(host, now);
            }
        }
        return false;
    };
    return result;
}

void append(const step_context& context, ledger_output& decided)
{
    for (auto& send : decided.m_sends) {
        context.m_out.m_sends.push_back(std::move(send));
    }
    for (const claim_verdict& verdict : decided.m_verdicts) {
        context.m_out.m_edge.emplace_back(key_decided{verdict.m_request, verdict.m_kind,
                                                      verdict.m_http_status, verdict.m_valid_until,
                                                      context.m_node.m_ledger.m_epoch.m_number});
    }
}

void follow_epoch_record(const step_context& context)
{
    node_state& node = context.m_node;
    const config_record* record = node.m_config.find(std::string(epoch_key));
    if (record == nullptr || record->m_revision <= node.m_epoch_revision) {
        return;
    }
    node.m_epoch_revision = record->m_revision;
    const std::optional<epoch_record> next = parse_epoch(record->m_value);
    if (next) {
        enter_epoch(node.m_ledger, *next, make_ledger_context(context));
        context.m_out.m_log.push_back(
            {log_level::info, "epoch: entered number=" + std::to_string(next->m_number.get())});
    }
}

} // namespace guavabay
