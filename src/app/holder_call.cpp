#include "app/holder_call.h"

#include <iostream>
#include <thread>

#include "app/exit_status.h"
#include "app/operator_reply.h"
#include "core/result.h"
#include "core/time.h"

namespace guavabay {

namespace {

constexpr milliseconds poll_interval{100};

/// True when another host, or the same one a little later, may take a refused call.
bool may_be_taken_later(const std::string& kind)
{
    return kind == "owner_unreachable" || kind == "overloaded" || kind == "not_ready";
}

/// Offers a call to each host in turn; empty with a reason when none took it. `again` says
/// whether another round makes sense.
std::optional<std::string> offer_to_all(const setting_values& values, const operator_call& call,
                                        bool& again)
{
    std::string reason = "no entry host answered";
    again = true;
    for (const std::string& text : values.list("operators")) {
        operator_client client({*parse_address(text)}, values.text("operator-key"));
        std::optional<operator_reply> reply = client.call(call);
        if (!reply) {
            reason = last_reason();
            continue;
        }
        if (reply->m_status == ok_status) {
            return std::move(reply->m_body);
        }
        reason = reason_in(reply->m_body);
        again = may_be_taken_later(error_in(reply->m_body));
        if (!again) {
            break;
        }
    }
    return fail(reason);
}

} // namespace

int send_to_holder(const setting_values& values, const operator_call& call, std::string& body)
{
    const time_point give_up = read_clock() + seconds(values.number("wait"));
    bool again = true;
    std::optional<std::string> answer = offer_to_all(values, call, again);
    while (!answer && again && read_clock() < give_up) {
        std::this_thread::sleep_for(poll_interval);
        answer = offer_to_all(values, call, again);
    }
    if (!answer) {
        std::cerr << last_reason() << "\n";
        return exit_failure;
    }
    body = std::move(*answer);
    std::cout << body << "\n";
    return exit_success;
}

int send_to_holder(const setting_values& values, const operator_call& call)
{
    std::string body;
    return send_to_holder(values, call, body);
}

} // namespace guavabay
