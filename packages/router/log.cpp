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

std::atomic<bool> AsJson = false;

// Most lines a second, and most at once: far above a router's usual volume, and
// at 300 bytes a line below a thousandth of its link.
constexpr double LinesPerSecond = 400;
constexpr double MostLinesAtOnce = 1200;

// Bounds the lines written. A reader of the output that has stopped costs
// lines, never time.
class LineLimit {
public:
  // Whether a line may be written now; otherwise it is counted.
  bool admit() {
    const std::lock_guard Lock(m_Mutex);
    const auto Now = std::chrono::steady_clock::now();
    m_Left = std::min(
        MostLinesAtOnce,
        m_Left +
            LinesPerSecond * std::chrono::duration<double>(Now - m_At).count());
    m_At = Now;
    pollfd Output{STDOUT_FILENO, POLLOUT, 0};
    const bool Writable =
        poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
    if (m_Left < 1 || !Writable) {
      ++m_Dropped;
      return false;
    }
    m_Left -= 1;
    return true;
  }

  // Lines dropped since the last call.
  std::uint64_t takeDropped() {
    const std::lock_guard Lock(m_Mutex);
    return std::exchange(m_Dropped, 0);
  }

private:
  std::mutex m_Mutex; // nothing else is locked while it is held
  double m_Left = MostLinesAtOnce;
  std::chrono::steady_clock::time_point m_At = std::chrono::steady_clock::now();
  std::uint64_t m_Dropped = 0;
};

LineLimit &lineLimit() {
  static LineLimit Limit;
  return Limit;
}

log4cplus::Logger logger() { return log4cplus::Logger::getRoot(); }

log4cplus::LogLevel toLibrary(schema::LogLevel Level) {
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

std::string printJson(schema::LogLevel Level, std::string_view Event,
                      const std::vector<LogField> &Fields) {
  using namespace std::chrono;
  const auto Now =
      duration_cast<milliseconds>(system_clock::now().time_since_epoch());
  boost::json::object Line{{"unix_ms", Now.count()},
                           {"level", schema::LogLevel_Name(Level)},
                           {"event", Event}};
  for (const LogField &Each : Fields)
    Line[Each.m_Name] = Each.m_Value;
  return boost::json::serialize(Line);
}

std::string printText(std::string_view Event,
                      const std::vector<LogField> &Fields) {
  std::string Line(Event);
  for (const LogField &Each : Fields) {
    Line += ' ';
    Line += Each.m_Name;
    Line += '=';
    Line += boost::json::serialize(boost::json::value(Each.m_Value));
  }
  return Line;
}

} // namespace

std::string formatMillis(Duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

std::string formatPercent(double Part) {
  return std::to_string(std::lround(Part * 100)) + "%";
}

void configureLog(const schema::LogSettings &Settings,
                  const std::string &Node) {
  AsJson = Settings.form() == schema::JSON;
  const std::string Pattern =
      AsJson ? "%m%n" : "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p " + Node + " %m%n";
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  Appender->setLayout(std::make_unique<log4cplus::PatternLayout>(Pattern));
  logger().removeAllAppenders();
  logger().addAppender(Appender);
  logger().setLogLevel(toLibrary(Settings.level()));
}

void logEvent(schema::LogLevel Level, std::string_view Event,
              const std::vector<LogField> &Fields) {
  const log4cplus::LogLevel Native = toLibrary(Level);
  if (!logger().isEnabledFor(Native) || !lineLimit().admit())
    return;
  if (const std::uint64_t Dropped = lineLimit().takeDropped(); Dropped > 0) {
    const std::vector<LogField> Count{{"lines", std::to_string(Dropped)}};
    logger().log(log4cplus::WARN_LOG_LEVEL,
                 AsJson ? printJson(schema::WARN, "log_lines_dropped", Count)
                        : printText("log_lines_dropped", Count));
  }
  logger().log(Native, AsJson ? printJson(Level, Event, Fields)
                              : printText(Event, Fields));
}

} // namespace mimosadale::router
