#include "app/serve_settings.h"

#include <unistd.h>

#include "core/check.h"
#include "core/result.h"

namespace guavabay {

namespace {

constexpr std::size_t least_secret_length = 16;

/// Reads a list such as 1:secret,2:other; empty with a reason when malformed.
std::optional<peer_keys> parse_keys(const std::vector<std::string>& parts)
{
    peer_keys keys;
    for (const std::string& part : parts) {
        const std::size_t colon = part.find(':');
        const std::string number = part.substr(0, colon);
        const bool numeric = !number.empty() && number.size() <= 3 &&
                             number.find_first_not_of("0123456789") == std::string::npos;
        if (colon == std::string::npos || !numeric || std::stoi(number) > 255 ||
            part.size() - colon - 1 < least_secret_length) {
            return fail("--peer-keys: each key is NUMBER:SECRET with a number from 0 to 255 and "
                        "a secret of at least 16 characters");
        }
        keys.push_back({static_cast<std::uint8_t>(std::stoi(number)), part.substr(colon + 1)});
    }
    if (keys.empty()) {
        return fail("--peer-keys: at least one key is needed");
    }
    return keys;
}

incarnation make_incarnation()
{
    constexpr std::uint64_t pid_range = 1U << 16U;
    const auto now = static_cast<std::uint64_t>(read_wall_clock().time_since_epoch().count());
    return incarnation(now * pid_range + static_cast<std::uint64_t>(getpid()) % pid_range);
}

ip_address address_of(const setting_values& values, const std::string& name)
{
    const std::optional<ip_address> address = parse_address(values.text(name));
    check(address.has_value(), "an address setting was checked");
    return *address;
}

} // namespace

std::vector<setting> declare_serve_settings()
{
    return {
        required_setting("host", setting_kind::text, "Name of this entry host."),
        required_setting("zone", setting_kind::text, "Availability zone of this entry host."),
        required_setting("caller-address", setting_kind::address, "Where callers connect."),
        required_setting("operator-address", setting_kind::address, "Where operators connect."),
        required_setting("peer-address", setting_kind::address,
                         "Where other entry hosts connect, over UDP and TCP."),
        {"store",
         setting_kind::address_list,
         "",
         true,
         0,
         0,
         "",
         "Addresses of the platform's key-value service.",
         {}},
        text_setting("store-prefix", "guavabay/", "First part of every key in the store."),
        number_setting("store-patience-ms", 2000, 100, 60000, "ms",
                       "Longest wait for an answer of the store."),
        {"peers",
         setting_kind::address_list,
         "",
         false,
         0,
         0,
         "",
         "Peer addresses of some other entry hosts.",
         {}},
        required_setting("peer-keys", setting_kind::text,
                         "Shared secrets as NUMBER:SECRET, separated by commas. The first signs, "
                         "all are accepted."),
        text_setting("operator-key", "", "Bearer key that operators must send."),
        {"operator-open",
         setting_kind::word,
         "no",
         false,
         0,
         0,
         "",
         "Whether operators need no key.",
         {"no", "yes"}},
        text_setting("spare-pool", "",
                     "Pool that lends hosts to pools which need more; none keeps all sizes."),
        number_setting("weight-buffer", 1, 1, 1000, "",
                       "Cost of one idle host for an hour, relative to weight-move."),
        number_setting("weight-move", 1, 1, 1000, "", "Cost of moving one host to another pool."),
        number_setting("lease-seconds", 10, 3, 120, "s", "Lifetime of this host's lease."),
        number_setting("max-connections", 10000, 1, 1000000, "connections",
                       "Callers' connections at one time."),
        number_setting("max-header-bytes", 16384, 1024, 1048576, "bytes",
                       "Largest request header."),
        number_setting("max-body-bytes", 1048576, 1024, 1073741824, "bytes",
                       "Largest request body."),
        number_setting("max-answer-bytes", 8388608, 1024, 1073741824, "bytes",
                       "Largest answer of an endpoint."),
        number_setting("max-held-bytes", 268435456, 1048576, 17179869184, "bytes",
                       "Request bodies held at one time."),
        number_setting("drain-seconds", 5, 0, 3600, "s",
                       "How long a stopping process serves requests on open connections."),
        number_setting("stop-seconds", 30, 1, 3600, "s",
                       "When a stopping process gives up on requests that still run."),
    };
}

std::optional<serve_settings> make_serve_settings(const setting_values& values)
{
    serve_settings settings;
    member& self = settings.m_node.m_self;
    self.m_host = host_id(values.text("host"));
    self.m_zone = zone_id(values.text("zone"));
    self.m_peer_address = values.text("peer-address");
    self.m_incarnation = make_incarnation();
    settings.m_node.m_seed_addresses = values.list("peers");
    settings.m_node.m_lease_time = seconds(values.number("lease-seconds"));
    settings.m_node.m_spare_pool = pool_id(values.text("spare-pool"));
    settings.m_node.m_weights = {static_cast<double>(values.number("weight-buffer")),
                                 static_cast<double>(values.number("weight-move"))};
    settings.m_caller_address = address_of(values, "caller-address");
    settings.m_operator_address = address_of(values, "operator-address");
    settings.m_peer_address = address_of(values, "peer-address");
    const std::optional<peer_keys> keys = parse_keys(values.list("peer-keys"));
    if (!keys) {
        return std::nullopt;
    }
    settings.m_peer_keys = *keys;
    settings.m_operator_key = values.text("operator-key");
    const bool open = values.text("operator-open") == "yes";
    if (settings.m_operator_key.empty() != open) {
        return fail("give either --operator-key or --operator-open yes");
    }
    for (const std::string& text : values.list("store")) {
        settings.m_store.m_addresses.push_back(*parse_address(text));
    }
    settings.m_store.m_prefix = values.text("store-prefix");
    if (settings.m_store.m_prefix.empty()) {
        return fail("--store-prefix: must not be empty");
    }
    settings.m_store.m_call_patience = milliseconds(values.number("store-patience-ms"));
    edge_limits& limits = settings.m_limits;
    limits.m_max_connections = static_cast<std::size_t>(values.number("max-connections"));
    limits.m_max_header_bytes = static_cast<std::uint32_t>(values.number("max-header-bytes"));
    limits.m_max_body_bytes = static_cast<std::uint64_t>(values.number("max-body-bytes"));
    limits.m_max_answer_bytes = static_cast<std::uint64_t>(values.number("max-answer-bytes"));
    limits.m_max_held_bytes = static_cast<std::uint64_t>(values.number("max-held-bytes"));
    limits.m_drain_time = seconds(values.number("drain-seconds"));
    limits.m_stop_limit = seconds(values.number("stop-seconds"));
    return settings;
}

} // namespace guavabay
