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
    /*! @brief Entry that wrote the row last. */
    EntryId entry;
    /*! @brief Identifies the write, so that its author recognises it when the answer of the table was lost. */
    std::string token;
    /*! @brief Agent that was chosen, once dispatched. */
    AgentId agent;
    /*! @brief Incarnation of that agent. */
    Incarnation incarnation;
    /*! @brief Answer of the executor, once done. */
    StoredAnswer answer;
};

/**
 * @brief Names the row of a request; a slash in the workspace is escaped, so that no two requests share a row.
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
 * @throws Error of kind internal when the text has another form.
 */
[[nodiscard]] ClaimRow decodeClaim(std::string_view text);

}
