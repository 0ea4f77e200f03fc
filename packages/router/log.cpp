#include "router/log.h"

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

namespace mimosadale::router {

namespace {

std::atomic<bool> AsJson = false;

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

void setUpLog(const schema::LogSettings &Settings, const std::string &Node) {
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
  if (!logger().isEnabledFor(Native))
    return;
  logger().log(Native, AsJson ? printJson(Level, Event, Fields)
                              : printText(Event, Fields));
}

} // namespace mimosadale::router
