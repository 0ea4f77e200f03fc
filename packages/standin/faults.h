// Fault injection for the stand-ins.
#ifndef MIMOSADALE_STANDIN_FAULTS_H
#define MIMOSADALE_STANDIN_FAULTS_H

#include "net/server.h"

#include <map>
#include <mutex>
#include <string>

namespace mimosadale::standin {

/// Faults to inject, set by a JSON object of `name: number`. The number is a
/// flag (`isSet`), a count of times left (`consume`), a quantity (`value`) or a
/// time in milliseconds.
///
/// \par Thread safety
/// Safe from any thread.
class Faults {
public:
  /// Adds the faults of the JSON object \p Json to those set.
  /// \throws std::exception when \p Json is invalid.
  ///
  /// `silent` above 0 silences every connection up to the newest one seen so
  /// far; newer ones are answered. 0 ends it.
  void set(const std::string &Json);

  /// Whether the number set for \p Name is above 0.
  bool isSet(const std::string &Name) const;

  /// The number set for \p Name, or 0.
  double value(const std::string &Name) const;

  /// Takes one off the count of \p Name. \returns whether the fault applies.
  bool consume(const std::string &Name);

  static boost::asio::awaitable<void> sleepFor(double Milliseconds);

  /// Waits for the time set as `delay_ms`.
  boost::asio::awaitable<void> delay(net::HttpExchange &Exchange);

  /// Whether the connection of \p Exchange is silenced.
  bool isSilenced(const net::HttpExchange &Exchange);

private:
  mutable std::mutex m_Mutex;
  std::map<std::string, double> m_Values;
  std::uint64_t m_NewestConnection = 0;
  std::uint64_t m_LastSilencedConnection = 0;
};

} // namespace mimosadale::standin

#endif
