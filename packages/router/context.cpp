#include "router/context.h"

#include <charconv>
#include <random>

namespace mimosadale::router {

namespace {

Duration platformTimeout(const schema::NodeSettings &Settings) {
  return std::chrono::milliseconds(Settings.platform().timeout_ms());
}

net::Address platformAddress(const schema::NodeSettings &Settings) {
  return net::parseAddress(Settings.platform().address());
}

} // namespace

Context::Context(const boost::asio::any_io_executor &Executor,
                 schema::NodeSettings Settings, Incarnation OwnIncarnation)
    : m_Executor(Executor), m_Settings(std::move(Settings)),
      m_Incarnation(OwnIncarnation),
      m_Endpoints(DataCentreId(m_Settings.data_centre())),
      m_Requests({m_Settings.limits().concurrent_requests(),
                  m_Settings.limits().queued_requests()},
                 m_Settings.limits().retry_fraction(),
                 m_Settings.limits().boundary_log_bytes()),
      m_Client(Executor), m_Table(m_Client, platformAddress(m_Settings),
                                  platformTimeout(m_Settings)),
      m_Objects(m_Client, platformAddress(m_Settings),
                platformTimeout(m_Settings)),
      m_ConfigStore(m_Table, m_Objects) {}

decide::Random &Context::random() {
  thread_local decide::Random Rng(std::random_device{}());
  return Rng;
}

std::string Context::newRequestId() {
  return m_Settings.name() + "-" + std::to_string(raw(m_Incarnation)) + "-" +
         std::to_string(++m_RequestCount);
}

Duration requestTimeout(const Context &Ctx,
                        const std::vector<net::HttpHeader> &Headers) {
  const std::uint32_t MaxTimeoutMs =
      Ctx.m_Settings.limits().request_timeout_ms();
  const std::string Text = net::findHeader(Headers, "Mimosadale-Timeout-Ms");
  if (Text.empty())
    return std::chrono::milliseconds(MaxTimeoutMs);
  std::uint32_t TimeoutMs = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, TimeoutMs);
  if (Result.ec != std::errc() || Result.ptr != End || TimeoutMs < 1 ||
      TimeoutMs > MaxTimeoutMs)
    throw Error("Mimosadale-Timeout-Ms: allowed: 1 to " +
                std::to_string(MaxTimeoutMs));
  return std::chrono::milliseconds(TimeoutMs);
}

} // namespace mimosadale::router
