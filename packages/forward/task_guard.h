// Keeps the router's standing tasks running.
#ifndef MIMOSADALE_FORWARD_TASK_GUARD_H
#define MIMOSADALE_FORWARD_TASK_GUARD_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace mimosadale::forward {

/// Runs the task that \p MakeTask makes until it returns. An exception out of
/// it is logged and the task is made anew after a pause: a task that ended
/// unseen would leave the router with an old configuration, or without time
/// limits. \pre \p Io outlives the task. Safe from any thread.
void keepRunning(boost::asio::io_context &Io, std::string Name,
                 std::function<boost::asio::awaitable<void>()> MakeTask);

} // namespace mimosadale::forward

#endif
