#pragma once

#include "lycheespool/net/sleep.h"
#include "lycheespool/nodeagent/executor_control.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace lycheespool {

/*! @brief How an executor reads the number up to which ends are acknowledged. */
enum class AcknowledgementReading : std::uint8_t {
    /*! @brief Forgets the ends up to the number that it has at the call. */
    atCall,
    /*! @brief Keeps the highest number, and forgets later ends up to it as they arise. */
    highestEver,
};

/*! @brief One process of an executor; a later one may have the same id and address. */
struct FakeProcess {
    std::int64_t startedUnixMs { 0 };
    AcknowledgementReading reading { AcknowledgementReading::atCall };
    bool isUp { true };
    /*! @brief Number of next starts that are neither executed nor answered. */
    std::size_t unansweredStarts { 0 };
    std::uint64_t highestAcknowledged { 0 };
    std::uint64_t newestEnd { 0 };
    std::vector<RunEnd> ended;
    std::vector<RunStart> starts;
    std::vector<RunStop> stops;
    std::vector<HoldRequest> holds;
    /*! @brief Numbers of the ends that were forgotten. */
    std::vector<std::uint64_t> forgotten;

    /*! @brief Adds the end of a run. */
    void end(const std::string& task, std::uint64_t run, RunEndKind kind)
    {
        ended.push_back({ ++newestEnd, task, run, kind, {} });
        if (reading == AcknowledgementReading::highestEver)
            forget(highestAcknowledged);
    }

    void acknowledge(std::uint64_t number)
    {
        highestAcknowledged = std::max(highestAcknowledged, number);
        forget(number);
    }

private:
    void forget(std::uint64_t number)
    {
        std::erase_if(ended, [&](const auto& it) {
            if (it.number > number)
                return false;
            forgotten.push_back(it.number);
            return true;
        });
    }
};

/**
 * @brief Address of an executor whose processes follow each other under one id; a model of ExecutorTransport.
 *
 * Each connection belongs to the process that accepted it.
 */
class FakeExecutorHost {
public:
    class Connection {
    public:
        Connection(FakeExecutorHost& host, std::shared_ptr<FakeProcess> process, std::shared_ptr<bool> isSilent)
            : m_host { host }
            , m_process { std::move(process) }
            , m_isSilent { std::move(isSilent) }
        {
        }

        [[nodiscard]] Awaitable<ExecutorAnswer> start(RunStart start, Duration timeout)
        {
            bool isReached = co_await reaches(timeout);
            if (isReached && m_process->unansweredStarts > 0) {
                --m_process->unansweredStarts;
                co_await sleepFor(timeout);
                isReached = m_isOpen = false;
            }
            if (isReached)
                m_process->starts.push_back(std::move(start));
            co_return answer(isReached);
        }
        [[nodiscard]] Awaitable<ExecutorAnswer> stop(RunStop stop, Duration timeout)
        {
            const bool isReached = co_await reaches(timeout);
            if (isReached)
                m_process->stops.push_back(std::move(stop));
            co_return answer(isReached);
        }
        [[nodiscard]] Awaitable<HoldAnswer> hold(HoldRequest request, Duration timeout)
        {
            const bool isReached = co_await reaches(timeout);
            HoldAnswer list;
            list.answer = answer(isReached);
            if (isReached) {
                m_process->acknowledge(request.endsSeen);
                m_process->holds.push_back(std::move(request));
                list.ended = m_process->ended;
                list.extent = ListExtent::complete;
            }
            co_return list;
        }
        [[nodiscard]] bool isOpen() const { return m_isOpen && !m_host.endsConnections; }

    private:
        /*! @brief Waits for the executor; returns false if the call does not reach it. */
        [[nodiscard]] Awaitable<bool> reaches(Duration timeout)
        {
            constexpr Duration answerTime = std::chrono::milliseconds { 2 };
            const bool isSilent = *m_isSilent || m_host.isMute;
            co_await sleepFor(isSilent ? timeout : answerTime);
            m_isOpen = m_isOpen && !isSilent && !*m_isSilent && m_process->isUp;
            co_return m_isOpen;
        }

        [[nodiscard]] ExecutorAnswer answer(bool isReached) const
        {
            ExecutorAnswer it;
            if (!isReached)
                return it;
            it.kind = ExecutorAnswerKind::accepted;
            it.clockMs = 1000;
            if (m_host.namesLifetime)
                it.startedUnixMs = m_process->startedUnixMs;
            return it;
        }

        FakeExecutorHost& m_host;
        std::shared_ptr<FakeProcess> m_process;
        std::shared_ptr<bool> m_isSilent;
        bool m_isOpen { true };
    };

    [[nodiscard]] Awaitable<std::unique_ptr<Connection>> connect(Duration)
    {
        ++connections;
        if (!present)
            co_return nullptr;
        if (muteConnections > 0) {
            --muteConnections;
            co_return std::make_unique<Connection>(*this, present, std::make_shared<bool>(true));
        }
        co_return std::make_unique<Connection>(*this, present, m_isSilent);
    }

    /*! @brief Starts a process at the address; it answers under the same id as the one before. */
    FakeProcess& startProcess(std::int64_t startedUnixMs, AcknowledgementReading reading)
    {
        present = std::make_shared<FakeProcess>();
        present->startedUnixMs = startedUnixMs;
        present->reading = reading;
        return *present;
    }

    /*! @brief Ends the present process; its connections are reset, or fall silent for good. */
    void crash(bool isSilent)
    {
        if (isSilent)
            silenceConnections();
        present->isUp = false;
        present.reset();
    }

    /*! @brief Open connections pass nothing any more, and are not reset; new ones work. */
    void silenceConnections() { *std::exchange(m_isSilent, std::make_shared<bool>(false)) = true; }

    std::shared_ptr<FakeProcess> present;
    std::size_t connections { 0 };
    /*! @brief No call is answered on any connection. */
    bool isMute { false };
    /*! @brief Number of next connections on which no call is answered. */
    std::size_t muteConnections { 0 };
    /*! @brief Answers name the lifetime. */
    bool namesLifetime { true };
    /*! @brief Each answer ends its connection. */
    bool endsConnections { false };

private:
    std::shared_ptr<bool> m_isSilent { std::make_shared<bool>(false) };
};

static_assert(ExecutorTransport<FakeExecutorHost>);

}
