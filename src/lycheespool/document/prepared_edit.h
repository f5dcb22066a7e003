#pragma once

#include "lycheespool/document/capacity_check.h"
#include "lycheespool/document/edit.h"
#include "lycheespool/document/edit_result.h"
#include "lycheespool/document/stored_document.h"
#include "lycheespool/store/transaction.h"

#include <optional>

namespace lycheespool {

/*! @brief An edit after its check against the document. */
struct PreparedEdit {
    /*! @brief Result once the transaction is committed; final when there is no transaction. */
    EditResult result;
    std::optional<Transaction> transaction;
};

/**
 * @brief Checks an edit whose base is the current revision of its section, and builds its transaction.
 * @param stored The document.
 * @param edit The edit.
 * @param process Process that accepts the edit.
 * @param capacity Compares guarantees with the capacity; may be empty.
 * @return The transaction, or the result that explains its absence.
 */
[[nodiscard]] PreparedEdit prepareEdit(
    const StoredDocument& stored, const Edit& edit, const EntryId& process, const CapacityCheck& capacity);

/**
 * @brief Creates the result of an edit that is not accepted.
 * @param edit The edit.
 * @param status Outcome of the edit.
 * @param error Reason and remedy.
 * @return The result.
 */
[[nodiscard]] EditResult rejected(const Edit& edit, EditStatus status, Error error);

}
