#include "node/operator_answers.h"

#include <boost/json.hpp>

namespace guavabay {

void answer(const operator_request& request, const boost::json::object& body, node_output& out)
{
    out.m_operators.push_back({request.m_number, std::nullopt, boost::json::serialize(body)});
}

void answer_error(std::uint64_t number, error_kind kind, std::string reason, node_output& out)
{
    out.m_operators.push_back({number, kind, std::move(reason)});
}

} // namespace guavabay
