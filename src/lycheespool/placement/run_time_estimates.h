#pragma once

#include "lycheespool/core/clock.h"
#include "lycheespool/placement/gang_shape.h"

#include <map>
#include <utility>

namespace lycheespool {

/*! @brief Corrects declared run times from the finished runs of the same workspace and kind. */
class RunTimeEstimates {
public:
    /**
     * @brief Records a finished run.
     * @param workspace The workspace.
     * @param kind The kind of job.
     * @param declared Declared run time; nothing is recorded when it is not positive.
     * @param actual Run time without interruption.
     */
    void record(Index workspace, Index kind, Duration declared, Duration actual);

    /**
     * @brief Estimates a run time.
     * @param workspace The workspace.
     * @param kind The kind of job.
     * @param declared Declared run time.
     * @return The declared run time times the usual error of this workspace and kind.
     */
    [[nodiscard]] Duration estimate(Index workspace, Index kind, Duration declared) const;

private:
    // Averages the logarithm of the error, so that errors of 10x in opposite directions cancel out.
    std::map<std::pair<Index, Index>, double> m_logError;
};

}
