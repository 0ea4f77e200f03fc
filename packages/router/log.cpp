#include "router/log.h"

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <cmath>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <mutex>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace mimosadale::router {

namespace {

std::atomic<bool> JsonOutput = false;

// Limits of the log output. They are far above a router's usual volume and, at
// 300 bytes a line, use less than a thousandth of its network link.
constexpr double MaxLinesPerSecond = 400;
constexpr double MaxLinesInBurst = 1200;

// Token bucket for log lines. When the reader of standard output has stopped
// reading, lines are dropped so that logging never blocks.
class LineRateLimiter {
public:
  // Returns whether a line may be written now; counts it as dropped otherwise.
  bool admit() {
    const std::lock_guard Lock(m_Mutex);
    const auto Now = std::chrono::steady_clock::now();
    m_Tokens = std::min(
        MaxLinesInBurst,
        m_Tokens +
            MaxLinesPerSecond *
                std::chrono::duration<double>(Now - m_RefilledAt).count());
    m_RefilledAt = Now;
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    const bool Writable =
        poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
    if (m_Tokens < 1 || !Writable) {
      ++m_Dropped;
      return false;
    }
    m_Tokens -= 1;
    return true;
  }

  // Returns the number of lines dropped since the last call.
  std::uint64_t takeDropped() {
    const std::lock_guard Lock(m_Mutex);
    return std::exchange(m_Dropped, 0);
  }

private:
  std::mutex m_Mutex; // leaf: no other mutex is locked under it
  double m_Tokens = MaxLinesInBurst;
  std::chrono::steady_clock::time_point m_RefilledAt =
      std::chrono::steady_clock::now();
  std::uint64_t m_Dropped = 0;
};

LineRateLimiter &lineRateLimiter() {
  static LineRateLimiter Limiter;
  return Limiter;
}

log4cplus::Logger logger() { return log4cplus::Logger::getRoot(); }

log4cplus::LogLevel toLog4cplus(schema::LogLevel Level) {
  switch (Level) {
  case schema::DEBUG:
    return log4cplus::DEBUG_LOG_LEVEL;
  case schema::WARN:
    return log4cplus::WARN_LOG_LEVEL;
  case schema::ERROR:
    return log4cplus::ERROR_LOG_LEVEL;
  default:
    return log4cplus::INFO_LOG_LEVEL;
  }
}

std::string formatJson(schema::LogLevel Level, std::string_view Event,
                       const std::vector<LogField> &Fields) {
  using namespace std::chrono;
  const auto Now =
      duration_cast<milliseconds>(system_clock::now().time_since_epoch());
  boost::json::object Line{{"unix_ms", Now.count()},
                           {"level", schema::LogLevel_Name(Level)},
                           {"event", Event}};
  for (const LogField &Field : Fields)
    Line[Field.m_Name] = Field.m_Value;
  return boost::json::serialize(Line);
}

std::string formatText(std::string_view Event,
                       const std::vector<LogField> &Fields) {
  std::string Line(Event);
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.m_Name;
    Line += '=';
    Line += boost::json::serialize(boost::json::value(Field.m_Value));
  }
  return Line;
}

} // namespace

std::string formatMillis(Duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

std::string formatPercent(double Fraction) {
  return std::to_string(std::lround(Fraction * 100)) + "%";
}

void configureLog(const schema::LogSettings &Settings,
                  const std::string &Node) {
  JsonOutput = Settings.form() == schema::JSON;
  const std::string Pattern =
      JsonOutput ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p " + Node + " %m%n";
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  logger().removeAllAppenders();
  logger().addAppender(Appender);
  logger().setLogLevel(toLog4cplus(Settings.level()));
}

void logEvent(schema::LogLevel Level, std::string_view Event,
              const std::vector<LogField> &Fields) {
  const log4cplus::LogLevel LibraryLevel = toLog4cplus(Level);
  if (!logger().isEnabledFor(LibraryLevel) || !lineRateLimiter().admit())
    return;
  if (const std::uint64_t Dropped = lineRateLimiter().takeDropped();
      Dropped > 0) {
    const std::vector<LogField> Count{{"lines", std::to_string(Dropped)}};
    logger().log(log4cplus::WARN_LOG_LEVEL,
                 JsonOutput
                     ? formatJson(schema::WARN, "log_lines_dropped", Count)
                     : formatText("log_lines_dropped", Count));
  }
  logger().log(LibraryLevel, JsonOutput ? formatJson(Level, Event, Fields)
                                        : formatText(Event, Fields));
}

} // namespace mimosadale::router
