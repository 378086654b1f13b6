#include "config/config_view.h"

namespace guavabay {

namespace {

/// A record's contract, from the earlier view where that has the same revision; empty when the
/// record cannot be read.
std::optional<contract_in_force> read_contract(const config_record& record,
                                               const config_view* earlier)
{
    const customer_id customer(record.m_key.substr(contract_prefix.size()));
    const contract_in_force* known =
        earlier == nullptr ? nullptr : find_contract(*earlier, customer);
    if (known != nullptr && known->m_revision == record.m_revision) {
        return *known;
    }
    std::optional<contract_record> parsed = parse_contract_record(record.m_value);
    if (!parsed) {
        return std::nullopt;
    }
    return contract_in_force{std::move(*parsed), record.m_revision};
}

} // namespace

config_view_ptr make_config_view(const config_table& table, const config_view* earlier)
{
    boost::intrusive_ptr<config_view> view(new config_view);
    table.for_each(std::string(contract_prefix), [&view, earlier](const config_record& record) {
        std::optional<contract_in_force> terms = read_contract(record, earlier);
        if (!terms) {
            return;
        }
        const customer_id customer = terms->m_record.m_terms.m_customer;
        for (const key_digest& digest : terms->m_record.m_terms.m_keys) {
            const auto known = view->m_customers_by_key.find(digest);
            const bool taken = known != view->m_customers_by_key.end() &&
                               !view->m_contracts.at(known->second).m_record.m_ended;
            if (!taken) {
                view->m_customers_by_key[digest] = customer;
            }
        }
        view->m_contracts[customer] = std::move(*terms);
    });
    return view;
}

const contract_in_force* find_contract(const config_view& view, const customer_id& customer)
{
    const auto found = view.m_contracts.find(customer);
    return found == view.m_contracts.end() ? nullptr : &found->second;
}

std::optional<error_kind> access_refusal(const contract_in_force& terms, wall_time now)
{
    if (terms.m_record.m_ended) {
        return error_kind::no_contract;
    }
    return access_refusal(terms.m_record.m_terms, now);
}

} // namespace guavabay
