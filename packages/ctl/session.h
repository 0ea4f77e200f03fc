// Blocking access to the platform and to routers for one command.
#ifndef MIMOSADALE_CTL_SESSION_H
#define MIMOSADALE_CTL_SESSION_H

#include "ctl/commands.h"
#include "net/client.h"
#include "store/config_store.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <future>
#include <memory>
#include <string>

namespace mimosadale::ctl {

/// The clients that one command uses. Platform clients are created on first
/// use.
///
/// \par Thread safety
/// None; a command runs on one thread.
class Session {
public:
  /// \pre \p Line outlives this object.
  explicit Session(const CommandLine &Line);

  /// Blocks until the coroutine completes. \returns its result; rethrows its
  /// exception.
  template <typename Result> Result wait(boost::asio::awaitable<Result> Task) {
    auto Future =
        boost::asio::co_spawn(m_Io, std::move(Task), boost::asio::use_future);
    m_Io.restart();
    m_Io.run();
    return Future.get();
  }

  /// \throws UsageError when the command line names no platform.
  store::TableClient &table();
  store::ConfigStore &config();

  /// Sends a JSON-RPC request to a router's operators' address with the token
  /// of the token file. \returns the response body. \throws Error, also when
  /// the response status is not 200, and UsageError when the token file cannot
  /// be read.
  std::string callRouter(const std::string &Address, const std::string &Body);

private:
  void createPlatformClients();

  const CommandLine &m_Line;
  boost::asio::io_context m_Io;
  net::HttpClient m_Client;
  std::unique_ptr<store::TableClient> m_Table;
  std::unique_ptr<store::ObjectClient> m_Objects;
  std::unique_ptr<store::ConfigStore> m_Config;
};

} // namespace mimosadale::ctl

#endif
