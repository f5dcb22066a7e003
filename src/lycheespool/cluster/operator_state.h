#pragma once

#include "lycheespool/cluster/operator_config.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace lycheespool {

/*! @brief State that the operators request: the config and the zones that are out of service. */
struct OperatorState {
    /*! @brief Null until the first config has been read. */
    std::shared_ptr<const OperatorConfig> config;
    /*! @brief The stored config is newer than `config` and cannot be decoded. */
    bool isConfigUnreadable { false };
    std::set<std::string> zonesOut;
};

/*! @brief Table of the operators' rows and the function that decodes them. */
struct OperatorSource {
    std::string table;
    /*! @brief Decodes the rows, indexed by key; keeps the previous value of each part that cannot be decoded. */
    std::function<OperatorState(const std::map<std::string, std::string>&, const OperatorState&)> decode;
};

}
