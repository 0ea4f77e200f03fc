#include "ctl/session.h"

#include <fstream>

namespace mimosadale::ctl {

namespace {

constexpr Duration PlatformTimeout = std::chrono::seconds(3);
constexpr Duration RouterTimeout = std::chrono::seconds(3);

std::string readFirstLine(const std::string &File) {
  std::ifstream Stream(File);
  std::string Line;
  if (!std::getline(Stream, Line))
    throw UsageError("--token-file: the file \"" + File + "\" cannot be read");
  return Line;
}

} // namespace

Session::Session(const CommandLine &Line)
    : m_Line(Line), m_Client(m_Io.get_executor()) {}

void Session::createPlatformClients() {
  if (m_Config)
    return;
  if (m_Line.m_Platform.empty())
    throw UsageError("--platform is needed for " + m_Line.m_Command);
  const net::Address Address = net::parseAddress(m_Line.m_Platform);
  m_Table =
      std::make_unique<store::TableClient>(m_Client, Address, PlatformTimeout);
  m_Objects =
      std::make_unique<store::ObjectClient>(m_Client, Address, PlatformTimeout);
  m_Config = std::make_unique<store::ConfigStore>(*m_Table, *m_Objects);
}

store::TableClient &Session::table() {
  createPlatformClients();
  return *m_Table;
}

store::ConfigStore &Session::config() {
  createPlatformClients();
  return *m_Config;
}

std::string Session::callRouter(const std::string &Address,
                                const std::string &Body) {
  net::HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = "/rpc";
  Request.m_Headers = {
      {"Content-Type", "application/json"},
      {"Authorization", "Bearer " + readFirstLine(m_Line.m_TokenFile)}};
  Request.m_Body = Body;
  net::ExchangeOptions Options;
  Options.m_Timeout = RouterTimeout;
  const net::HttpResponse Response =
      wait(m_Client.exchange(net::parseAddress(Address), Request, Options));
  if (Response.m_Status != 200)
    throw Error("router " + Address + " answered with status " +
                std::to_string(Response.m_Status) + ": " + Response.m_Body);
  return Response.m_Body;
}

} // namespace mimosadale::ctl
