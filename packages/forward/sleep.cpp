#include "forward/sleep.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;

asio::awaitable<void> sleepFor(asio::io_context &Io, Duration Delay) {
  asio::steady_timer Timer(Io, Delay);
  co_await Timer.async_wait(asio::use_awaitable);
}

} // namespace mimosadale::forward
