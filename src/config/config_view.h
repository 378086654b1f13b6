#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <optional>
#include <vector>

#include "config/config_table.h"
#include "config/records.h"

namespace guavabay {

/// A contract in force, with the revision that it came with.
struct contract_in_force {
    contract_record m_record;
    revision m_revision;
};

/// Everything that the request path needs of the configuration. Never changes once published;
/// threads share it by counted pointers.
struct config_view : boost::intrusive_ref_counter<config_view> {
    std::map<customer_id, contract_in_force> m_contracts;
    std::map<key_digest, customer_id> m_customers_by_key;
};

using config_view_ptr = boost::intrusive_ptr<const config_view>;

/// Builds a view from all contract records of a table. Contracts that an earlier view holds at the
/// same revision are taken from it and not read again.
config_view_ptr make_config_view(const config_table& table, const config_view* earlier = nullptr);

/// Finds the customer's contract, also an ended one; null when there is none.
const contract_in_force* find_contract(const config_view& view, const customer_id& customer);

/// Why a customer's new request is refused; empty when access is open.
std::optional<error_kind> access_refusal(const contract_in_force& terms, wall_time now);

} // namespace guavabay
