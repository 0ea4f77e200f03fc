// Client of the platform's transactional table.
#ifndef MIMOSADALE_STORE_TABLE_H
#define MIMOSADALE_STORE_TABLE_H

#include "base/units.h"
#include "net/client.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::store {

/// A row and its version.
struct TableRow {
  std::string m_Key;
  std::uint64_t m_Version = 0; // 0: the row does not exist
  std::string m_Value;
};

/// A write that is applied only if the row still has the expected version.
struct TableWrite {
  std::string m_Key;
  std::uint64_t m_ExpectedVersion = 0; // 0: the row must not exist
  std::string m_Value;
};

/// The outcome of a transaction.
struct TableResult {
  enum class Kind {
    Committed,
    Conflict,  // nothing was written; m_Conflicts holds the changed rows
    Unknown,   // the response was lost; the rows may have been written
    NotApplied // nothing was written: not sent, or rate-limited by the platform
  };
  Kind m_Kind = Kind::NotApplied;
  std::uint64_t m_Version = 0;
  std::vector<TableRow> m_Conflicts;
};

/// Implements docs/protocols/platform.md.
///
/// \par Thread safety
/// Safe from any thread.
class TableClient {
public:
  /// \pre \p Client outlives this object.
  TableClient(net::HttpClient &Client, net::Address Platform, Duration Timeout);

  /// Writes all rows or none. Failures of the platform are reported in the
  /// result, not thrown.
  boost::asio::awaitable<TableResult> transact(std::vector<TableWrite> Writes);

  /// Reads one row; none if it does not exist. \throws StoreError.
  boost::asio::awaitable<std::optional<TableRow>> read(std::string Key);

  /// Reads the rows whose keys start with \p Prefix. \throws StoreError.
  boost::asio::awaitable<std::vector<TableRow>> scan(std::string Prefix);

private:
  boost::asio::awaitable<std::vector<TableRow>> readRows(std::string Query);

  net::HttpClient &m_Client;
  net::Address m_Platform;
  Duration m_Timeout;
};

} // namespace mimosadale::store

#endif
