#pragma once

namespace lycheespool {

/*! @brief Exit codes of the binary. */
enum class ExitCode : int {
    success = 0,
    failure = 1,
    invalidSetting = 2,
    /*! @brief A planned stop ended before all work in flight was finished. */
    incompleteDrain = 3,
};

}
