// An HTTP/1.1 client with a pool of persistent connections.
#ifndef MIMOSADALE_NET_CLIENT_H
#define MIMOSADALE_NET_CLIENT_H

#include "base/units.h"
#include "net/http.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

namespace mimosadale::net {

/// Options of one exchange.
struct ExchangeOptions {
  Duration m_Timeout = std::chrono::seconds(5);
  Duration m_ConnectTimeout = std::chrono::milliseconds(500);
  bool m_NewConnection = false;           // do not use a pooled connection
  std::size_t m_MaxBodyBytes = 16u << 20; // of the response
  // If set, receives a function that abandons the exchange, which then fails;
  // it has no effect once the exchange has ended. Safe from any thread.
  std::function<void(std::function<void()> Abandon)> m_SetAbandon;
};

/// Sends HTTP/1.1 requests over pooled connections.
///
/// \par Thread safety
/// Safe from any thread.
class HttpClient {
public:
  explicit HttpClient(boost::asio::any_io_executor Executor);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request to \p Server and reads the complete response.
  ///
  /// If the server has closed a pooled connection in the meantime, the write or
  /// read fails and the caller of this function decides whether to retry.
  /// Requests that must not be sent twice set `m_NewConnection`.
  /// \throws NetError, an OversizeError for a response beyond the limit. \pre
  /// The executor is running.
  boost::asio::awaitable<HttpResponse>
  exchange(Address Server, HttpRequest Request, ExchangeOptions Options = {});

  /// Closes the idle connections to \p Server, for use after one of them
  /// stopped responding.
  void closeIdleTo(const Address &Server);

private:
  class Pool;
  std::shared_ptr<Pool> m_Pool;
};

} // namespace mimosadale::net

#endif
