// Faults that a stand-in is told to show.
#ifndef MIMOSADALE_STANDIN_FAULTS_H
#define MIMOSADALE_STANDIN_FAULTS_H

#include "net/server.h"

#include <map>
#include <mutex>
#include <string>

namespace mimosadale::standin {

/// Named numbers, set by a JSON object of `name: number`. A fault is either a
/// flag (`flag`), a number of times (`take`) or a time in milliseconds.
///
/// \par Thread safety
/// Safe from any thread.
class Faults {
public:
  /// Merges the JSON object \p Json. \throws std::exception when it is none.
  /// The name `silent` stops answers on every connection open by now.
  void set(const std::string &Json);

  /// Whether \p Name is set. \pre None.
  bool isSet(const std::string &Name) const;

  /// The number set for \p Name, or 0. \pre None.
  double value(const std::string &Name) const;

  /// Counts down a number of times; whether the fault is to be shown now.
  bool consume(const std::string &Name);

  /// Waits for \p Milliseconds. \pre None.
  static boost::asio::awaitable<void> sleepFor(double Milliseconds);

  /// Waits as `delay_ms` says. \pre None.
  boost::asio::awaitable<void> delay(net::HttpExchange &Exchange);

  /// Whether this connection went silent. \pre None.
  bool isSilenced(const net::HttpExchange &Exchange);

private:
  mutable std::mutex m_Mutex;
  std::map<std::string, double> m_Values;
  std::uint64_t m_NewestConnection = 0;
  std::uint64_t m_LastSilencedConnection = 0;
};

} // namespace mimosadale::standin

#endif
