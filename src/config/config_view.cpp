#include "config/config_view.h"

namespace guavabay {

config_view_ptr make_config_view(const config_table& table)
{
    boost::intrusive_ptr<config_view> view(new config_view);
    table.for_each(std::string(contract_prefix), [&view](const config_record& record) {
        std::optional<contract_record> parsed = parse_contract_record(record.m_value);
        if (!parsed) {
            return;
        }
        const customer_id customer = parsed->m_terms.m_customer;
        for (const key_digest& digest : parsed->m_terms.m_keys) {
            const auto known = view->m_customers_by_key.find(digest);
            const bool taken = known != view->m_customers_by_key.end() &&
                               !view->m_contracts.at(known->second).m_record.m_ended;
            if (!taken) {
                view->m_customers_by_key[digest] = customer;
            }
        }
        view->m_contracts[customer] = {std::move(*parsed), record.m_revision};
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
