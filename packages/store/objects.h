// Client of the platform's object store and host list.
#ifndef MIMOSADALE_STORE_OBJECTS_H
#define MIMOSADALE_STORE_OBJECTS_H

#include "base/units.h"
#include "net/client.h"
#include "schema/generated/rows.pb.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace mimosadale::store {

/// Implements docs/protocols/platform.md. Objects are named by the SHA-256 of
/// their content, so they are immutable and readers can verify them.
///
/// \par Thread safety
/// Safe from any thread.
class ObjectClient {
public:
  /// \pre \p Client outlives this object.
  ObjectClient(net::HttpClient &Client, net::Address Platform,
               Duration Timeout);

  /// Stores \p Bytes. \returns the name of the object. \throws StoreError.
  boost::asio::awaitable<std::string> put(std::string Bytes);

  /// Reads the object \p Name. \throws StoreError when it is missing or its
  /// content does not match the name.
  boost::asio::awaitable<std::string> get(std::string Name);

  /// The platform's list of hosts, which is updated with a delay.
  /// \throws StoreError.
  boost::asio::awaitable<std::vector<schema::HostEntry>> hosts();

private:
  boost::asio::awaitable<net::HttpResponse>
  sendRequest(net::HttpRequest Request);

  net::HttpClient &m_Client;
  net::Address m_Platform;
  Duration m_Timeout;
};

} // namespace mimosadale::store

#endif
