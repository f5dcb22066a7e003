#pragma once

#include "lycheespool/core/strong.h"

#include <chrono>
#include <msgpack.hpp>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    /*! @brief Reads a strong type from its underlying value. */
    template <typename Tag, typename Value>
    struct convert<lycheespool::Strong<Tag, Value>> {
        const msgpack::object& operator()(const msgpack::object& object, lycheespool::Strong<Tag, Value>& strong) const
        {
            strong = lycheespool::Strong<Tag, Value> { object.as<Value>() };
            // The signature is that of msgpack's own adaptors.
            return object; // NOLINT(bugprone-return-const-ref-from-parameter)
        }
    };

    /*! @brief Writes a strong type as its underlying value. */
    template <typename Tag, typename Value>
    struct pack<lycheespool::Strong<Tag, Value>> {
        template <typename Stream>
        msgpack::packer<Stream>& operator()(
            msgpack::packer<Stream>& packer, const lycheespool::Strong<Tag, Value>& strong) const
        {
            return packer.pack(strong.value());
        }
    };

    }
}
}
