#pragma once

#include "lycheespool/document/document.h"
#include "lycheespool/document/impossible_guarantee.h"

#include <functional>
#include <vector>

namespace lycheespool {

/**
 * @brief Returns the guarantees of a document that do not fit together into the zones in service.
 *
 * If the function is empty, guarantees are not compared with any capacity.
 */
using CapacityCheck = std::function<std::vector<ImpossibleGuarantee>(const Document&)>;

}
