#include "app/task_command.h"

#include <boost/json.hpp>
#include <iostream>

#include "app/exit_status.h"
#include "app/holder_call.h"
#include "app/operator_reply.h"
#include "core/result.h"

namespace guavabay {

namespace json = boost::json;

namespace {

setting amount_setting(std::string name, std::string fallback, std::string unit, std::string help)
{
    constexpr std::int64_t most = 1'000'000'000;
    return {std::move(name),
            setting_kind::number,
            std::move(fallback),
            false,
            0,
            most,
            std::move(unit),
            std::move(help),
            {}};
}

std::vector<setting> task_settings()
{
    std::vector<setting> settings = declare_operator_settings();
    settings.push_back(text_setting("pool", "", "Pool on whose hosts the tasks run."));
    settings.push_back(text_setting("customer", "", "Customer under whose contract they run."));
    settings.push_back(text_setting("kind", "", "Kind of work; tasks of one kind use alike."));
    settings.push_back(
        amount_setting("cpu-millis", "1000", "1/1000 core", "Cores that a task needs."));
    settings.push_back(amount_setting("memory-mb", "1000", "MB", "Memory that a task needs."));
    settings.push_back(
        amount_setting("accelerators", "0", "accelerators", "Accelerators that a task needs."));
    settings.push_back({"urgent",
                        setting_kind::word,
                        "no",
                        false,
                        0,
                        0,
                        "",
                        "Whether the tasks go before others.",
                        {"no", "yes"}});
    return settings;
}

std::string path_of_task(const std::string& pool, const std::string& task)
{
    const std::string path = "/v1/pools/" + pool + "/tasks";
    return task.empty() ? path : path + "/" + task;
}

std::string describe_submission(const setting_values& values)
{
    return json::serialize(json::object{{"customer", values.text("customer")},
                                        {"kind", values.text("kind")},
                                        {"cpu_millis", values.number("cpu-millis")},
                                        {"memory_mb", values.number("memory-mb")},
                                        {"accelerators", values.number("accelerators")},
                                        {"urgent", values.text("urgent") == "yes"}});
}

int report_usage(const std::string& reason)
{
    std::cerr << "guavabay task: " << reason << "\n";
    return exit_usage;
}

/// Sends one call for each task that the command names.
int send_each(const parsed_command& parsed, http::verb method, const std::string& body)
{
    int worst = exit_success;
    const std::string pool = parsed.m_values.text("pool");
    for (const std::string& task : parsed.m_operands) {
        const operator_call call{method, path_of_task(pool, task), body, {}};
        worst = std::max(worst, send_to_holder(parsed.m_values, call));
    }
    return worst;
}

} // namespace

int run_task(const std::vector<std::string>& arguments)
{
    if (arguments.empty() || arguments.front().starts_with("-")) {
        return report_usage("give one of submit, cancel, list, explain");
    }
    const std::string& action = arguments.front();
    const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
    const bool known =
        action == "submit" || action == "cancel" || action == "list" || action == "explain";
    if (!known) {
        return report_usage("unknown action " + action);
    }
    const std::optional<parsed_command> parsed =
        parse_command("task " + action, "Works on the tasks of a pool.", task_settings(),
                      action == "list" ? "" : "TASK...", rest);
    if (!parsed) {
        return report_usage(last_reason());
    }
    const setting_values& values = parsed->m_values;
    if (values.text("pool").empty()) {
        return report_usage("--pool: missing");
    }
    if (action == "list") {
        return send_to_holder(values,
                              {http::verb::get, path_of_task(values.text("pool"), ""), "", {}});
    }
    if (parsed->m_operands.empty()) {
        return report_usage(action + " needs a task");
    }
    if (action == "submit" && (values.text("customer").empty() || values.text("kind").empty())) {
        return report_usage("submit needs --customer and --kind");
    }
    const http::verb method = action == "submit"   ? http::verb::put
                              : action == "cancel" ? http::verb::delete_
                                                   : http::verb::get;
    return send_each(*parsed, method, action == "submit" ? describe_submission(values) : "");
}

} // namespace guavabay
