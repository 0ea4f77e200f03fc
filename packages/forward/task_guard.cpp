#include "forward/task_guard.h"

#include "forward/sleep.h"
#include "router/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mimosadale::forward {

namespace asio = boost::asio;

namespace {

// Delay before a failed task is restarted, so that a persistent fault does not
// flood the log.
constexpr Duration RestartDelay = std::chrono::milliseconds(200);

asio::awaitable<void>
runWithRestarts(asio::io_context &Io, std::string Name,
                std::function<asio::awaitable<void>()> MakeTask) {
  while (true) {
    std::string Reason;
    try {
      co_await MakeTask();
      co_return;
    } catch (const std::exception &Ex) {
      Reason = Ex.what();
    }
    router::logEvent(schema::ERROR, "task_failed",
                     {{"task", Name}, {"detail", Reason}});
    co_await sleepFor(Io, RestartDelay);
  }
}

} // namespace

void keepRunning(asio::io_context &Io, std::string Name,
                 std::function<asio::awaitable<void>()> MakeTask) {
  asio::co_spawn(Io, runWithRestarts(Io, std::move(Name), std::move(MakeTask)),
                 asio::detached);
}

} // namespace mimosadale::forward
