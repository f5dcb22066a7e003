#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace lycheespool {

/**
 * @brief A value of one meaning that does not convert to a value of another.
 * @tparam Tag Names the meaning; never defined.
 * @tparam Value Type of the underlying value.
 */
template <typename Tag, typename Value>
class Strong {
public:
    /*! @brief Type of the underlying value. */
    using ValueType = Value;

    constexpr Strong() = default;

    /**
     * @brief Wraps a value.
     * @param value The underlying value.
     */
    constexpr explicit Strong(Value value)
        : m_value { std::move(value) }
    {
    }

    /**
     * @brief Returns the underlying value.
     * @return The wrapped value.
     */
    [[nodiscard]] constexpr const Value& value() const { return m_value; }

    [[nodiscard]] friend constexpr auto operator<=>(const Strong&, const Strong&) = default;

private:
    Value m_value {};
};

}

/*! @brief Hashes a strong type by its underlying value. */
template <typename Tag, typename Value>
struct std::hash<lycheespool::Strong<Tag, Value>> {
    [[nodiscard]] std::size_t operator()(const lycheespool::Strong<Tag, Value>& strong) const
    {
        return std::hash<Value> {}(strong.value());
    }
};
