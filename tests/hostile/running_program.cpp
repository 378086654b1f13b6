#include "hostile/running_program.h"

#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "core/time.h"
#include "hostile/hostile_checks.h"
#include "net/http_status.h"
#include "platform/operator_records.h"
#include "platform/worker_calls.h"
#include "support/local_host.h"
#include "support/loopback.h"

namespace guavabay::test {

namespace {

constexpr std::size_t kilobytes_per_megabyte = 1024;

/// Longest wait for one response.
constexpr int response_timeout_s = 3;

/// Pause between two attempts at an ordinary request.
constexpr milliseconds attempt_interval{50};

const std::string ordinary_request = "GET /queue/ HTTP/1.1\r\nHost: callers.example\r\n"
                                     "Connection: close\r\n\r\n";

/// Replaces the process by the program. Only returns if that fails.
void run_program(const std::vector<std::string>& arguments, const std::string& settings_path,
                 std::size_t max_descriptors)
{
    setenv("GUAVABAY_SETTINGS", settings_path.c_str(), 1);
    const int null_device = open("/dev/null", O_RDWR | O_CLOEXEC);
    dup2(null_device, STDOUT_FILENO);
    dup2(null_device, STDERR_FILENO);
    // The sockets of the test process would count as the program's.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    if (max_descriptors > 0) {
        const rlimit limit{max_descriptors, max_descriptors};
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    std::vector<char*> words{const_cast<char*>("guavabay")};
    for (const std::string& argument : arguments) {
        words.push_back(const_cast<char*>(argument.c_str()));
    }
    words.push_back(nullptr);
    execv(GUAVABAY_PROGRAM, words.data());
}

std::string make_config(const std::string& limits)
{
    return R"({"version":1,"routes":[{"name":"queue","host":"callers.example",)"
           R"("prefix":"/queue/","service":"service-a"}],"services":[{"name":"service-a"}],)"
           R"("limits":)" +
           limits + "}";
}

/// Registration of a worker, as the platform's store holds it.
std::string encode_listing(const worker_listing& listing)
{
    boost::json::array labels;
    for (const std::string& label : listing.m_labels) {
        labels.emplace_back(label);
    }
    const resources& capacity = listing.m_capacity;
    return boost::json::serialize(boost::json::object{{"service", listing.m_service.str()},
                                                      {"address", listing.m_address},
                                                      {"zone", listing.m_zone.str()},
                                                      {"machine", listing.m_machine.str()},
                                                      {"state", "ready"},
                                                      {"labels", std::move(labels)},
                                                      {"capacity",
                                                       {{"cpu", capacity.m_cpu_millis},
                                                        {"mem-mb", capacity.m_memory_mb},
                                                        {"gpu", capacity.m_accelerators}}},
                                                      {"born", listing.m_incarnation_start_ms}});
}

} // namespace

running_program::running_program(const std::vector<std::string>& arguments,
                                 const std::string& settings_path, std::size_t max_descriptors)
{
    m_process = fork();
    if (m_process == 0) {
        run_program(arguments, settings_path, max_descriptors);
        _exit(EXIT_FAILURE);
    }
    if (m_process < 0) {
        throw std::runtime_error("cannot start the program");
    }
}

running_program::~running_program()
{
    if (is_alive()) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

bool running_program::is_alive()
{
    m_ended = m_ended || waitpid(m_process, nullptr, WNOHANG) == m_process;
    return !m_ended;
}

std::size_t running_program::peak_memory_mb() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    const std::string name = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stoul(line.substr(name.size())) / kilobytes_per_megabyte;
        }
    }
    return 0;
}

std::size_t running_program::open_sockets() const
{
    std::size_t count = 0;
    std::error_code error;
    const std::filesystem::path directory = "/proc/" + std::to_string(m_process) + "/fd";
    for (const auto& entry : std::filesystem::directory_iterator(directory, error)) {
        const auto target = std::filesystem::read_symlink(entry.path(), error);
        count += target.string().starts_with("socket:") ? 1 : 0;
    }
    return count;
}

dispatch_process::dispatch_process(const named_settings& settings, const std::string& limits,
                                   const initial_state& found)
    : m_callers(free_address(m_context)), m_readiness(free_address(m_context)),
      m_peers(free_address(m_context)), m_metrics(free_address(m_context))
{
    m_store.put(std::string(platform::config_key), make_config(limits));
    std::size_t number = 0;
    for (const std::string& record : found.m_log_records) {
        char key[sizeof "l/service-a/000000000001"];
        std::snprintf(key, sizeof key, "l/service-a/%012zu", ++number);
        m_store.put(key, record);
    }
    if (found.m_has_worker) {
        m_worker = std::make_unique<loopback_worker>(m_context, "worker-a");
        m_store.put(std::string(platform::worker_prefix) + "worker-a",
                    encode_listing(m_worker->listing(service_id("service-a"))));
    }
    m_settings_path = write_settings(settings);
    // Started before the thread, because a process with threads must not run much after a fork.
    m_program =
        std::make_unique<running_program>(std::vector<std::string>{"dispatch"}, m_settings_path);
    m_store_thread = std::thread([this] { m_context.run(); });
}

dispatch_process::~dispatch_process()
{
    m_program.reset();
    m_context.stop();
    m_store_thread.join();
    std::filesystem::remove(m_settings_path);
}

std::string dispatch_process::write_settings(const named_settings& settings) const
{
    boost::json::object object{
        {"host", "host-a"},
        {"zone", "zone-a"},
        {"caller-address", to_text(m_callers)},
        {"readiness-address", to_text(m_readiness)},
        {"peer-address", to_text(m_peers)},
        {"metrics-address", to_text(m_metrics)},
        {"store-address", to_text(m_store.address())},
    };
    for (const auto& [name, value] : settings) {
        object[name] = value;
    }
    std::string path =
        (std::filesystem::temp_directory_path() /
         ("guavabay-hostile-" + std::to_string(getpid()) + "-" + std::to_string(m_callers.m_port)))
            .string();
    std::ofstream(path) << boost::json::serialize(object);
    return path;
}

bool dispatch_process::answers()
{
    return has_status_in_time(m_callers, ordinary_request, http_status::ok);
}

bool dispatch_process::accepts(std::uint64_t id)
{
    const std::string body = R"({"task-spec":"x","steps":[{"count":2,"cpu":500,"mem-mb":64}]})";
    return has_status_in_time(m_callers, submit_request_text(id, body), http_status::ok);
}

void dispatch_process::stall_store()
{
    asio::post(m_context, [this] { m_store.m_stall = true; });
}

serve_process::serve_process(const std::vector<std::string>& more_arguments,
                             std::size_t max_descriptors)
{
    asio::io_context context;
    m_callers = free_address(context);
    m_operators = free_address(context);
    m_peers = free_address(context);
    std::vector<std::string> arguments{"serve",
                                       "--host",
                                       "host-a",
                                       "--zone",
                                       "zone-a",
                                       "--caller-address",
                                       to_text(m_callers),
                                       "--operator-address",
                                       to_text(m_operators),
                                       "--peer-address",
                                       to_text(m_peers),
                                       "--store",
                                       to_text(free_address(context)),
                                       "--peer-keys",
                                       "1:a-secret-of-the-tests",
                                       "--operator-open",
                                       "yes"};
    arguments.insert(arguments.end(), more_arguments.begin(), more_arguments.end());
    m_program = std::make_unique<running_program>(arguments, "", max_descriptors);
}

unsigned request_status(const ip_address& address, const std::string& request)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    error_code error;
    socket.connect(address.tcp(), error);
    if (error) {
        return 0;
    }
    const timeval timeout{response_timeout_s, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    asio::write(socket, asio::buffer(request), error);
    std::string received(sizeof "HTTP/1.1 200" - 1, '\0');
    const ssize_t length =
        recv(socket.native_handle(), received.data(), received.size(), MSG_WAITALL);
    const std::size_t status_at = sizeof "HTTP/1.1 " - 1;
    if (length != static_cast<ssize_t>(received.size()) || !received.starts_with("HTTP/1.1 ")) {
        return 0;
    }
    return static_cast<unsigned>(std::atoi(received.c_str() + status_at));
}

bool has_status_in_time(const ip_address& address, const std::string& request, unsigned status)
{
    const time_point end = read_clock() + wait_limit;
    while (read_clock() < end) {
        if (request_status(address, request) == status) {
            return true;
        }
        std::this_thread::sleep_for(attempt_interval);
    }
    return false;
}

} // namespace guavabay::test
