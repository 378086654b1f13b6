#include "installation.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr milliseconds grace_period{6000};
constexpr milliseconds restart_delay{300};
constexpr milliseconds ready_interval{50};
constexpr int ready_attempts = 200;

} // namespace

installation::installation(asio::io_context& context, std::string program, std::string folder,
                           record& written)
    : m_context(context), m_record(written), m_store(context), m_cloud(context, m_store, written),
      m_program(std::move(program)), m_folder(std::move(folder))
{
}

installation::~installation()
{
    for (host& each : m_hosts) {
        if (each.m_process > 0) {
            kill(each.m_process, SIGKILL);
            waitpid(each.m_process, nullptr, 0);
        }
    }
}

void installation::write_settings(const host& what, const std::string& peer,
                                  const std::string& seeds)
{
    json::object settings{{"host", what.m_name},
                          {"zone", "z1"},
                          {"caller-address", what.m_callers},
                          {"readiness-address", what.m_ready},
                          {"peer-address", peer},
                          {"store-address", m_store.address()},
                          {"seeds", seeds},
                          {"least-lease-ms", "1000"},
                          {"grace-seconds", "6"},
                          {"longest-hold-ms", "10000"},
                          {"stop-ms", "900"},
                          {"drain-ms", "2000"},
                          {"notice-ms", "4500"},
                          {"status-seconds", "120"},
                          {"early-ms", "250"},
                          {"impact-ms", "4000"},
                          {"pace-ms", "100"},
                          {"remote-factor", "1.5"},
                          {"upkeep-seconds", "2"},
                          {"move-seconds", "1.5"},
                          {"machine-orders-per-second", "64"},
                          {"processor-share", "0.25"},
                          {"processor-speed", "1"},
                          {"link-megabits", "1000"},
                          {"memory-mb", "260"},
                          {"max-descriptors", "4100"},
                          {"first-start", "true"}};
    if (m_has_machines) {
        settings["machines-address"] = m_cloud.address();
    }
    for (const auto& [name, value] : m_more_settings) {
        settings[name] = value;
    }
    std::ofstream(what.m_settings_path) << json::serialize(settings) << "\n";
}

void installation::start_host(host& what)
{
    const pid_t parent = getpid();
    const pid_t process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        const std::string log = m_folder + "/" + what.m_name + ".log";
        const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        // The stand-ins' sockets must not live on in the hosts.
        close_range(STDERR_FILENO + 1, ~0U, 0);
        setenv("GUAVABAY_SETTINGS", what.m_settings_path.c_str(), 1);
        execl(m_program.c_str(), m_program.c_str(), "dispatch", static_cast<char*>(nullptr));
        _exit(1);
    }
    what.m_process = process;
    m_record.write("host " + what.m_name + " started");
}

void installation::signal_host(host& what, int number)
{
    m_record.write("host " + what.m_name + " gets signal " + std::to_string(number));
    kill(what.m_process, number);
}

asio::awaitable<void> installation::restart_host(host& what)
{
    signal_host(what, SIGTERM);
    const steady::time_point end = steady::now() + grace_period;
    while (waitpid(what.m_process, nullptr, WNOHANG) == 0) {
        co_await pause_for(ready_interval);
        if (steady::now() > end) {
            signal_host(what, SIGKILL);
            waitpid(what.m_process, nullptr, 0);
            break;
        }
    }
    what.m_process = -1;
    m_record.write("host " + what.m_name + " has ended");
    co_await pause_for(restart_delay);
    start_host(what);
}

asio::awaitable<void> installation::kill_host(host& what)
{
    signal_host(what, SIGKILL);
    waitpid(what.m_process, nullptr, 0);
    what.m_process = -1;
    co_await pause_for(restart_delay);
    start_host(what);
}

host* installation::named_in(const std::string& key)
{
    const std::string value = m_store.get(key);
    for (host& each : m_hosts) {
        if (value.find(each.m_name) != std::string::npos) {
            return &each;
        }
    }
    return nullptr;
}

runner& installation::add_runner(runner_traits traits)
{
    m_runners.push_back(std::make_unique<runner>(m_context, m_store, m_record, std::move(traits)));
    return *m_runners.back();
}

void installation::configure(std::int64_t version, const std::string& service,
                             std::int64_t max_attempts)
{
    const json::object route{{"name", "queue-1"},
                             {"host", "work.example"},
                             {"prefix", "/work/"},
                             {"service", service},
                             {"timeout-ms", 3000},
                             {"priority", 0},
                             {"max-attempts", max_attempts},
                             {"stretch-factor", 2},
                             {"target-duration-ms", 60000}};
    const json::object config{
        {"version", version},
        {"routes", json::array{route}},
        {"services", json::array{json::object{{"name", "pool-1"}, {"enforces-capacity", false}},
                                 json::object{{"name", "pool-2"}, {"enforces-capacity", false}}}},
        {"limits", json::object{}}};
    m_record.write("operator writes op/config version " + std::to_string(version) +
                   ", queue-1 is of the service " + service);
    m_store.put("op/config", json::serialize(config));
}

asio::awaitable<bool> installation::start(std::size_t hosts)
{
    m_store.start();
    m_cloud.start();
    std::string seeds;
    std::vector<std::string> peers;
    for (std::size_t i = 0; i < hosts; ++i) {
        peers.push_back("127.0.0.1:" + std::to_string(find_free_port()));
        seeds += (i > 0 ? "," : "") + peers.back();
    }
    for (std::size_t i = 0; i < hosts; ++i) {
        host added;
        added.m_name = "entry-" + std::to_string(i + 1);
        added.m_settings_path = m_folder + "/" + added.m_name + ".json";
        added.m_callers = "127.0.0.1:" + std::to_string(find_free_port());
        added.m_ready = "127.0.0.1:" + std::to_string(find_free_port());
        write_settings(added, peers[i], seeds);
        m_hosts.push_back(added);
        start_host(m_hosts.back());
    }
    for (int i = 0; i < ready_attempts; ++i) {
        std::size_t ready = 0;
        for (const host& each : m_hosts) {
            const reply told =
                co_await call(each.m_ready, "GET", "ready", "/v1/ready", "", milliseconds(1000));
            ready += told.m_status == 200 ? 1 : 0;
        }
        if (ready == hosts && named_in("c/owner/pool-1") != nullptr &&
            named_in("c/owner/pool-2") != nullptr) {
            co_return true;
        }
        co_await pause_for(ready_interval);
    }
    co_return false;
}

asio::awaitable<unsigned> installation::submit(host& at, std::string id, json::object body,
                                               milliseconds timeout)
{
    m_record.write("client sends POST /work/" + id + " to " + at.m_name);
    const reply told = co_await call(at.m_callers, "POST", "work.example", "/work/" + id,
                                     json::serialize(body), timeout);
    m_record.write("client gets " + std::to_string(told.m_status) + " for POST /work/" + id);
    co_return told.m_status;
}

} // namespace review
