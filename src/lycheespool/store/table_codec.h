#pragma once

#include "lycheespool/store/row.h"
#include "lycheespool/store/transaction.h"

#include <string>
#include <string_view>

namespace lycheespool {

/*! @brief JSON form of the table service's messages, used by its client and its emulator. */
struct TableCodec {
    [[nodiscard]] static std::string encode(const Row& row);
    [[nodiscard]] static std::string encode(const Rows& rows);
    [[nodiscard]] static std::string encode(const Transaction& transaction);
    [[nodiscard]] static std::string encode(const CommitResult& result);

    /**
     * @brief Decodes the JSON text of a message.
     * @param text JSON text.
     * @return The message.
     * @throws Error of kind invalidArgument when the text has another form.
     */
    [[nodiscard]] static Row decodeRow(std::string_view text);
    /*! @copydoc decodeRow */
    [[nodiscard]] static Rows decodeRows(std::string_view text);
    /*! @copydoc decodeRow */
    [[nodiscard]] static Transaction decodeTransaction(std::string_view text);
    /*! @copydoc decodeRow */
    [[nodiscard]] static CommitResult decodeResult(std::string_view text);
};

}
