#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "app/operator_client.h"
#include "app/reference.h"
#include "app/serve_settings.h"
#include "core/result.h"
#include "dispatch/host_settings.h"

using namespace guavabay;

namespace {

std::string read_document(const std::string& name)
{
    std::ifstream stream(std::string(GUAVABAY_SOURCE_DIR) + "/docs/" + name);
    std::stringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// The settings that a serve command needs at least.
std::vector<std::string> least_settings()
{
    return {"--host",
            "h1",
            "--zone",
            "z1",
            "--caller-address",
            "127.0.0.1:1",
            "--operator-address",
            "127.0.0.1:2",
            "--peer-address",
            "127.0.0.1:3",
            "--store",
            "127.0.0.1:4",
            "--peer-keys",
            "1:sixteen-characters",
            "--operator-open",
            "yes"};
}

/// What is wrong with the least settings plus some words; empty when nothing is.
std::string fault_with(const std::vector<std::string>& more)
{
    std::vector<std::string> words = least_settings();
    words.insert(words.end(), more.begin(), more.end());
    const auto parsed = parse_command("serve", "test", declare_serve_settings(), "", words);
    if (!parsed) {
        return last_reason();
    }
    return make_serve_settings(parsed->m_values) ? "" : last_reason();
}

} // namespace

TEST_CASE("the documents list every setting and every error as the program has them")
{
    const std::string configuration = read_document("CONFIGURATION.md");
    CHECK(configuration.find(describe_settings(declare_serve_settings())) != std::string::npos);
    CHECK(configuration.find(describe_settings(declare_host_settings())) != std::string::npos);
    CHECK(configuration.find(describe_settings(declare_operator_settings())) != std::string::npos);
    CHECK(read_document("HTTP.md").find(describe_errors()) != std::string::npos);
}

TEST_CASE("settings of a host on the platform are checked")
{
    const auto fault = [](const std::vector<std::string>& more) {
        std::vector<std::string> words{"--host",
                                       "h1",
                                       "--zone",
                                       "z1",
                                       "--caller-address",
                                       "127.0.0.1:1",
                                       "--readiness-address",
                                       "127.0.0.1:2",
                                       "--peer-address",
                                       "127.0.0.1:3",
                                       "--store-address",
                                       "127.0.0.1:4"};
        words.insert(words.end(), more.begin(), more.end());
        const auto parsed = parse_command("dispatch", "test", declare_host_settings(), "", words);
        if (!parsed) {
            return last_reason();
        }
        return make_host_settings(parsed->m_values) ? std::string() : last_reason();
    };
    CHECK(fault({}).empty());
    CHECK(fault({"--upkeep-seconds", "1.5"}).empty());
    CHECK(fault({"--upkeep-seconds", "soon"}) ==
          "upkeep-seconds: 'soon' is not allowed; allowed: 0 to 3600");
    CHECK(fault({"--drain-ms", "0"}) == "--drain-ms: '0' is not allowed; allowed: 1 to 60000 ms");
    CHECK(fault({"--seeds", "here"}).find("--seeds: 'here' is not allowed") == 0);
    CHECK_FALSE(apply_settings_file("/nonexistent/settings"));
}

TEST_CASE("a wrong setting is named with its allowed range")
{
    CHECK(fault_with({}).empty());
    CHECK(fault_with({"--lease-seconds", "2"}) ==
          "--lease-seconds: '2' is not allowed; allowed: 3 to 120 s");
    CHECK(fault_with({"--peers", "here"}).find("--peers: 'here' is not allowed") == 0);
    CHECK_FALSE(fault_with({"--colour", "red"}).empty());
    CHECK(fault_with({"--operator-key", "k"}) ==
          "give either --operator-key or --operator-open yes");
    const auto nothing = parse_command("serve", "test", declare_serve_settings(), "", {});
    CHECK_FALSE(nothing);
    CHECK(last_reason() == "--host (or GUAVABAY_HOST) is missing");
}

TEST_CASE("a setting is read from the environment and the flag wins")
{
    setenv("GUAVABAY_LEASE_SECONDS", "20", 1);
    const auto from_variable =
        parse_command("serve", "test", declare_serve_settings(), "", least_settings());
    REQUIRE(from_variable);
    CHECK(from_variable->m_values.number("lease-seconds") == 20);
    std::vector<std::string> words = least_settings();
    words.insert(words.end(), {"--lease-seconds", "30"});
    const auto from_flag = parse_command("serve", "test", declare_serve_settings(), "", words);
    REQUIRE(from_flag);
    CHECK(from_flag->m_values.number("lease-seconds") == 30);
    unsetenv("GUAVABAY_LEASE_SECONDS");
}
