// Structured logging through log4cplus, one line per event.
#ifndef MIMOSADALE_ROUTER_LOG_H
#define MIMOSADALE_ROUTER_LOG_H

#include "base/units.h"
#include "schema/generated/settings.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace mimosadale::router {

/// One named value of an event. Prompts, answers and access tokens are never
/// logged.
struct LogField {
  std::string_view m_Name;
  std::string m_Value;
};

/// Formats a duration as whole milliseconds for a log field. Safe from any
/// thread.
std::string formatMillis(Duration Time);

/// Formats a fraction, where 1 is 100 %, as a whole percentage for a log field.
/// Safe from any thread.
std::string formatPercent(double Fraction);

/// Sets the level and the output format, JSON or text. May be called again at
/// any time to change the level. \pre log4cplus is initialised. Safe from any
/// thread.
void configureLog(const schema::LogSettings &Settings, const std::string &Node);

/// Writes one event. A line that exceeds the rate limit, or that would block on
/// standard output, is dropped; the next line written is preceded by a
/// `log_lines_dropped` event with the number of dropped lines. Safe from any
/// thread.
void logEvent(schema::LogLevel Level, std::string_view Event,
              const std::vector<LogField> &Fields = {});

} // namespace mimosadale::router

#endif
