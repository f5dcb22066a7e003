#pragma once

// Boost.Asio 1.74 uses std::exchange in awaitable.hpp without including <utility>.
#include <utility>

#include <boost/asio.hpp>

namespace lycheespool {

namespace asio = boost::asio;

/*! @brief Coroutine type of the project. */
template <typename Result = void>
using Awaitable = asio::awaitable<Result, asio::any_io_executor>;

}
