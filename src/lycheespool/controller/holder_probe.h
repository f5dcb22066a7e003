#pragma once

#include "lycheespool/controller/lease_row.h"
#include "lycheespool/net/asio.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <string_view>

namespace lycheespool {

/*! @brief What a holder of the leader lease says when it is asked directly. */
enum class HolderState : std::uint8_t {
    /*! @brief It leads, and a renewal may be under way. */
    leads,
    /*! @brief It has stopped acting in that term, as the store does not serve it. */
    yielded,
    /*! @brief Its process has ended. */
    gone,
    /*! @brief It does not answer: frozen, without power or cut off. */
    silent,
};

/**
 * @brief Names a state in log lines.
 * @param state The state.
 * @return The name.
 */
[[nodiscard]] constexpr std::string_view holderStateName(HolderState state)
{
    constexpr std::array<std::string_view, 4> names { "leads", "yielded", "gone", "silent" };
    return names[static_cast<std::size_t>(state)];
}

/*! @brief Asks the holder of a lease, by the address in its row, whether it still leads. */
template <typename Probe>
concept HolderProbe = requires(Probe& probe, LeaseRow row)
{
    {
        probe.ask(row)
        } -> std::same_as<Awaitable<HolderState>>;
};

}
