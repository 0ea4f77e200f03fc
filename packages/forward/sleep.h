// A pause in a coroutine.
#ifndef MIMOSADALE_FORWARD_SLEEP_H
#define MIMOSADALE_FORWARD_SLEEP_H

#include "base/units.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace mimosadale::forward {

/// Resumes after \p Time. \pre \p Io outlives it.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context &Io,
                                      Duration Time);

} // namespace mimosadale::forward

#endif
