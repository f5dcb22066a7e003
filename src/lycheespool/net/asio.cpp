#include "lycheespool/net/asio.h"

#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
