// Starts routers and stand-ins as processes and talks to them.
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

/// A process that this test started; ended by id when the object goes.
class Process {
public:
  Process(std::string Name, const std::vector<std::string> &Command,
          const std::string &LogFile);
  ~Process();
  Process(Process &&) = delete;

  void signal(int Number);
  /// Ends it at once, as a lost host would.
  void kill();
  /// The exit status; waits for it.
  int wait();
  bool running();
  const std::string &name() const { return m_Name; }
  pid_t id() const;

private:
  struct Child;
  std::string m_Name;
  std::unique_ptr<Child> m_Child;
};

/// A streamed answer, read event by event.
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

  unsigned status() const;
  std::string header(const std::string &Name) const;
  /// The next event; none at the end of the stream, whole or not.
  std::optional<Event> next();
  /// Whether the stream ended with its last chunk.
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
  bool m_Complete = false; // [DONE] came and the stream ended whole
};

/// One request, blocking. A failed exchange gives status 0.
net::HttpResponse
sendRequest(const std::string &Method, const std::string &Address,
            const std::string &Target, const Headers &ExtraHeaders = {},
            const std::string &Body = "",
            std::chrono::milliseconds Timeout = std::chrono::seconds(20));

/// Reads a stream to its end.
StreamResult readStream(EventStream &Stream);

/// The loopback IP of this test process, made from its process id, so that
/// tests that run side by side never meet.
std::string loopbackIp();

/// An address of `ownIp()` that nothing uses. Ports are counted. \pre Called
/// from one thread.
std::string freeAddress();

/// Waits until a condition holds. \returns whether it did within the bound.
bool waitUntil(const std::function<bool()> &Condition,
               std::chrono::milliseconds Timeout = std::chrono::seconds(20));

/// A whole installation on loopback addresses.
class Fleet {
public:
  Fleet();
  ~Fleet();

  /// Starts the platform's stand-in.
  void startPlatform();
  /// Adds an engine to the declaration and starts it.
  Process &startEngine(const std::string &Name, unsigned FirstLayer,
                       unsigned EndLayer, double TokensPerSecond = 0,
                       const std::string &DataCentre = "fukuoka");
  /// Adds a plain service's endpoint and starts it.
  Process &startService(const std::string &Name, const std::string &Service,
                        const std::string &DataCentre = "fukuoka");
  /// Starts an engine or service again under the address it had.
  Process &restart(const std::string &Name);
  /// Starts a router. \p Extra is appended to its settings.
  Process &startRouter(const std::string &Name,
                       const std::string &DataCentre = "fukuoka",
                       const std::string &ExtraSettings = "");
  /// Puts the declaration in force through the platform and waits for it.
  void applyDeclaration();
  /// Waits until every router started is ready.
  void waitReady();

  schema::Declaration m_Declaration;
  unsigned m_GossipIntervalMs =
      350; // peers.period_ms of the routers started next
  unsigned m_PlatformPollMs =
      100; // platform.poll_ms of the routers started next

  std::string platformAddress() const { return m_PlatformAddress; }
  std::string callerAddress(const std::string &Router) const;
  std::string operatorAddress(const std::string &Router) const;
  std::string endpointAddress(const std::string &EndpointName) const;
  std::string settingsFile(const std::string &Router) const;
  Process &process(const std::string &Name);
  std::string directory() const { return m_Directory; }
  std::string tokenFile() const { return m_Directory + "/operator-token"; }

  /// Tells a stand-in, by address, to misbehave.
  void injectFault(const std::string &Address, const std::string &Json);
  /// Sum of a counter of a router over its labels that contain \p Label.
  double metricSum(const std::string &Router, const std::string &Name,
                   const std::string &Label = "");
  /// Runs mimosadalectl; gives its output and status.
  struct CtlResult {
    int m_Status;
    std::string m_Output;
  };
  CtlResult runCtl(const std::vector<std::string> &Arguments);
  /// Violations that the engines saw.
  std::vector<std::string> violations();
  /// Executions recorded by all services, of one key or in all.
  std::uint64_t executions(const std::string &Key = "");

  /// Headers of the workspace `counter` (or another one declared).
  Headers authHeaders(const std::string &Workspace = "counter") const;
  /// Body of a completion request.
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
