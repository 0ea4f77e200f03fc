// Test-only processes that stand in for the systems around mimosadale: engines,
// plain services and the platform.
#include "standin/engine.h"
#include "standin/model.h"
#include "standin/platform.h"
#include "standin/service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>

namespace asio = boost::asio;
namespace options = boost::program_options;
using namespace mimosadale;

namespace {

using Handler =
    std::function<asio::awaitable<void>(net::HttpExchange &Exchange)>;

Handler makeHandler(const options::variables_map &Values) {
  const std::string Kind = Values["kind"].as<std::string>();
  const std::string Name = Values["name"].as<std::string>();
  if (Kind == "engine") {
    standin::EngineSettings Settings;
    Settings.m_Name = Name;
    Settings.m_FirstLayer = Values["first-layer"].as<unsigned>();
    Settings.m_EndLayer = Values["end-layer"].as<unsigned>();
    Settings.m_TokensPerSecond = Values["rate"].as<double>();
    return
        [Instance = std::make_shared<standin::Engine>(Settings)](
            net::HttpExchange &Exchange) { return Instance->handle(Exchange); };
  }
  if (Kind == "service")
    return
        [Instance = std::make_shared<standin::Service>(Name)](
            net::HttpExchange &Exchange) { return Instance->handle(Exchange); };
  if (Kind == "platform")
    return
        [Instance = std::make_shared<standin::Platform>()](
            net::HttpExchange &Exchange) { return Instance->handle(Exchange); };
  throw std::runtime_error("kind: allowed: engine, service, platform");
}

// Prints the answer that a complete path of engines must give.
void printReference(const options::variables_map &Values) {
  std::cout << standin::referenceText(Values["prompt"].as<std::string>(),
                                      Values["end-layer"].as<unsigned>(),
                                      Values["tokens"].as<unsigned>(),
                                      Values["seed"].as<std::uint64_t>())
            << "\n";
}

void run(const options::variables_map &Values) {
  asio::io_context Context(1);
  net::ServerLimits Limits;
  Limits.m_MaxBodyBytes = 256u << 20;
  Limits.m_MaxConnections = 20000;
  Limits.m_IdleTimeout = std::chrono::hours(1);
  net::ServerHooks Hooks;
  Hooks.m_Handle = makeHandler(Values);
  Hooks.m_MakeRefusal = [](net::ServerRefusal) {
    return net::HttpResponse{400, {}, ""};
  };
  net::HttpServer Server(Context.get_executor(),
                         net::parseAddress(Values["listen"].as<std::string>()),
                         Limits, Hooks);
  Server.start();
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](auto, int) { Context.stop(); });
  Context.run();
}

} // namespace

int main(int Argc, char **Argv) {
  options::options_description Options("options");
  auto Add = Options.add_options();
  Add("kind", options::value<std::string>()->required(),
      "engine, service, platform, or reference: print an answer and exit");
  Add("listen", options::value<std::string>(), "ip:port");
  Add("prompt", options::value<std::string>()->default_value(""), "");
  Add("tokens", options::value<unsigned>()->default_value(1), "");
  Add("seed", options::value<std::uint64_t>()->default_value(0), "");
  Add("name", options::value<std::string>()->default_value("standin"), "");
  Add("first-layer", options::value<unsigned>()->default_value(0), "");
  Add("end-layer", options::value<unsigned>()->default_value(0), "");
  Add("rate", options::value<double>()->default_value(0),
      "tokens a second; 0 answers at once");
  try {
    options::variables_map Values;
    options::store(options::parse_command_line(Argc, Argv, Options), Values);
    options::notify(Values);
    if (Values["kind"].as<std::string>() == "reference")
      printReference(Values);
    else
      run(Values);
    return 0;
  } catch (const std::exception &E) {
    std::cerr << E.what() << "\n" << Options;
    return 2;
  }
}
