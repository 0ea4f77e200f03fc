#include "forward/task_guard.h"

#include "forward/pause.h"
#include "router/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Pause before a failed task runs again, so that a lasting cause fills no log.
constexpr Duration AgainAfter = std::chrono::milliseconds(200);

asio::awaitable<void> guard(asio::io_context &Io, std::string Name,
                            std::function<asio::awaitable<void>()> Make) {
  while (true) {
    std::string Why;
    try {
      co_await Make();
      co_return;
    } catch (const std::exception &Wrong) {
      Why = Wrong.what();
    }
    router::logEvent(schema::ERROR, "task_failed",
                     {{"task", Name}, {"detail", Why}});
    co_await pauseFor(Io, AgainAfter);
  }
}

} // namespace

void keepRunning(asio::io_context &Io, std::string Name,
                 std::function<asio::awaitable<void>()> Make) {
  asio::co_spawn(Io, guard(Io, std::move(Name), std::move(Make)),
                 asio::detached);
}

} // namespace mimosadale::forward
