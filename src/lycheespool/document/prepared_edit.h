#pragma once

#include "lycheespool/document/capacity_check.h"
#include "lycheespool/document/edit.h"
#include "lycheespool/document/edit_result.h"
#include "lycheespool/document/stored_document.h"
#include "lycheespool/store/transaction.h"

#include <optional>

namespace lycheespool {

/*! @brief An edit that was checked against the document. */
struct PreparedEdit {
    /*! @brief Answer to the edit once the transaction has committed, or at once when there is none. */
    EditResult result;
    std::optional<Transaction> transaction;
};

/**
 * @brief Checks an edit whose base is the present revision of its section and builds its transaction.
 * @param stored The document.
 * @param edit The edit.
 * @param process Process that accepts the edit.
 * @param capacity Compares guarantees with the capacity; may be empty.
 * @return The transaction, or the reason why there is none.
 */
[[nodiscard]] PreparedEdit prepareEdit(
    const StoredDocument& stored, const Edit& edit, const EntryId& process, const CapacityCheck& capacity);

/**
 * @brief Makes the answer to an edit that is not accepted.
 * @param edit The edit.
 * @param status What became of it.
 * @param error Reason and remedy.
 * @return The answer.
 */
[[nodiscard]] EditResult rejected(const Edit& edit, EditStatus status, Error error);

}
