// Sleeping in a coroutine.
#ifndef MIMOSADALE_FORWARD_SLEEP_H
#define MIMOSADALE_FORWARD_SLEEP_H

#include "base/units.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace mimosadale::forward {

/// Resumes after \p Delay. \pre \p Io outlives the coroutine.
boost::asio::awaitable<void> sleepFor(boost::asio::io_context &Io,
                                      Duration Delay);

} // namespace mimosadale::forward

#endif
