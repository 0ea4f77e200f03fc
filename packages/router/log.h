// Structured logs, by log4cplus: one line an event.
#ifndef MIMOSADALE_ROUTER_LOG_H
#define MIMOSADALE_ROUTER_LOG_H

#include "base/units.h"
#include "schema/generated/settings.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace mimosadale::router {

/// One named value of an event. Prompts, answers and tokens of access are never
/// logged.
struct LogField {
  std::string_view m_Name;
  std::string m_Value;
};

/// Whole milliseconds, as the value of a field. Safe from any thread.
std::string formatMillis(Duration Time);

/// A part of one as whole percents, as the value of a field. Safe from any
/// thread.
std::string formatPercent(double Fraction);

/// Sets level and form; the level may be set again at any time. \pre The log
/// library is initialised. Safe from any thread.
void configureLog(const schema::LogSettings &Settings, const std::string &Node);

/// Writes one event. Lines beyond a bounded rate, and lines that the output
/// would not take at once, are dropped and counted by a later line. Safe from
/// any thread.
void logEvent(schema::LogLevel Level, std::string_view Event,
              const std::vector<LogField> &Fields = {});

} // namespace mimosadale::router

#endif
