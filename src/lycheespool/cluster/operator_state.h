#pragma once

#include "lycheespool/cluster/operator_config.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace lycheespool {

/*! @brief What the operators ask for: the config and the zones that are out of service. */
struct OperatorState {
    /*! @brief Null until the first config was read. */
    std::shared_ptr<const OperatorConfig> config;
    std::set<std::string> zonesOut;
};

/*! @brief Where the operators' rows are and how they are read. */
struct OperatorSource {
    std::string table;
    /*! @brief Decodes the rows, given by key; keeps parts of the previous state that are not readable. */
    std::function<OperatorState(const std::map<std::string, std::string>&, const OperatorState&)> decode;
};

}
