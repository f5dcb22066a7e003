#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/core/error.h"
#include "lycheespool/core/log.h"
#include "lycheespool/document/audit_log.h"
#include "lycheespool/entry/leader_report.h"
#include "lycheespool/store/table.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheespool {

/**
 * @brief Writes the leader's state to the table for all entries, and changes of leader, guarantees and quarantine to
 * the audit trail.
 * @tparam TableType Model of Table.
 */
template <Table TableType>
class LeaderReporter {
public:
    /*! @brief Minimum time between two writes; limits the load on the table. */
    static constexpr Duration interval = std::chrono::seconds { 2 };

    /**
     * @brief Creates a reporter.
     * @param table Table service.
     * @param audit Audit trail.
     * @param entry Name of this entry.
     * @param domain Scheduling domain.
     */
    LeaderReporter(TableType& table, AuditLog<TableType>& audit, EntryId entry, std::string domain)
        : m_table { table }
        , m_audit { audit }
        , m_entry { std::move(entry) }
        , m_domain { std::move(domain) }
    {
    }

    /**
     * @brief Reports changes; called only by the leader, after each step.
     * @param planner State of the placement.
     * @param epoch Epoch of this leader.
     * @param now Current time.
     */
    [[nodiscard]] Awaitable<> report(Planner& planner, Epoch epoch, TimePoint now)
    {
        if (now < m_nextReportAt)
            co_return;
        m_nextReportAt = now + interval;
        auditChanges(planner, epoch);
        auto text = describeLeader(planner, m_entry, epoch);
        if (text == m_lastReport)
            co_return;
        Transaction transaction;
        transaction.writes.push_back({ leaderReportKey(m_domain), text });
        try {
            co_await m_table.commit(std::move(transaction));
            m_lastReport = std::move(text);
        } catch (const Error& error) {
            log(LogLevel::warning, "cannot write the leader's report, retrying: {}", error.what());
        }
    }

private:
    using Names = std::set<std::string>;

    void auditChanges(Planner& planner, Epoch epoch)
    {
        if (std::exchange(m_epoch, epoch) != epoch)
            record("leader changed", m_domain, "epoch " + std::to_string(epoch.value()));
        Names missing;
        for (const auto& it : planner.shortfalls())
            missing.insert(it.workspace.value());
        auditDifference("guarantee lost", missing, m_workspacesWithShortfall);
        auditDifference("guarantee restored", m_workspacesWithShortfall, missing);
        m_workspacesWithShortfall = std::move(missing);
        Names quarantined;
        for (const auto& it : planner.quarantined())
            quarantined.insert(it.value());
        auditDifference("worker quarantined", quarantined, m_quarantined);
        auditDifference("worker released", m_quarantined, quarantined);
        m_quarantined = std::move(quarantined);
    }

    void auditDifference(const char* act, const Names& now, const Names& before)
    {
        std::vector<std::string> added;
        std::ranges::set_difference(now, before, std::back_inserter(added));
        for (const auto& it : added)
            record(act, it, {});
    }

    void record(const char* act, const std::string& subject, const std::string& detail)
    {
        log(LogLevel::info, "{}: {} {}", act, subject, detail);
        const auto time = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
        m_audit.record(act, subject, detail, time);
    }

    TableType& m_table;
    AuditLog<TableType>& m_audit;
    EntryId m_entry;
    std::string m_domain;
    TimePoint m_nextReportAt;
    Epoch m_epoch;
    Names m_workspacesWithShortfall;
    Names m_quarantined;
    std::string m_lastReport;
};

}
