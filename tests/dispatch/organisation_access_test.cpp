#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "dispatch/ownership.h"
#include "net/http_client.h"
#include "net/http_status.h"
#include "platform/operator_records.h"
#include "submission/submission_log.h"
#include "support/captured_log.h"
#include "support/local_host.h"
#include "support/loopback.h"
#include "support/paced_store.h"

using namespace guavabay;
using guavabay::test::captured_log;
using guavabay::test::free_address;
using guavabay::test::local_host;
using guavabay::test::paced_store;
using guavabay::test::run_until;
using guavabay::test::to_text;

namespace json = boost::json;

namespace {

const std::string config_key(platform::config_key);
const std::string first_id = "0123456789abcdef";
const std::string second_id = "fedcba9876543210";

/// The time within which hosts that are in touch apply a version, rule CONFIG of the platform.
constexpr milliseconds apply_limit{3000};

/// A submission of one long-running task.
const std::string long_running_work =
    R"({"task-spec":"x","steps":[{"count":1,"cpu":500,"mem-mb":64,"long-running":true}]})";

/// Keys by the name of their organisation.
using key_list = std::map<std::string, std::vector<std::string>>;

/// A configuration with one service, a public route "/open/" and a route "/keyed/" with keys.
std::string make_config(std::int64_t version, const key_list& keys)
{
    json::array tenants;
    for (const auto& [name, list] : keys) {
        tenants.push_back({{"name", name}, {"api-keys", json::value_from(list)}, {"weight", 1}});
    }
    const auto route = [](const char* name, const char* prefix, bool is_public) {
        return json::object{{"name", name},
                            {"host", "callers.example"},
                            {"prefix", prefix},
                            {"service", "service-a"},
                            {"public", is_public}};
    };
    return json::serialize(
        json::object{{"version", version},
                     {"routes", {route("open", "/open/", true), route("keyed", "/keyed/", false)}},
                     {"services", json::array{{{"name", "service-a"}}}},
                     {"tenants", std::move(tenants)}});
}

/// Callers of the hosts of one test; each caller keeps its connections.
struct callers {
    explicit callers(asio::io_context& context) : m_context(context), m_http(context, 1) {}

    /// Sends a request with a key, empty for none, and returns the status; zero without an answer.
    unsigned call(const ip_address& address, const std::string& method, const std::string& target,
                  const std::string& key, const std::string& body = {})
    {
        unsigned status = 0;
        bool answered = false;
        asio::co_spawn(
            m_context,
            [&]() -> asio::awaitable<void> {
                http_call request{method, target, {{"Host", "callers.example"}}, body};
                if (!key.empty()) {
                    request.m_headers.emplace_back("Authorization", "Bearer " + key);
                }
                status = (co_await m_http.call(address, std::move(request), seconds(4))).m_status;
                answered = true;
            },
            asio::detached);
        run_until(m_context, [&] { return answered; });
        return status;
    }

    asio::io_context& m_context;
    http_client m_http;
};

/// A host that owns the shard of the service, and its store.
struct keyed_host {
    keyed_host() : m_host(m_context, "host-a", m_store.address(), {})
    {
        configure({{"a", {"key-a"}}, {"b", {"key-b"}}});
        REQUIRE(run_until(m_context, [&] { return call("GET", "/open/", "") == http_status::ok; }));
    }

    /// Writes a new version of the configuration with these organisations.
    void configure(const key_list& keys)
    {
        m_store.put(config_key, make_config(++m_version, keys));
    }

    unsigned call(const std::string& method, const std::string& target, const std::string& key,
                  const std::string& body = {})
    {
        return m_callers.call(m_host.m_caller_address, method, target, key, body);
    }

    /// Waits until a request for the count of a queue gets a status.
    bool answers(const std::string& key, unsigned status, duration limit)
    {
        return run_until(
            m_context, [&] { return call("GET", "/keyed/", key) == status; }, limit);
    }

    /// Log entries of one kind in the shard.
    template <typename Entry>
    [[nodiscard]] std::vector<Entry> entries() const
    {
        std::vector<Entry> found;
        for (const std::string& value : m_store.values("l/service-a/")) {
            const std::optional<std::vector<log_entry>> decoded = decode_log(value);
            REQUIRE(decoded.has_value());
            for (const log_entry& entry : *decoded) {
                if (const auto* wanted = std::get_if<Entry>(&entry)) {
                    found.push_back(*wanted);
                }
            }
        }
        return found;
    }

    asio::io_context m_context;
    paced_store m_store{m_context};
    local_host m_host;
    callers m_callers{m_context};
    std::int64_t m_version = 0;
};

} // namespace

// Guards against keys that are only checked when a connection is opened: a caller that keeps its
// connection would go on with a withdrawn key.
TEST_CASE("a withdrawn key is refused on a connection that is open", "[organisation]")
{
    keyed_host host;
    REQUIRE(host.call("POST", "/keyed/" + first_id, "key-a", long_running_work) == http_status::ok);
    const std::uint64_t connections = host.m_callers.m_http.opened();
    host.configure({{"a", {"key-new"}}, {"b", {"key-b"}}});
    CHECK(host.answers("key-a", http_status::unauthorized, apply_limit));
    CHECK(host.call("POST", "/keyed/" + second_id, "key-a", long_running_work) ==
          http_status::unauthorized);
    CHECK(host.call("GET", "/keyed/" + first_id, "key-a") == http_status::unauthorized);
    CHECK(host.call("DELETE", "/keyed/" + first_id, "key-a") == http_status::unauthorized);
    CHECK(host.call("GET", "/keyed/" + first_id, "key-new") == http_status::ok);
    CHECK(host.m_callers.m_http.opened() == connections);
    CHECK(host.entries<log_accepted>().size() == 1);
    CHECK(host.entries<log_cancelled>().empty());
}

// Guards against requests that run without a key, or under one that no version ever had.
TEST_CASE("unknown and missing keys are refused and run nothing", "[organisation]")
{
    keyed_host host;
    for (const char* key : {"", "key-c", "KEY-A", "a"}) {
        CAPTURE(key);
        for (const char* method : {"POST", "GET", "DELETE"}) {
            CHECK(host.call(method, "/keyed/" + first_id, key, long_running_work) ==
                  http_status::unauthorized);
        }
        CHECK(host.call("GET", "/keyed/", key) == http_status::unauthorized);
    }
    CHECK(host.entries<log_accepted>().empty());
    CHECK(host.entries<log_cancelled>().empty());
}

// Guards against an organisation that reads, cancels or takes over the work of another one.
TEST_CASE("another organisation may not ask for, cancel or repeat a submission", "[organisation]")
{
    keyed_host host;
    const std::string path = "/keyed/" + first_id;
    REQUIRE(host.call("POST", path, "key-a", long_running_work) == http_status::ok);
    for (const char* method : {"GET", "DELETE", "POST"}) {
        CAPTURE(method);
        CHECK(host.call(method, path, "key-b", long_running_work) == http_status::forbidden);
        CHECK(host.call(method, "/open/" + first_id, "", long_running_work) ==
              http_status::forbidden);
    }
    CHECK(host.entries<log_cancelled>().empty());
    CHECK(host.entries<log_accepted>().size() == 1);
    CHECK(host.call("POST", path, "key-a", long_running_work) == http_status::ok);
    CHECK(host.call("GET", path, "key-a") == http_status::ok);
    CHECK(host.call("DELETE", path, "key-a") == http_status::ok);
    CHECK(host.entries<log_cancelled>().size() == 1);
}

// Guards against an accepted submission that is cancelled by another organisation, which had sent a
// cancellation of the same id before: a cancellation of an unknown id also holds for a request that
// comes later.
TEST_CASE("an early cancellation holds only for the organisation that sent it", "[organisation]")
{
    const bool changes_owner = GENERATE(false, true);
    CAPTURE(changes_owner);
    keyed_host host;
    REQUIRE(host.call("DELETE", "/keyed/" + first_id, "key-b") == http_status::gone);
    REQUIRE(host.call("DELETE", "/keyed/" + second_id, "key-b") == http_status::gone);
    REQUIRE(host.call("DELETE", "/keyed/" + second_id, "key-a") == http_status::gone);
    const std::size_t cancelled = host.entries<log_cancelled>().size();
    if (changes_owner) {
        const std::size_t taken = host.entries<log_ownership_taken>().size();
        host.m_store.remove(owner_key(service_id("service-a")));
        REQUIRE(run_until(host.m_context,
                          [&] { return host.entries<log_ownership_taken>().size() > taken; }));
        REQUIRE(host.answers("key-a", http_status::ok, seconds(4)));
    }
    CHECK(host.call("POST", "/keyed/" + first_id, "key-a", long_running_work) == http_status::ok);
    CHECK(host.entries<log_cancelled>().size() == cancelled);
    // The organisation's own early cancellation still holds.
    CHECK(host.call("POST", "/keyed/" + second_id, "key-a", long_running_work) == http_status::ok);
    CHECK(host.entries<log_cancelled>().size() == cancelled + 1);
}

// Guards against public routes that ask for keys, and against their work being closed to callers.
TEST_CASE("a public route needs no key and its work belongs to nobody", "[organisation]")
{
    keyed_host host;
    const std::string path = "/open/" + first_id;
    CHECK(host.call("POST", path, "", long_running_work) == http_status::ok);
    CHECK(host.call("GET", path, "key-unknown") == http_status::ok);
    CHECK(host.call("GET", "/keyed/" + first_id, "key-b") == http_status::ok);
    CHECK(host.call("DELETE", path, "") == http_status::ok);
    CHECK(host.entries<log_submission_organisation>().empty());
}

// Guards against a host without the store that goes on with a key that was withdrawn.
TEST_CASE("a host that the store refuses learns from a peer that a key was withdrawn",
          "[organisation]")
{
    asio::io_context context;
    paced_store store(context);
    store.put(config_key, make_config(1, {{"a", {"key-a"}}}));
    paced_store refusing(context);
    refusing.m_refuse_status = http_status::unavailable;
    const local_host served(context, "host-a", store.address(), {});
    const local_host refused(context, "host-b", refusing.address(),
                             {to_text(served.m_peer_address)});
    callers caller(context);
    const auto answers = [&](unsigned status, duration limit) {
        return run_until(
            context,
            [&] {
                return caller.call(refused.m_caller_address, "GET", "/keyed/" + first_id,
                                   "key-a") == status;
            },
            limit);
    };
    // Before the host has read a configuration it refuses every request.
    CHECK(caller.call(refused.m_caller_address, "GET", "/keyed/" + first_id, "key-a") ==
          http_status::unavailable);
    REQUIRE(answers(http_status::gone, seconds(10)));
    store.put(config_key, make_config(2, {{"a", {"key-new"}}}));
    CHECK(answers(http_status::unauthorized, apply_limit));
}

// Guards against a host that serves by no configuration after a restart: it would need no keys.
TEST_CASE("a restarted host refuses requests until it has read a configuration", "[organisation]")
{
    keyed_host host;
    paced_store away(host.m_context);
    away.m_refuse_status = http_status::unavailable;
    const local_host restarted(host.m_context, "host-b", away.address(), {});
    const auto ask = [&](const std::string& key) {
        return host.m_callers.call(restarted.m_caller_address, "GET", "/keyed/", key);
    };
    host.m_context.run_for(milliseconds(300));
    for (const char* key : {"", "key-a", "key-unknown"}) {
        CAPTURE(key);
        CHECK(ask(key) == http_status::unavailable);
    }
    away.put(config_key, make_config(1, {{"a", {"key-a"}}}));
    away.m_refuse_status = 0;
    CHECK(run_until(host.m_context, [&] { return ask("") == http_status::unauthorized; }));
}

// Guards against a withdrawn key that comes back: a peer that lags behind still announces the
// version that had it, also after the store's record was removed.
TEST_CASE("a host never goes back to an older version", "[organisation]")
{
    const bool is_removed = GENERATE(false, true);
    CAPTURE(is_removed);
    keyed_host host;
    REQUIRE(host.answers("key-a", http_status::ok, apply_limit));
    host.configure({{"b", {"key-b"}}});
    REQUIRE(host.answers("key-a", http_status::unauthorized, apply_limit));
    if (is_removed) {
        host.m_store.remove(config_key);
        host.m_context.run_for(milliseconds(200));
    }
    const ip_address lagging_address = free_address(host.m_context);
    const auto ignore_message = [](host_message,
                                   bool) -> asio::awaitable<std::optional<host_message>> {
        co_return std::nullopt;
    };
    host_link lagging(host.m_context, lagging_address, ignore_message);
    greeting older;
    older.m_host = "host-b";
    older.m_address = to_text(lagging_address);
    older.m_config_revision = 1;
    older.m_config = make_config(1, {{"a", {"key-a"}}, {"b", {"key-b"}}});
    for (int i = 0; i < 5; ++i) {
        lagging.send(to_text(host.m_host.m_peer_address), older);
        host.m_context.run_for(milliseconds(50));
        CHECK(host.call("GET", "/keyed/", "key-a") == http_status::unauthorized);
    }
    CHECK(host.call("GET", "/keyed/", "key-b") == http_status::ok);
}

// Guards against a configuration that opens all routes because its organisations are unreadable.
TEST_CASE("a malformed list of organisations leaves the version in force", "[organisation]")
{
    keyed_host host;
    for (const char* tenants :
         {"{}", "\"a\"", "5", "[5]", R"([{"name":""}])", R"([{"name":"a","api-keys":"key-x"}])",
          R"([{"name":"a","api-keys":[5]}])", R"([{"name":"a","cap":5}])"}) {
        CAPTURE(tenants);
        json::object config = json::parse(make_config(++host.m_version, {})).as_object();
        config["tenants"] = json::parse(tenants);
        host.m_store.put(config_key, json::serialize(config));
        host.m_context.run_for(milliseconds(100));
        CHECK(host.call("GET", "/keyed/", "") == http_status::unauthorized);
        CHECK(host.call("GET", "/keyed/", "key-x") == http_status::unauthorized);
        CHECK(host.call("GET", "/keyed/", "key-a") == http_status::ok);
    }
}

// Guards against a new owner that no longer knows whose work it inherits.
TEST_CASE("the organisation of a submission survives a change of owner", "[organisation]")
{
    keyed_host host;
    const std::string path = "/keyed/" + first_id;
    REQUIRE(host.call("POST", path, "key-a", long_running_work) == http_status::ok);
    const std::size_t taken = host.entries<log_ownership_taken>().size();
    host.m_store.remove(owner_key(service_id("service-a")));
    REQUIRE(run_until(host.m_context,
                      [&] { return host.entries<log_ownership_taken>().size() > taken; }));
    CHECK(run_until(host.m_context,
                    [&] { return host.call("GET", path, "key-a") == http_status::ok; }));
    CHECK(host.call("GET", path, "key-b") == http_status::forbidden);
    CHECK(host.call("DELETE", path, "key-b") == http_status::forbidden);
    CHECK(host.call("DELETE", path, "key-a") == http_status::ok);
}

// Guards against a log that names the organisation of a submission which was never accepted; the
// caller was told that it has not run.
TEST_CASE("a withdrawn submission leaves no entry of its organisation behind", "[organisation]")
{
    keyed_host host;
    host.m_store.m_refuse_status = http_status::unavailable;
    const unsigned refused = host.call("POST", "/keyed/" + first_id, "key-a", long_running_work);
    REQUIRE(refused == http_status::unavailable);
    host.m_store.m_refuse_status = 0;
    CHECK(run_until(host.m_context, [&] {
        return host.call("POST", "/keyed/" + second_id, "key-b", long_running_work) ==
               http_status::ok;
    }));
    CHECK(host.entries<log_accepted>().size() == 1);
    const auto named = host.entries<log_submission_organisation>();
    REQUIRE(named.size() == 1);
    CHECK(named.front().m_id.str() == second_id);
    CHECK(named.front().m_organisation.str() == "b");
}

// Guards against a host that is cut off and goes on with a key that was withdrawn meanwhile, and
// against one that stays closed after it is in touch again.
TEST_CASE("a strict host that is cut off refuses keys until it is in touch", "[organisation]")
{
    const bool is_strict = GENERATE(true, false);
    CAPTURE(is_strict);
    // Longer than the long poll of an idle store takes to answer.
    constexpr milliseconds revoke_time{2500};
    asio::io_context context;
    paced_store store(context);
    store.put(config_key, make_config(1, {{"a", {"key-a"}}}));
    const local_host host(context, "host-a", store.address(), {}, {is_strict, revoke_time});
    callers caller(context);
    const auto ask = [&](const std::string& path, const std::string& key) {
        return caller.call(host.m_caller_address, "GET", path, key);
    };
    const std::string state = "/keyed/" + first_id;
    REQUIRE(run_until(context, [&] { return ask(state, "key-a") == http_status::gone; }));

    const captured_log log;
    store.m_refuse_status = http_status::unavailable;
    // The long poll that is under way is still answered.
    context.run_for(revoke_time + milliseconds(2000));
    CHECK(ask(state, "key-unknown") == http_status::unauthorized);
    CHECK(ask(state, "") == http_status::unauthorized);
    CHECK(ask(state, "key-a") == http_status::unavailable);
    // A host that is not strict has lost its shard to the outage, which is a 503 too.
    CHECK(log.lines_with("requests with keys are refused").empty() != is_strict);
    store.m_refuse_status = 0;
    CHECK(run_until(context, [&] { return ask(state, "key-a") == http_status::gone; }));
    CHECK(log.lines_with("requests with keys are served again").empty() != is_strict);
}

// Guards against accepted work that is lost, or of which nobody knows, when its organisation is
// removed from the configuration.
TEST_CASE("the work of an organisation that left stays and is told to operators", "[organisation]")
{
    keyed_host host;
    REQUIRE(host.call("POST", "/keyed/" + first_id, "key-a", long_running_work) == http_status::ok);
    const captured_log log;
    const auto told = [&log] {
        return !log.lines_with("organisation that left has work organisation=a open=1 runs=0")
                    .empty();
    };
    host.configure({{"b", {"key-b"}}});
    CHECK(run_until(
        host.m_context, [&] { return told(); }, seconds(5)));
    CHECK(host.call("GET", "/keyed/" + first_id, "key-b") == http_status::forbidden);
    CHECK(host.entries<log_cancelled>().empty());
    CHECK(log.lines_with("key-").empty());
    host.configure({{"a", {"key-a"}}, {"b", {"key-b"}}});
    REQUIRE(host.answers("key-a", http_status::ok, apply_limit));
    CHECK(host.call("GET", "/keyed/" + first_id, "key-a") == http_status::ok);
}
