// Starts routers and stand-ins as processes and sends requests to them.
#ifndef MIMOSADALE_TESTS_HARNESS_H
#define MIMOSADALE_TESTS_HARNESS_H

#include "net/http.h"
#include "schema/generated/declaration.pb.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace mimosadale::harness {

using Headers = std::vector<net::HttpHeader>;

/// A process started by this test. The destructor kills it.
class Process {
public:
  Process(std::string Name, const std::vector<std::string> &Command,
          const std::string &LogFile);
  ~Process();
  Process(Process &&) = delete;

  void signal(int Number);
  /// Sends SIGKILL, as the loss of a host would, and waits for the end.
  void kill();
  /// Waits for the process to end. \returns its exit status.
  int wait();
  bool running();
  const std::string &name() const { return m_Name; }
  pid_t id() const;

private:
  struct Child;
  std::string m_Name;
  std::unique_ptr<Child> m_Child;
};

/// The response to one POST, read as server-sent events. Calls block.
class EventStream {
public:
  struct Event {
    std::string m_Id;
    std::string m_Type;
    std::string m_Data;
  };

  EventStream(const std::string &Address, const std::string &Target,
              const Headers &ExtraHeaders, const std::string &Body);
  ~EventStream();

  /// The HTTP status; 0 if the exchange failed.
  unsigned status() const;
  std::string header(const std::string &Name) const;
  /// The next event; nothing at the end of the stream or after a failure.
  std::optional<Event> next();
  /// Whether the response was read up to its last chunk.
  bool isComplete() const;

private:
  struct Connection;
  std::unique_ptr<Connection> m_Connection;
};

struct StreamResult {
  unsigned m_Status = 0;
  std::string m_Text;
  std::string m_LastEventId;
  std::string m_Error;
  std::string m_RequestId;
  unsigned m_TokenCount = 0;
  bool m_Complete = false; // [DONE] received and last chunk read
};

/// Sends one request and blocks for its response. \returns status 0 if the
/// exchange failed.
net::HttpResponse
sendRequest(const std::string &Method, const std::string &Address,
            const std::string &Target, const Headers &ExtraHeaders = {},
            const std::string &Body = "",
            std::chrono::milliseconds Timeout = std::chrono::seconds(20));

/// Reads a stream of completion chunks to its end.
StreamResult readStream(EventStream &Stream);

/// The loopback IP of this test process. It is derived from the process id, so
/// that tests running in parallel use different addresses.
std::string loopbackIp();

/// An address of `loopbackIp()` with the next unused port.
/// \pre Called from one thread.
std::string freeAddress();

/// Polls a condition. \returns whether it held before the timeout.
bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Timeout = std::chrono::seconds(20));

/// Platform, routers, engines and services as processes on loopback addresses.
class Fleet {
public:
  Fleet();
  ~Fleet();

  /// Starts the stand-in of the platform.
  void startPlatform();
  /// Adds an engine with layers [FirstLayer, EndLayer) to the declaration and
  /// starts it. A rate of 0 does not limit it.
  Process &startEngine(const std::string &Name, unsigned FirstLayer,
                       unsigned EndLayer, double TokensPerSecond = 0,
                       const std::string &DataCentre = "fukuoka");
  /// Adds an endpoint of a plain service to the declaration and starts it.
  Process &startService(const std::string &Name, const std::string &Service,
                        const std::string &DataCentre = "fukuoka");
  /// Kills a process if it runs, and starts it again with the same command.
  Process &restart(const std::string &Name);
  /// Starts a router. \p ExtraSettings is appended to its settings file.
  Process &startRouter(const std::string &Name,
                       const std::string &DataCentre = "fukuoka",
                       const std::string &ExtraSettings = "");
  /// Writes the declaration to the platform as the next generation.
  void applyDeclaration();
  /// Waits until every running router is ready.
  void waitReady();

  schema::Declaration m_Declaration;
  // Settings peers.period_ms and platform.poll_ms of routers started later.
  unsigned m_GossipIntervalMs = 350;
  unsigned m_PlatformPollMs = 100;

  std::string platformAddress() const { return m_PlatformAddress; }
  std::string callerAddress(const std::string &Router) const;
  std::string operatorAddress(const std::string &Router) const;
  std::string endpointAddress(const std::string &EndpointName) const;
  std::string settingsFile(const std::string &Router) const;
  Process &process(const std::string &Name);
  std::string directory() const { return m_Directory; }
  std::string tokenFile() const { return m_Directory + "/operator-token"; }

  /// Sets faults, given as a JSON object, of the stand-in at an address.
  void injectFault(const std::string &Address, const std::string &Json);
  /// Sum of a router's metric over the lines that contain \p Label.
  double metricSum(const std::string &Router, const std::string &Name,
                   const std::string &Label = "");
  struct CtlResult {
    int m_Status;
    std::string m_Output;
  };
  /// Runs mimosadalectl against the platform and all routers.
  CtlResult runCtl(const std::vector<std::string> &Arguments);
  /// Violations of the protocol that the running engines recorded.
  std::vector<std::string> violations();
  /// Executions recorded by all services, of one idempotency key or in total.
  std::uint64_t executions(const std::string &Key = "");

  /// The authorization header of a declared workspace.
  Headers authHeaders(const std::string &Workspace = "counter") const;
  /// Body of a chat completion request.
  static std::string completionBody(const std::string &Prompt, unsigned Tokens,
                                    unsigned Seed, bool Stream);

private:
  std::string freeAddress();
  std::string binaryPath(const std::string &Name) const;
  Process &launch(const std::string &Name,
                  const std::vector<std::string> &Command);
  void killAll();

  struct State;
  std::unique_ptr<State> m_State;
  std::string m_Directory;
  std::string m_PlatformAddress;
};

} // namespace mimosadale::harness

#endif
