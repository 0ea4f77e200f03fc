// Restarts the router's long-running tasks when they fail.
#ifndef MIMOSADALE_FORWARD_TASK_GUARD_H
#define MIMOSADALE_FORWARD_TASK_GUARD_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace mimosadale::forward {

/// Runs the task created by \p MakeTask until it returns. An exception is
/// logged and the task is restarted after a delay: a task that ended unnoticed
/// would leave the router with an old configuration or without time limits.
/// \pre \p Io outlives the task. Safe from any thread.
void keepRunning(boost::asio::io_context &Io, std::string Name,
                 std::function<boost::asio::awaitable<void>()> MakeTask);

} // namespace mimosadale::forward

#endif
