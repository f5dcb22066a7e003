// Stand-ins for the review cases: the platform's store, executors, clients and the processes under test.
// Plain POSIX sockets and threads; every address is a loopback address.
#pragma once

#include <nlohmann/json.hpp>

#include <array>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <spawn.h>
#include <string>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern char** environ;

namespace standin {

using nlohmann::json;

inline std::int64_t steadyMs()
{
    timespec ts {};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return std::int64_t { ts.tv_sec } * 1000 + ts.tv_nsec / 1000000;
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds { ms }); }

/*! @brief The record of what was sent, answered and run; one line for each event. */
class Record {
public:
    void open(const std::string& path)
    {
        m_file.open(path, std::ios::trunc);
        m_start = steadyMs();
    }
    void line(const std::string& text)
    {
        const std::scoped_lock lock { m_mutex };
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(steadyMs() - m_start) / 1000.0);
        m_file << time << text << std::endl;
    }
    [[nodiscard]] std::int64_t now() const { return steadyMs() - m_start; }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_start { 0 };
};

inline Record record;

// HTTP

struct Message {
    std::string method;
    std::string path;
    int status { 0 };
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] std::string field(const std::string& name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? std::string {} : it->second;
    }
    /*! @brief Returns a query parameter, with %XX decoded. */
    [[nodiscard]] std::string parameter(const std::string& name) const
    {
        const auto query = path.find('?');
        std::size_t at = query == std::string::npos ? path.size() : query + 1;
        while (at < path.size()) {
            auto end = path.find('&', at);
            if (end == std::string::npos)
                end = path.size();
            const auto pair = path.substr(at, end - at);
            const auto equals = pair.find('=');
            if (pair.substr(0, equals) == name) {
                std::string value;
                for (std::size_t i = equals + 1; i < pair.size(); ++i) {
                    if (pair[i] == '%' && i + 2 < pair.size()) {
                        value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                        i += 2;
                    } else {
                        value += pair[i];
                    }
                }
                return value;
            }
            at = end + 1;
        }
        return {};
    }
};

/*! @brief Reads one message; false at the end of the connection or at the deadline (0: none). */
inline bool readMessage(int fd, std::string& buf, Message& message, std::int64_t deadlineMs = 0)
{
    const auto more = [&] {
        pollfd it { fd, POLLIN, 0 };
        while (true) {
            const auto left = deadlineMs == 0 ? std::int64_t { 1000 } : deadlineMs - steadyMs();
            if (deadlineMs != 0 && left <= 0)
                return false;
            const int n = ::poll(&it, 1, static_cast<int>(left));
            if (n < 0)
                return false;
            if (n > 0)
                break;
        }
        char bytes[16384];
        const auto n = ::recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        buf.append(bytes, static_cast<std::size_t>(n));
        return true;
    };
    std::size_t end = 0;
    while ((end = buf.find("\r\n\r\n")) == std::string::npos) {
        if (!more())
            return false;
    }
    message = {};
    std::size_t at = buf.find("\r\n");
    const auto first = buf.substr(0, at);
    if (first.starts_with("HTTP/")) {
        message.status = std::stoi(first.substr(9, 3));
    } else {
        const auto a = first.find(' ');
        const auto b = first.find(' ', a + 1);
        message.method = first.substr(0, a);
        message.path = first.substr(a + 1, b - a - 1);
    }
    at += 2;
    while (at < end) {
        const auto lineEnd = buf.find("\r\n", at);
        const auto text = buf.substr(at, lineEnd - at);
        const auto colon = text.find(':');
        auto name = text.substr(0, colon);
        for (auto& it : name)
            it = static_cast<char>(std::tolower(it));
        auto value = text.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
            value.erase(0, 1);
        message.fields[name] = value;
        at = lineEnd + 2;
    }
    buf.erase(0, end + 4);
    const auto length = message.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buf.size() < size) {
        if (!more())
            return false;
    }
    message.body = buf.substr(0, size);
    buf.erase(0, size);
    return true;
}

inline bool sendAll(int fd, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

inline bool sendResponse(int fd, int status, const std::string& body)
{
    return sendAll(fd,
        "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body);
}

inline sockaddr_in socketAddress(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int connectTo(const std::string& ip, int port, std::int64_t timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto address = socketAddress(ip, port);
    int failed = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (failed != 0 && errno == EINPROGRESS) {
        pollfd it { fd, POLLOUT, 0 };
        socklen_t size = sizeof failed;
        if (::poll(&it, 1, static_cast<int>(timeoutMs)) <= 0
            || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &failed, &size) != 0)
            failed = 1;
    }
    if (failed != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/*! @brief Makes one call on a new connection; status 0 without an answer. */
inline Message call(const std::string& ip, int port, const std::string& method, const std::string& path,
    const std::vector<std::string>& fields, const std::string& body, std::int64_t timeoutMs)
{
    Message answer;
    const auto deadline = steadyMs() + timeoutMs;
    const int fd = connectTo(ip, port, timeoutMs);
    if (fd < 0)
        return answer;
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto& it : fields) {
        hasHost = hasHost || it.starts_with("Host:");
        text += it + "\r\n";
    }
    if (!hasHost)
        text += "Host: " + ip + "\r\n";
    text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buf;
    if (!sendAll(fd, text) || !readMessage(fd, buf, answer, deadline))
        answer = {};
    ::close(fd);
    return answer;
}

/*! @brief A listening socket with one thread for each connection. */
class Server {
public:
    /*! @brief Serves one request; false ends the connection without an answer. */
    using Handler = std::function<bool(int fd, const Message&)>;

    Server(std::string ip, int port, Handler handler)
        : m_ip { std::move(ip) }
        , m_port { port }
        , m_handler { std::move(handler) }
    {
    }
    ~Server() { stop(); }

    bool start()
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = socketAddress(m_ip, m_port);
        if (::bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(m_fd, 128) != 0)
            return false;
        m_open = true;
        m_thread = std::thread { [this, fd = m_fd] { acceptLoop(fd); } };
        return true;
    }

    /*! @brief Closes the listening socket and all connections, as the end of the process would. */
    void stop()
    {
        if (!m_open.exchange(false))
            return;
        ::shutdown(m_fd, SHUT_RDWR);
        m_thread.join();
        ::close(m_fd);
        closeConnections();
        while (m_active > 0)
            sleepMs(1);
    }

    void closeConnections()
    {
        const std::scoped_lock lock { m_mutex };
        for (const auto fd : m_fds)
            ::shutdown(fd, SHUT_RDWR);
    }

private:
    void acceptLoop(int listener)
    {
        while (m_open) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++m_active;
            {
                const std::scoped_lock lock { m_mutex };
                m_fds.insert(fd);
            }
            std::thread { [this, fd] {
                std::string buf;
                Message request;
                while (readMessage(fd, buf, request) && m_handler(fd, request)) { }
                {
                    const std::scoped_lock lock { m_mutex };
                    m_fds.erase(fd);
                }
                ::close(fd);
                --m_active;
            } }.detach();
        }
    }

    std::string m_ip;
    int m_port;
    Handler m_handler;
    int m_fd { -1 };
    std::atomic<bool> m_open { false };
    std::atomic<int> m_active { 0 };
    std::mutex m_mutex;
    std::set<int> m_fds;
    std::thread m_thread;
};

// The platform's store: tables of rows, transactions, a feed.

/*! @brief What the store does with the calls of one machine. */
enum class StoreMode { serves, busy, silent };

class Store {
public:
    /*! @brief Adds an address at which one machine reaches the store. */
    bool addAccess(const std::string& machine, const std::string& ip, int port)
    {
        m_modes[machine] = StoreMode::serves;
        m_servers.push_back(std::make_unique<Server>(
            ip, port, [this, machine](int fd, const Message& request) { return serve(machine, fd, request); }));
        return m_servers.back()->start();
    }

    void setMode(const std::string& machine, StoreMode mode)
    {
        const std::scoped_lock lock { m_mutex };
        m_modes[machine] = mode;
    }

    /*! @brief Writes a row as the operator. */
    void put(const std::string& table, const std::string& key, const std::string& text)
    {
        const std::scoped_lock lock { m_mutex };
        ++m_version;
        write({ table, "", key }, encode(text));
    }

    void stop()
    {
        m_stopped = true;
        for (auto& it : m_servers)
            it->stop();
    }

    /*! @brief Called for each transaction after it has been applied; for tests that wait for a write. */
    std::function<void(const std::string& machine, const json& body, bool isCommitted)> onTransaction;

private:
    struct Name {
        std::string table;
        std::string part;
        std::string key;
        friend auto operator<=>(const Name&, const Name&) = default;
    };
    struct Row {
        std::string value;
        std::uint64_t version { 0 };
    };
    struct Change {
        std::uint64_t version;
        Name name;
    };

    static std::string encode(const std::string& bytes)
    {
        static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t n = 0;
            for (std::size_t j = 0; j < 3; ++j)
                n = n << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            for (std::size_t j = 0; j < 4; ++j)
                text += i + j > bytes.size() ? '=' : digits[n >> (18 - 6 * j) & 63U];
        }
        return text;
    }

    static Name nameOf(const json& it)
    {
        return { it.at("table").get<std::string>(), it.value("part", std::string {}), it.at("key").get<std::string>() };
    }

    void write(const Name& name, const std::optional<std::string>& value)
    {
        if (value)
            m_rows[name] = { *value, m_version };
        else
            m_rows.erase(name);
        m_changes.push_back({ m_version, name });
    }

    json rowOf(const Name& name) const
    {
        json row { { "table", name.table }, { "part", name.part }, { "key", name.key } };
        const auto it = m_rows.find(name);
        if (it == m_rows.end()) {
            row["deleted"] = true;
            row["rowVersion"] = m_version;
        } else {
            row["value"] = it->second.value;
            row["rowVersion"] = it->second.version;
        }
        return row;
    }

    json answer(json rows) const
    {
        return { { "rows", std::move(rows) }, { "rowVersion", m_version }, { "nowMs", steadyMs() },
            { "hasMore", false } };
    }

    StoreMode modeOf(const std::string& machine)
    {
        const std::scoped_lock lock { m_mutex };
        return m_modes[machine];
    }

    bool serve(const std::string& machine, int fd, const Message& request)
    {
        const auto mode = modeOf(machine);
        if (mode == StoreMode::busy)
            return sendResponse(fd, 503, "{}");
        if (mode == StoreMode::silent) {
            while (!m_stopped && modeOf(machine) == StoreMode::silent)
                sleepMs(20);
            return false;
        }
        // Ordinary time of an answer.
        sleepMs(4);
        if (request.path.starts_with("/v1/rows-tx"))
            return transact(machine, fd, request);
        if (request.path.starts_with("/v1/rows-get"))
            return list(fd, request);
        if (request.path.starts_with("/v1/rows-feed"))
            return feed(machine, fd, request);
        return sendResponse(fd, 404, "{}");
    }

    bool transact(const std::string& machine, int fd, const Message& request)
    {
        const auto body = json::parse(request.body);
        json response;
        bool isCommitted = true;
        {
            const std::scoped_lock lock { m_mutex };
            json current = json::array();
            for (const auto& it : body.value("expectedRev", json::array())) {
                const auto name = nameOf(it);
                const auto row = m_rows.find(name);
                const auto version = row == m_rows.end() ? 0 : row->second.version;
                isCommitted = isCommitted && version == it.value("rowVersion", std::uint64_t { 0 });
                if (row != m_rows.end())
                    current.push_back(rowOf(name));
            }
            if (isCommitted) {
                ++m_version;
                for (const auto& it : body.value("setKeys", json::array()))
                    write(nameOf(it), it.value("value", std::string {}));
                for (const auto& it : body.value("remove", json::array()))
                    write(nameOf(it), std::nullopt);
                response = { { "rowVersion", m_version }, { "nowMs", steadyMs() } };
            } else {
                response = answer(std::move(current));
            }
        }
        if (onTransaction)
            onTransaction(machine, body, isCommitted);
        return sendResponse(fd, isCommitted ? 200 : 412, response.dump());
    }

    bool list(int fd, const Message& request)
    {
        const std::scoped_lock lock { m_mutex };
        const auto from = request.parameter("from");
        const auto to = request.parameter("to");
        json rows = json::array();
        for (const auto& [name, row] : m_rows) {
            if (name.table == request.parameter("table") && name.part == request.parameter("part") && name.key >= from
                && (to.empty() || name.key < to))
                rows.push_back(rowOf(name));
        }
        return sendResponse(fd, 200, answer(std::move(rows)).dump());
    }

    bool feed(const std::string& machine, int fd, const Message& request)
    {
        const auto table = request.parameter("table");
        const auto after = std::stoull(request.parameter("after"));
        const auto wait = request.parameter("waitMs");
        const auto until = steadyMs() + (wait.empty() ? 0 : std::stoll(wait));
        while (!m_stopped) {
            {
                const std::scoped_lock lock { m_mutex };
                if (m_modes[machine] != StoreMode::serves)
                    return false;
                json rows = json::array();
                std::set<Name> seen;
                for (const auto& it : m_changes) {
                    if (it.version > after && it.name.table == table && seen.insert(it.name).second)
                        rows.push_back(rowOf(it.name));
                }
                if (!rows.empty() || steadyMs() >= until)
                    return sendResponse(fd, 200, answer(std::move(rows)).dump());
            }
            sleepMs(4);
        }
        return false;
    }

    std::mutex m_mutex;
    std::map<std::string, StoreMode> m_modes;
    std::map<Name, Row> m_rows;
    std::deque<Change> m_changes;
    std::uint64_t m_version { 1 };
    std::atomic<bool> m_stopped { false };
    std::vector<std::unique_ptr<Server>> m_servers;
};

// Executors

/*! @brief An event at an executor: a run that began, or one that ended. */
struct RunEvent {
    std::int64_t atMs { 0 };
    std::string executor;
    std::string task;
    std::uint64_t run { 0 };
    /*! @brief "start", or how the run ended; "crash" if its executor crashed. */
    std::string what;
};

/*! @brief Collects the events of all executors. */
class RunLog {
public:
    void add(RunEvent event)
    {
        record.line("executor " + event.executor + ": " + event.task + " run " + std::to_string(event.run) + " "
            + event.what);
        const std::scoped_lock lock { m_mutex };
        m_events.push_back(std::move(event));
    }
    [[nodiscard]] std::vector<RunEvent> events() const
    {
        const std::scoped_lock lock { m_mutex };
        return m_events;
    }
    [[nodiscard]] std::size_t count(const std::string& what) const
    {
        std::size_t n = 0;
        for (const auto& it : events())
            n += it.what == what;
        return n;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<RunEvent> m_events;
};

inline RunLog runLog;

struct ExecutorSettings {
    std::string name;
    std::string service;
    std::string zone;
    std::string ip;
    int appPort { 8529 };
    int controlPort { 8526 };
    std::vector<std::string> labels;
    std::int64_t cpu { 64000 };
    std::int64_t memMb { 131072 };
    std::int64_t gpu { 8 };
    std::int64_t maxHoldMs { 6000 };
    std::int64_t stopMs { 100 };
    std::int64_t beatMs { 1500 };
};

/*! @brief How an executor treats a call. */
enum class CallMode {
    serves,
    /*! @brief Leaves the call unanswered and carries it out later. */
    late,
    /*! @brief Answers 503 and does nothing. */
    unhealthy,
    /*! @brief Leaves the call unanswered and does nothing. */
    silent,
};

/*!
 * @brief One machine's executor. The spec of a job says how long its tasks work: "work=MS" in the text.
 */
class Executor {
public:
    explicit Executor(ExecutorSettings settings)
        : m_settings { std::move(settings) }
    {
    }
    ~Executor() { shutDown(); }

    /*! @brief Starts a lifetime. */
    bool start(bool keepsId = false)
    {
        {
            const std::scoped_lock lock { m_mutex };
            ++m_life;
            if (m_id.empty() || !keepsId)
                m_id = "i-" + m_settings.name + "-" + std::to_string(m_life);
            m_born = std::max(m_born + 1, unixMs());
            m_bornAt = steadyMs();
            m_seq = 0;
            m_fence = 0;
            m_leaseEnd = 0;
            m_nextEnd = 1;
            m_lastSeen = 0;
            m_runs.clear();
            m_highest.clear();
            m_ends.clear();
            m_state = "ready";
            m_up = true;
        }
        record.line("executor " + m_settings.name + ": up as " + m_id);
        m_server = std::make_unique<Server>(m_settings.ip, m_settings.appPort,
            [this, life = m_life](int fd, const Message& request) { return serve(life, fd, request); });
        if (!m_server->start())
            return false;
        m_loop = std::thread { [this] { tickLoop(); } };
        m_beats = std::thread { [this] { beatLoop(); } };
        return true;
    }

    /*! @brief Ends the lifetime at once; nothing runs any more, and nothing is sent. */
    void crash()
    {
        if (!m_up)
            return;
        record.line("executor " + m_settings.name + ": crashes");
        {
            const std::scoped_lock lock { m_mutex };
            m_up = false;
            for (const auto& [task, run] : m_runs)
                runLog.add({ record.now(), m_settings.name, task, run.run, "crash" });
            m_runs.clear();
        }
        m_server->stop();
        m_loop.join();
        m_beats.join();
    }

    void shutDown()
    {
        if (!m_up)
            return;
        m_up = false;
        m_server->stop();
        m_loop.join();
        m_beats.join();
    }

    void setState(const std::string& state)
    {
        const std::scoped_lock lock { m_mutex };
        m_state = state;
    }

    [[nodiscard]] bool isUp() const { return m_up; }
    [[nodiscard]] const std::string& name() const { return m_settings.name; }
    [[nodiscard]] bool runs(const std::string& job)
    {
        const std::scoped_lock lock { m_mutex };
        for (const auto& [task, run] : m_runs) {
            if (task.starts_with(job))
                return true;
        }
        return false;
    }

    /*! @brief Decides how a call is treated; null: all are served. Called without locks. */
    std::function<CallMode(const std::string& path, const json& body)> treat;
    /*! @brief Delay of calls that are carried out late, ms. */
    std::int64_t lateMs { 3000 };

private:
    struct Run {
        std::uint64_t run { 0 };
        std::int64_t workMs { 0 };
        std::int64_t startedAt { 0 };
        std::int64_t stopsAt { 0 };
        bool fails { false };
    };

    [[nodiscard]] std::int64_t clockMs() const { return 1000 + steadyMs() - m_bornAt; }

    [[nodiscard]] json base() const { return { { "clockMs", clockMs() }, { "born", m_born } }; }

    bool reply(int fd, int status, const char* reason = nullptr) const
    {
        auto body = base();
        if (reason)
            body["reason"] = reason;
        return sendResponse(fd, status, body.dump());
    }

    bool serve(int life, int fd, const Message& request)
    {
        if (request.method == "GET")
            return sendResponse(fd, 200, "{}");
        const auto body = json::parse(request.body);
        const auto path = request.path;
        const auto target = request.field("x-target-instance");
        const auto mode = treat ? treat(path, body) : CallMode::serves;
        if (mode == CallMode::silent) {
            for (int i = 0; i < 500 && m_up; ++i)
                sleepMs(20);
            return false;
        }
        if (mode == CallMode::unhealthy) {
            const std::scoped_lock lock { m_mutex };
            return reply(fd, 503);
        }
        if (mode == CallMode::late) {
            record.line("executor " + m_settings.name + ": leaves " + path + " unanswered: " + request.body);
            for (std::int64_t i = 0; i < lateMs / 10 && m_up; ++i)
                sleepMs(10);
            if (m_up && m_life == life) {
                const std::scoped_lock lock { m_mutex };
                const auto [status, reason] = execute(path, body);
                record.line("executor " + m_settings.name + ": carried out " + path + " late: " + std::to_string(status)
                    + " " + reason);
            }
            return false;
        }
        {
            const std::scoped_lock lock { m_mutex };
            if (!m_up || m_life != life)
                return false;
            if (target != m_id)
                return reply(fd, 421);
            if (path != "/v1/hold") {
                const auto [status, reason] = execute(path, body);
                record.line("executor " + m_settings.name + ": " + path + " " + body.value("task", std::string {})
                    + " run " + std::to_string(body.value("run", std::uint64_t { 0 })) + " -> "
                    + std::to_string(status) + " " + reason);
                return reply(fd, status, reason.empty() ? nullptr : reason.c_str());
            }
            if (body.value("fencingToken", std::uint64_t { 0 }) < m_fence)
                return reply(fd, 409, "fence");
            m_fence = body.value("fencingToken", std::uint64_t { 0 });
            extend(body);
            m_lastSeen = std::max(m_lastSeen, body.value("lastSeen", std::uint64_t { 0 }));
            while (!m_ends.empty() && m_ends.front()[0].get<std::uint64_t>() <= m_lastSeen)
                m_ends.pop_front();
        }
        const auto until = steadyMs() + body.value("waitMs", std::int64_t { 0 });
        while (true) {
            {
                const std::scoped_lock lock { m_mutex };
                if (!m_up || m_life != life)
                    return false;
                if (!m_ends.empty() || steadyMs() >= until) {
                    auto response = base();
                    response["running"] = json::array();
                    for (const auto& [task, run] : m_runs) {
                        const auto percent = run.workMs > 0 ? 100 * (steadyMs() - run.startedAt) / run.workMs : 0;
                        response["running"].push_back({ task, run.run, "", std::min<std::int64_t>(percent, 100) });
                    }
                    response["ended"] = json::array();
                    for (const auto& it : m_ends)
                        response["ended"].push_back(it);
                    return sendResponse(fd, 200, response.dump());
                }
            }
            sleepMs(5);
        }
    }

    void extend(const json& body)
    {
        if (const auto it = body.find("deadlineMs"); it != body.end())
            m_leaseEnd = std::max(m_leaseEnd, std::min(it->get<std::int64_t>(), clockMs() + m_settings.maxHoldMs));
    }

    /*! @brief Carries out a start or a stop. */
    std::pair<int, std::string> execute(const std::string& path, const json& body)
    {
        if (body.value("fencingToken", std::uint64_t { 0 }) < m_fence)
            return { 409, "fence" };
        m_fence = body.value("fencingToken", std::uint64_t { 0 });
        const auto task = body.at("task").get<std::string>();
        const auto number = body.at("run").get<std::uint64_t>();
        const auto known = m_runs.find(task);
        if (path == "/v1/run-stop") {
            if (known == m_runs.end())
                m_highest[task] = std::max(m_highest[task], number);
            else if (known->second.run <= number && known->second.stopsAt == 0)
                known->second.stopsAt = steadyMs() + m_settings.stopMs;
            return { 200, "" };
        }
        extend(body);
        if (known != m_runs.end() && known->second.run == number)
            return { 200, "" };
        if (known != m_runs.end() || number <= m_highest[task])
            return { 409, "old" };
        if (body.at("deadlineMs").get<std::int64_t>() <= clockMs())
            return { 409, "late" };
        Run run;
        run.run = number;
        const auto spec = body.value("spec", std::string {});
        if (const auto at = spec.find("work="); at != std::string::npos)
            run.workMs = std::stoll(spec.substr(at + 5));
        run.startedAt = steadyMs();
        m_runs[task] = run;
        runLog.add({ record.now(), m_settings.name, task, number, "start" });
        return { 200, "" };
    }

    void tickLoop()
    {
        while (m_up) {
            sleepMs(5);
            const std::scoped_lock lock { m_mutex };
            if (!m_up)
                return;
            const auto now = steadyMs();
            for (auto it = m_runs.begin(); it != m_runs.end();) {
                const auto& run = it->second;
                const char* how = nullptr;
                if (clockMs() > m_leaseEnd)
                    how = "lapsed";
                else if (run.stopsAt != 0 && now >= run.stopsAt)
                    how = "stopped";
                else if (now - run.startedAt >= run.workMs)
                    how = "done";
                if (!how) {
                    ++it;
                    continue;
                }
                m_highest[it->first] = std::max(m_highest[it->first], run.run);
                runLog.add({ record.now(), m_settings.name, it->first, run.run, how });
                m_ends.push_back({ m_nextEnd++, it->first, run.run, how, "" });
                it = m_runs.erase(it);
            }
        }
    }

    void beatLoop()
    {
        std::int64_t next = steadyMs();
        while (m_up) {
            if (steadyMs() < next) {
                sleepMs(10);
                continue;
            }
            next = steadyMs() + m_settings.beatMs;
            json body;
            std::string id;
            {
                const std::scoped_lock lock { m_mutex };
                id = m_id;
                body = base();
                body["service"] = m_settings.service;
                body["addr"] = m_settings.ip + ":" + std::to_string(m_settings.appPort);
                body["zone"] = m_settings.zone;
                body["version"] = "v1";
                body["slots"] = 8;
                body["state"] = m_state;
                body["coldRemainingMs"] = 0;
                body["capacity"]
                    = { { "cpu", m_settings.cpu }, { "memMb", m_settings.memMb }, { "gpu", m_settings.gpu } };
                body["labels"] = m_settings.labels;
                body["seq"] = ++m_seq;
            }
            const auto answer = call(m_settings.ip, m_settings.controlPort, "POST",
                "/v1/instances/" + id + "/heartbeat", {}, body.dump(), 1000);
            // An unanswered ping is sent again soon.
            if (answer.status != 200)
                next = steadyMs() + 300;
        }
    }

    ExecutorSettings m_settings;
    std::mutex m_mutex;
    std::unique_ptr<Server> m_server;
    std::thread m_loop;
    std::thread m_beats;
    std::atomic<bool> m_up { false };
    int m_life { 0 };
    std::string m_id;
    std::int64_t m_born { 0 };
    std::int64_t m_bornAt { 0 };
    std::string m_state;
    std::uint64_t m_seq { 0 };
    std::uint64_t m_fence { 0 };
    std::int64_t m_leaseEnd { 0 };
    std::uint64_t m_nextEnd { 1 };
    std::uint64_t m_lastSeen { 0 };
    std::map<std::string, Run> m_runs;
    std::map<std::string, std::uint64_t> m_highest;
    std::deque<json> m_ends;
};

// Processes under test

/*! @brief Ids of the processes that run, so that a signal to this program ends them as well. */
inline std::array<std::atomic<pid_t>, 64> startedProcesses {};

inline void endStartedProcesses(int number)
{
    for (auto& it : startedProcesses) {
        if (const pid_t pid = it)
            ::kill(pid, SIGKILL);
    }
    ::_exit(128 + number);
}

class Process {
public:
    Process(std::vector<std::string> words, std::string settingsPath, std::string logPath)
        : m_words { std::move(words) }
        , m_settingsPath { std::move(settingsPath) }
        , m_logPath { std::move(logPath) }
    {
    }
    ~Process() { kill(); }

    bool start()
    {
        std::vector<std::string> environment { "LYCHEESPOOL_SETTINGS=" + m_settingsPath };
        for (const char* name : { "PATH", "HOME", "LANG" }) {
            if (const char* value = std::getenv(name))
                environment.push_back(std::string { name } + "=" + value);
        }
        std::vector<char*> args;
        std::vector<char*> variables;
        for (auto& it : m_words)
            args.push_back(it.data());
        for (auto& it : environment)
            variables.push_back(it.data());
        args.push_back(nullptr);
        variables.push_back(nullptr);
        posix_spawn_file_actions_t actions {};
        ::posix_spawn_file_actions_init(&actions);
        ::posix_spawn_file_actions_addopen(&actions, 1, m_logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::posix_spawn_file_actions_adddup2(&actions, 1, 2);
        const int failed
            = ::posix_spawn(&m_pid, m_words.front().c_str(), &actions, nullptr, args.data(), variables.data());
        ::posix_spawn_file_actions_destroy(&actions);
        if (failed != 0)
            m_pid = 0;
        for (auto& it : startedProcesses) {
            pid_t none = 0;
            if (it.compare_exchange_strong(none, m_pid))
                break;
        }
        return failed == 0;
    }

    void signal(int number) const
    {
        if (m_pid != 0)
            ::kill(m_pid, number);
    }

    void kill()
    {
        if (m_pid == 0)
            return;
        ::kill(m_pid, SIGCONT);
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, nullptr, 0);
        for (auto& it : startedProcesses) {
            pid_t pid = m_pid;
            it.compare_exchange_strong(pid, 0);
        }
        m_pid = 0;
    }

    /*! @brief True while the process has not ended by itself. */
    [[nodiscard]] bool isAlive()
    {
        return m_pid != 0 && ::waitpid(m_pid, nullptr, WNOHANG) == 0;
    }

private:
    std::vector<std::string> m_words;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_pid { 0 };
};

}
