// A fake of the platform for tests of the forwarding router: store, registry,
// engines and plain services.
#ifndef MIMOSADALE_TESTS_FAKE_PLATFORM_H
#define MIMOSADALE_TESTS_FAKE_PLATFORM_H

#include "decide/path.h"
#include "net/server.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mimosadale::tests {

/// How a listener of the store treats calls.
enum class StoreMode {
  Available,
  Unavailable,
  Unresponsive, // calls are cut when the mode ends
  Silent, // calls received meanwhile are never answered and their connections
          // stay open; feeds that wait already are answered as usual
  StaleFeeds // serves, but its feeds report no changes after the mode was set
};

/// Serves the platform's published calls on loopback addresses, in a thread of
/// its own, and records violations: paths that do not run all layers in order,
/// and more layers on an engine than its memory holds.
///
/// \par Thread safety
/// Public members may be called from the test's thread while it serves.
class FakePlatform {
public:
  FakePlatform();
  ~FakePlatform();
  FakePlatform(const FakePlatform &) = delete;
  FakePlatform &operator=(const FakePlatform &) = delete;

  /// Address of one of the two listeners of the store, which fail
  /// independently.
  std::string storeAddress(std::size_t Index = 0) const;

  /// Starts an engine that holds no layers and adds it to the registry.
  void addEngine(const std::string &Id, const std::string &DataCentre,
                 const std::string &Kind = "big");
  /// Starts an endpoint of a plain service and adds it to the registry.
  void addService(const std::string &Id, const std::string &Service);

  /// Writes the operator's configuration under this version.
  void configure(std::uint64_t Version);
  void addRoute(const boost::json::object &Route);
  void setKeys(const std::vector<std::string> &Keys);

  /// Writes a row of a table.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

  /// The endpoint stops answering. Streams whose path contains it stall, and
  /// are aborted after 1.5 s.
  void stopResponding(const std::string &Id);
  /// The endpoint answers again, and stalled streams continue.
  void resumeResponding(const std::string &Id);
  /// The endpoint closes its connections and refuses new ones, without a change
  /// of its entry: the links to it are cut, or its process is gone.
  void refuseConnections(const std::string &Id);
  /// The endpoint takes connections again, at the same address.
  void takeConnections(const std::string &Id);
  /// Whether engines accept orders to move a running stream to another path.
  void setRepathAllowed(bool Allowed) { m_RepathAllowed = Allowed; }
  /// The memory that engines report, in tokens times layers.
  void setEngineMemory(unsigned Total) { m_EngineMemory = Total; }
  /// Marks the registry entry as draining; the endpoint continues to serve.
  void drain(const std::string &Id);
  /// The endpoint announces in its answers that it leaves; its registry entry
  /// does not change.
  void announceLeavingInAnswers(const std::string &Id);
  /// Deletes the endpoint's registry entry.
  void deleteEntry(const std::string &Id);
  /// Writes the endpoint's registry entry again, unchanged.
  void republishEntry(const std::string &Id);
  /// The endpoint refuses all requests with this Retry-After; 0 ends it.
  void refuseWithRetryAfter(const std::string &Id,
                            std::chrono::seconds RetryAfter);
  /// The endpoint names in all its answers how many requests a second it takes
  /// from all routers together; none ends it.
  void nameLimit(const std::string &Id, std::optional<double> PerSecond);
  /// When requests of any kind reached the endpoint, in ascending order.
  std::vector<std::chrono::steady_clock::time_point>
  arrivals(const std::string &Id);
  /// Number of requests of any kind that reached the endpoint.
  int receivedRequests(const std::string &Id);
  /// Aborts the streams that run at the endpoint, and refuses requests with a
  /// Retry-After of 1 s.
  void abortStreams(const std::string &Id);
  /// The endpoint's streams send bytes that complete no event.
  void sendOnlyComments(const std::string &Id);
  /// The endpoint sends each answer a second time, this long after the first.
  void duplicateAnswers(const std::string &Id, std::chrono::milliseconds Delay);
  /// The engine writes its report once more on each connection that is used
  /// again for a request or a report, before the answer.
  void repeatReports(const std::string &Id);
  /// The endpoint executes the next \p Count requests, and closes the
  /// connection without an answer.
  void dropAnswers(const std::string &Id, int Count);
  /// An engine that begins to write an answer to a prompt with this part, not
  /// as its last one, crashes: its connections break, new ones are refused, and
  /// it does not come back.
  void crashOnPart(const std::string &Part);
  /// Engines write so many events of an answer before they crash.
  void crashAfterEvents(unsigned Events);
  /// An endpoint that begins to run a request with this target crashes.
  void crashOnTarget(const std::string &Target);
  /// Endpoints that crash are back after this time, empty and at another
  /// address. Zero: they do not come back.
  void restartCrashed(std::chrono::milliseconds After);
  /// Endpoints that crashed, in order; one that came back may be there again.
  std::vector<std::string> crashedEngines();
  void setStoreMode(StoreMode Mode, std::size_t Index = 0);
  /// Only calls that name this table are treated by the listeners' modes;
  /// empty: all calls are.
  void limitStoreModeTo(const std::string &Table);

  /// The content of the store at one moment.
  struct StoreCopy;
  std::shared_ptr<const StoreCopy> copyStore();
  /// What becomes of feeds that wait while the store is restored.
  enum class WaitingFeeds {
    End, // without an answer
    Stay // they wait on for the version that they were opened with
  };

  /// Replaces the store's content by an older copy, as a new era: its version
  /// goes back, and the same numbers are given out again.
  void restoreStore(const std::shared_ptr<const StoreCopy> &Copy,
                    WaitingFeeds Feeds = WaitingFeeds::End);
  /// The era that all answers of the store state; 0: they state none.
  void setEra(std::uint64_t Era);
  void setEventInterval(std::chrono::milliseconds Interval) {
    m_EventInterval = Interval;
  }

  /// Executions of a request over all endpoints.
  int runCount(const std::string &RequestId);
  /// Number of streams that engines work on.
  int activeStreamCount();
  /// Replaces the endpoint by an instance with another id at the same address.
  void reuseAddress(const std::string &Id, const std::string &NewId);
  /// Descriptions of the violations found so far.
  std::vector<std::string> violations();
  /// Layers that the engine holds.
  decide::LayerRange layers(const std::string &Id);
  /// Ids of the endpoints of the request's last execution, in path order.
  std::vector<std::string> lastPath(const std::string &RequestId);

private:
  struct Row {
    std::string m_Value;
    std::uint64_t m_Version = 0;
    bool m_Deleted = false;
  };
  using Tables = std::map<std::string, std::map<std::string, Row>>;
  struct Endpoint {
    std::string m_Id;
    std::string m_Service;
    std::string m_DataCentre;
    std::string m_Kind; // empty for plain services
    std::uint64_t m_StartedMs = 0;
    std::unique_ptr<net::HttpServer> m_Server;
    // Bound to the port while connections are refused, so that no connection of
    // another process takes it.
    std::optional<boost::asio::ip::tcp::socket> m_PortHolder;
    decide::LayerRange m_Layers;
    bool m_Leaving = false;
    std::atomic<bool> m_Unresponsive = false; // read without m_Mutex
    std::atomic<bool> m_Crashed = false; // or refuses; read without m_Mutex
    int m_AnswersToDrop = 0;
    bool m_AnnouncesLeaving = false;
    std::chrono::seconds m_RetryAfter{};
    std::optional<double> m_RequestLimit;
    std::vector<std::chrono::steady_clock::time_point> m_Arrivals;
    bool m_SendsOnlyComments = false;
    bool m_RepeatsReports = false;
    std::set<std::uint64_t> m_UsedConnections; // by number
    std::chrono::milliseconds m_DuplicateDelay{};
    std::uint64_t m_Fence = 0;
    std::uint64_t m_OrderSequence = 0;

    std::string address() const {
      return "127.0.0.1:" + std::to_string(m_Server->port());
    }
  };
  struct Stream {
    std::string m_RequestId;
    std::vector<Endpoint *> m_Path;
    std::string m_StalledOn; // address of an unresponsive engine, or empty
  };
  using Task = boost::asio::awaitable<void>;
  struct Listener {
    std::atomic<StoreMode> m_Mode = StoreMode::Available;
    // Newest version when the mode was set.
    std::atomic<std::uint64_t> m_StaleVersion = 0;
    std::unique_ptr<net::HttpServer> m_Server;
  };

  std::unique_ptr<net::HttpServer>
  serve(std::function<Task(net::HttpExchange &)> Handler,
        unsigned short Port = 0);
  // Replaces the endpoint's server, if any, by a new one. Port 0: any one.
  void startServer(Endpoint &Instance, unsigned short Port = 0);
  Endpoint &addEndpoint(const std::string &Id, const std::string &Service);
  void publishEntry(const Endpoint &Instance);
  Task handleStore(Listener &StoreListener, net::HttpExchange &Exchange);
  Task serveFeed(Listener &StoreListener, net::HttpExchange &Exchange);
  Task hold(net::HttpExchange &Exchange);
  StoreMode modeFor(const Listener &StoreListener, const std::string &Target);
  Task respondFromStore(net::HttpExchange &Exchange, net::HttpResponse Answer);
  net::HttpResponse readTable(const std::string &Target);
  net::HttpResponse transact(const std::string &Body);
  boost::json::object rowJson(const std::string &Table, const std::string &Key,
                              const Row &Entry) const;
  Task handleEndpoint(Endpoint &Instance, net::HttpExchange &Exchange);
  Task sendAnswer(Endpoint &Instance, net::HttpExchange &Exchange,
                  net::HttpResponse Answer);
  void addStateHeaders(const Endpoint &Instance, net::HttpResponse &Answer);
  Task serveStream(Endpoint &Instance, net::HttpExchange &Exchange);
  net::HttpResponse handleOrder(Endpoint &Instance, const std::string &Body);
  net::HttpResponse assignLayers(Endpoint &Instance,
                                 const boost::json::object &Order);
  net::HttpResponse repath(Endpoint &Instance,
                           const boost::json::object &Order);
  std::optional<net::HttpResponse>
  parsePath(const Endpoint &Instance, const std::string &PathText,
            std::vector<Endpoint *> &Path,
            const std::vector<Endpoint *> &CurrentPath);
  bool crashesOn(const net::HttpRequest &Request);
  void crash(Endpoint &Instance);
  // Requires m_Mutex.
  void closeConnections(Endpoint &Instance);
  bool isStalled(int Number);
  bool dropsAnswer(Endpoint &Instance);
  bool sendsOnlyComments(const Endpoint &Instance);
  bool isActive(int Number);
  net::HttpResponse engineReport(const Endpoint &Instance);
  std::optional<net::HttpResponse>
  checkRequestPath(const Endpoint &Instance, const net::HttpRequest &Request,
                   std::vector<Endpoint *> &Path);
  Endpoint *findByAddress(const std::string &Address);
  void recordRun(const std::string &RequestId,
                 const std::vector<Endpoint *> &Path);
  Task sleepFor(std::chrono::milliseconds Time);
  Task restart(Endpoint &Instance, std::chrono::milliseconds After);

  boost::asio::io_context m_Io{1};
  std::recursive_mutex m_Mutex; // guards the members below that are not atomic
  Tables m_Tables;
  std::uint64_t m_Version = 0;
  std::uint64_t m_LastStartMs = 1'700'000'000'000;
  std::uint64_t m_Era = 0;                // 0: not stated
  std::atomic<unsigned> m_FeedsEnded = 0; // number of times
  std::map<std::string, std::unique_ptr<Endpoint>> m_Endpoints;
  std::map<std::string, int> m_RunCounts;
  std::map<std::string, std::vector<std::string>> m_LastPaths;
  std::map<int, Stream> m_Streams; // streams being served
  int m_NextStream = 0;
  // False once the destructor ran. m_Io destroys suspended coroutines after all
  // other members, so their guards must not use m_Streams then.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  std::atomic<bool> m_RepathAllowed = true;
  std::atomic<unsigned> m_EngineMemory = 1000000;
  std::string m_CrashingPart; // empty: none
  std::atomic<unsigned> m_EventsBeforeCrash = 0;
  std::string m_CrashingTarget; // empty: none
  std::chrono::milliseconds m_RestartAfter{};
  std::vector<std::unique_ptr<net::HttpServer>> m_StoppedServers;
  std::vector<std::string> m_CrashedEngines;
  std::vector<std::string> m_Violations;
  boost::json::array m_Routes;
  std::vector<std::string> m_Keys{"key"};
  std::atomic<std::chrono::milliseconds> m_EventInterval{
      std::chrono::milliseconds(4)};
  std::string m_ModeTable; // empty: all
  std::array<Listener, 2> m_Listeners;
  std::thread m_Thread;
};

} // namespace mimosadale::tests

#endif
