// Restart of the background tasks of a forwarding router.
#include "forward/task_guard.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <stdexcept>

using namespace mimosadale;

TEST_CASE(
    "a background task that ends with an unexpected exception is restarted") {
  boost::asio::io_context Io;
  int Runs = 0;
  forward::keepRunning(Io, "test", [&]() -> boost::asio::awaitable<void> {
    if (++Runs < 3)
      throw std::out_of_range("a message of another kind");
    co_return;
  });
  Io.run();
  CHECK(Runs == 3);
}
