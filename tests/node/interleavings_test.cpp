#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "config/records.h"
#include "contract/contract_parser.h"
#include "support/virtual_hosts.h"

using namespace guavabay;
using namespace guavabay::test;

namespace json = boost::json;

namespace {

constexpr std::array<store_fate, 5> fates{store_fate::answered, store_fate::lost, store_fate::late,
                                          store_fate::late_and_lost, store_fate::dropped};
constexpr std::size_t depth = 5; ///< Store calls about the contract whose fate is explored.

/// Gives out every sequence of choices up to a depth, one sequence a run.
class choice_explorer {
public:
    /// The next choice of this run; the first one beyond the depth.
    std::size_t choose(std::size_t count)
    {
        if (m_used == depth) {
            return 0;
        }
        if (m_used == m_path.size()) {
            m_path.push_back({0, count});
        }
        return m_path[m_used++].m_taken;
    }

    /// Goes to the next sequence; false when all have been given out.
    bool advance()
    {
        m_used = 0;
        while (!m_path.empty()) {
            if (++m_path.back().m_taken < m_path.back().m_count) {
                return true;
            }
            m_path.pop_back();
        }
        return false;
    }

    /// The choices of this run, for the report of a failure.
    [[nodiscard]] std::string describe() const
    {
        std::string text;
        for (const choice& one : m_path) {
            text += std::to_string(one.m_taken) + " ";
        }
        return text;
    }

private:
    struct choice {
        std::size_t m_taken = 0;
        std::size_t m_count = 0;
    };

    std::vector<choice> m_path;
    std::size_t m_used = 0;
};

bool is_about(const store_call& call, const std::string& key)
{
    const auto* swap = std::get_if<store_swap>(&call.m_operation);
    const auto* read = std::get_if<store_read>(&call.m_operation);
    return (swap != nullptr && swap->m_key == key) || (read != nullptr && read->m_key == key);
}

/// Two operators' calls through two hosts, and what each was told.
struct race {
    explicit race(bool edits) : m_hosts(2)
    {
        m_hosts.run_for(milliseconds(2500));
        if (edits) {
            m_hosts.apply("h1", make_contract("a", "s"), "op0");
            m_hosts.run_for(milliseconds(500));
        }
    }

    /// Lets both operators change the contract at once under chosen fates of each store call.
    void run(choice_explorer& explorer, bool second_ends)
    {
        m_hosts.m_fate = [&explorer](const std::string&, const store_call& call) {
            return is_about(call, "contract/a") ? fates.at(explorer.choose(fates.size()))
                                                : store_fate::answered;
        };
        m_calls["op1"] = m_hosts.apply("h1", make_contract("a", "s", R"({"weight":2})"), "op1");
        m_calls["op2"] =
            second_ends
                ? m_hosts.end("h2", "a", "op2")
                : m_hosts.apply("h2", make_contract("a", "s", R"({"weight":3})"), "op2", "ben");
        for (int i = 0; i < 60; ++i) {
            m_hosts.run_for(milliseconds(50));
            for (const std::string& name : m_hosts.running()) {
                const revision now = m_hosts.node(name).m_config.revision_of("contract/a");
                m_reverted = m_reverted || now < m_newest[name];
                m_newest[name] = now;
            }
        }
    }

    /// Versions at which operations took effect, by their ids.
    std::map<std::string, std::int64_t> effects()
    {
        const config_record stored = m_hosts.m_store.get("contract/a");
        const std::optional<contract_record> record = parse_contract_record(stored.m_value);
        std::map<std::string, std::int64_t> found;
        if (!record) {
            return found;
        }
        found[record->m_operation.str()] = stored.m_revision.get();
        for (const contract_change& change : record->m_history) {
            found[change.m_operation.str()] = change.m_revision.get();
        }
        return found;
    }

    void check()
    {
        const auto effects = this->effects();
        for (const auto& [operation, number] : m_calls) {
            const operator_answer* answer = m_hosts.answer(number);
            REQUIRE(answer != nullptr);
            const auto effect = effects.find(operation);
            if (!answer->m_kind) {
                REQUIRE(effect != effects.end());
                CHECK(json::parse(answer->m_body).at("version").as_int64() == effect->second);
            }
            else if (*answer->m_kind == error_kind::version_conflict) {
                CHECK(effect == effects.end());
            }
        }
        const std::int64_t newest = m_hosts.m_store.get("contract/a").m_revision.get();
        for (const auto& [host, version] : m_newest) {
            CHECK(version.get() == newest);
        }
        CHECK_FALSE(m_reverted);
    }

    virtual_hosts m_hosts;
    std::map<std::string, std::uint64_t> m_calls;
    std::map<std::string, revision> m_newest;
    bool m_reverted = false;
};

/// Explores all fates of the first store calls; gives the number of runs.
int explore(bool edits, bool second_ends)
{
    choice_explorer explorer;
    int runs = 0;
    do {
        race one(edits);
        one.run(explorer, second_ends);
        INFO("depth " << depth << ", choices " << explorer.describe());
        one.check();
        ++runs;
    } while (explorer.advance());
    return runs;
}

} // namespace

TEST_CASE("two operators who create one contract are told the truth in every interleaving")
{
    const int runs = explore(false, false);
    WARN("depth " << depth << ", runs " << runs);
    CHECK(runs >= 100);
}

TEST_CASE("an operator who edits and one who ends are told the truth in every interleaving")
{
    const int runs = explore(true, true);
    WARN("depth " << depth << ", runs " << runs);
    CHECK(runs >= 100);
}
