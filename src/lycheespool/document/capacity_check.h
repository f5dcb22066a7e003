#pragma once

#include "lycheespool/document/document.h"
#include "lycheespool/document/impossible_guarantee.h"

#include <functional>
#include <vector>

namespace lycheespool {

/**
 * @brief Lists the guarantees of a document that the zones in service cannot hold together.
 *
 * Without a function, guarantees are not compared with any capacity.
 */
using CapacityCheck = std::function<std::vector<ImpossibleGuarantee>(const Document&)>;

}
