#pragma once

#include "lycheespool/controller/lease_row.h"
#include "lycheespool/net/asio.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <string_view>

namespace lycheespool {

/*! @brief State of a holder of the leader lease, as determined by a direct inquiry. */
enum class HolderState : std::uint8_t {
    /*! @brief It leads; a renewal may be in flight. */
    leads,
    /*! @brief It stopped acting in that term because the store does not serve it. */
    yielded,
    /*! @brief Its process has ended. */
    gone,
    /*! @brief It does not answer: frozen, powered off or partitioned. */
    silent,
};

/**
 * @brief Returns the name of a state for log lines.
 * @param state The state.
 * @return The name.
 */
[[nodiscard]] constexpr std::string_view holderStateName(HolderState state)
{
    constexpr std::array<std::string_view, 4> names { "leads", "yielded", "gone", "silent" };
    return names[static_cast<std::size_t>(state)];
}

/*! @brief Asks the holder of a lease, at the address in the lease row, whether it still leads. */
template <typename Probe>
concept HolderProbe = requires(Probe& probe, LeaseRow row)
{
    {
        probe.ask(row)
        } -> std::same_as<Awaitable<HolderState>>;
};

}
