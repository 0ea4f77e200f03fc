// An HTTP client that keeps connections open between exchanges.
#ifndef MIMOSADALE_NET_CLIENT_H
#define MIMOSADALE_NET_CLIENT_H

#include "base/units.h"
#include "net/http.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <memory>

namespace mimosadale::net {

/// How one exchange is to be made.
struct ExchangeOptions {
  Duration m_Timeout = std::chrono::seconds(5);
  Duration m_ConnectTimeout = std::chrono::milliseconds(500);
  bool m_NewConnection = false;           // never reuse an open connection
  std::size_t m_MaxBodyBytes = 64u << 20; // bytes
};

/// Makes HTTP/1.1 exchanges over pooled connections.
///
/// \par Thread safety
/// Safe from any thread.
class HttpClient {
public:
  explicit HttpClient(boost::asio::any_io_executor Executor);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request to \p Server and reads the whole response.
  ///
  /// A pooled connection that the server closed meanwhile shows as a failed
  /// write or read; the caller decides whether to repeat. Calls that may not be
  /// repeated set `m_NewConnection`.
  /// \throws NetError. \pre The executor runs. Safe from any thread.
  boost::asio::awaitable<HttpResponse>
  exchange(Address Server, HttpRequest Request, ExchangeOptions Options = {});

  /// Closes idle connections to \p Server, after one of them went silent.
  /// \pre None. Safe from any thread.
  void closeIdleTo(const Address &Server);

private:
  class Pool;
  std::shared_ptr<Pool> m_Pool;
};

} // namespace mimosadale::net

#endif
