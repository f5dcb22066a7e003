#pragma once

#include "lycheespool/store/row_store.h"

#include <optional>
#include <string>
#include <string_view>

namespace lycheespool {

/**
 * @brief Names of the rows that the system keeps in the store.
 *
 * All rows of one scheduling domain are in one partition, since a transaction covers one partition.
 */
struct RowNames {
    /*! @brief Partition of the domain. */
    std::string partition { "domain-0" };

    /*! @brief Table of accepted jobs and cancellations, written by entries; the leader follows it. */
    static constexpr std::string_view intakeTable = "intake";
    /*! @brief Table of the progress of jobs, written by the leader; entries follow it. */
    static constexpr std::string_view progressTable = "progress";
    /*! @brief Table of the leader lease. */
    static constexpr std::string_view controlTable = "control";
    static constexpr std::string_view jobPrefix = "job/";
    static constexpr std::string_view cancelPrefix = "cancel/";

    /*! @brief Row of an accepted job. */
    [[nodiscard]] RowName job(std::string_view id) const
    {
        return in(intakeTable, std::string { jobPrefix }.append(id));
    }
    /*! @brief Row of a cancellation. */
    [[nodiscard]] RowName cancel(std::string_view id) const
    {
        return in(intakeTable, std::string { cancelPrefix }.append(id));
    }
    /*! @brief Row of the progress of a job. */
    [[nodiscard]] RowName progress(std::string_view id) const { return in(progressTable, std::string { id }); }
    /*! @brief Row that names the leader and changes with each renewal. */
    [[nodiscard]] RowName lease() const { return in(controlTable, "lease"); }
    /*! @brief Row that changes only with the leader; each write of the leader requires its version. */
    [[nodiscard]] RowName epoch() const { return in(controlTable, "epoch"); }

private:
    [[nodiscard]] RowName in(std::string_view table, std::string key) const
    {
        return { std::string { table }, partition, std::move(key) };
    }
};

}
