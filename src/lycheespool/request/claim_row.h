#pragma once

#include "lycheespool/core/ids.h"
#include "lycheespool/request/stored_answer.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief Progress of a non-idempotent request. */
enum class ClaimState : std::uint8_t { claimed, dispatched, done };

/*! @brief Content of a row `claim/<workspace>/<key>`. */
struct ClaimRow {
    ClaimState state { ClaimState::claimed };
    /*! @brief Digest of the request's body. */
    std::string digest;
    /*! @brief Entry that last wrote the row. */
    EntryId entry;
    /*! @brief Identifies the write, so that the writer can recognise it if the response of the table was lost. */
    std::string token;
    /*! @brief Agent that was chosen, once dispatched. */
    AgentId agent;
    /*! @brief Incarnation of that agent. */
    Incarnation incarnation;
    /*! @brief Answer of the executor, once done. */
    StoredAnswer answer;
};

/**
 * @brief Returns the key of a request's row; a slash in the workspace is escaped, so that no two requests share a row.
 * @param workspace Workspace of the request.
 * @param key Key of the request.
 * @return Key of the row, `claim/<workspace>/<key>`.
 */
[[nodiscard]] std::string claimRowKey(const WorkspaceId& workspace, const RequestKey& key);

/**
 * @brief Encodes a row as JSON text; bytes of the answer's body above 127 are written as Latin-1 characters in UTF-8.
 * @param row The row.
 * @return The text.
 */
[[nodiscard]] std::string encodeClaim(const ClaimRow& row);

/**
 * @brief Decodes the text of a row.
 * @param text JSON text.
 * @return The row.
 * @throws Error of kind internal if the text is not a valid row.
 */
[[nodiscard]] ClaimRow decodeClaim(std::string_view text);

}
