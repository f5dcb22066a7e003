#pragma once

#include "lycheespool/document/document.h"
#include "lycheespool/placement/guarantee.h"

namespace lycheespool {

/**
 * @brief Converts the guarantees of a document to the type of the placement policy.
 * @param document The document.
 * @return Guaranteed shapes by workspace.
 */
[[nodiscard]] Guarantees toGuarantees(const Document& document);

}
