// A stand-in for the platform: store, registry, chained engines, services.
#ifndef MIMOSADALE_TESTS_FAKE_PLATFORM_H
#define MIMOSADALE_TESTS_FAKE_PLATFORM_H

#include "decide/path.h"
#include "net/server.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace mimosadale::tests {

/// How the store treats calls.
enum class StoreMode {
  Available,
  Unavailable,
  Unresponsive,
  StaleFeeds // answers, but its feeds end with what was known when it began to
};

/// Serves the published calls of the platform on loopback addresses, in one
/// thread of the test, and checks what must always hold of the requests that it
/// gets.
///
/// \par Thread safety
/// Public members may be called from the test's thread.
class FakePlatform {
public:
  FakePlatform();
  ~FakePlatform();
  FakePlatform(const FakePlatform &) = delete;
  FakePlatform &operator=(const FakePlatform &) = delete;

  /// An address of the store. There are two, and each can fail by itself.
  std::string storeAddress(std::size_t Index = 0) const;

  /// Adds an engine that holds no layers, and its entry.
  void addEngine(const std::string &Id, const std::string &DataCentre,
                 const std::string &Kind = "big");
  /// Adds a plain service's endpoint and its entry.
  void addService(const std::string &Id, const std::string &Service);

  /// Writes the operator's configuration with this version.
  void configure(std::uint64_t Version);
  void addRoute(const boost::json::object &Route);
  void setKeys(const std::vector<std::string> &Keys);

  /// Writes any row of any table.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);

  /// The engine answers nothing any more, and what runs through it stands
  /// still.
  void stopResponding(const std::string &Id);
  /// It answers again, and what stood still goes on.
  void resumeResponding(const std::string &Id);
  /// Whether engines move running streams to other paths when told to.
  void setRepathAllowed(bool Allowed) { m_RepathAllowed = Allowed; }
  /// The memory that engines report, in tokens times layers.
  void setEngineMemory(unsigned Total) { m_EngineMemory = Total; }
  /// The endpoint says that it leaves; it goes on serving.
  void drain(const std::string &Id);
  /// The endpoint says so in its answers only; its entry stays as it is.
  void announceLeavingInAnswers(const std::string &Id);
  /// The endpoint's entry is dropped, and comes back as it was.
  void deleteEntry(const std::string &Id);
  void republishEntry(const std::string &Id);
  /// The endpoint refuses all requests and asks for a pause in each answer.
  void refuseWithRetryAfter(const std::string &Id,
                            std::chrono::seconds RetryAfter);
  /// Requests and questions that reached the endpoint.
  int receivedRequests(const std::string &Id);
  /// Breaks off the streams that run at the endpoint, and refuses new ones.
  void abortStreams(const std::string &Id);
  /// Its streams bring a byte now and then that completes no event.
  void sendOnlyComments(const std::string &Id);
  /// Each of its answers comes a second time so long after the first.
  void duplicateAnswers(const std::string &Id, std::chrono::milliseconds Delay);
  /// The next \p Count answers of the endpoint are lost after it ran.
  void dropAnswers(const std::string &Id, int Count);
  void setStoreMode(StoreMode Mode, std::size_t Index = 0);
  void setEventInterval(std::chrono::milliseconds Interval) {
    m_EventInterval = Interval;
  }

  /// Runs of a request, by its id, over all endpoints.
  int runCount(const std::string &RequestId);
  /// Streams that engines work on now.
  int activeStreamCount();
  /// Gives the endpoint's address to an instance with another id.
  void reuseAddress(const std::string &Id, const std::string &NewId);
  /// Requests that broke what must hold.
  std::vector<std::string> violations();
  /// Layers that the engine holds.
  decide::LayerRange layers(const std::string &Id);
  /// The engines through which \p Request went last.
  std::vector<std::string> lastPath(const std::string &RequestId);

private:
  struct Row {
    std::string m_Value;
    std::uint64_t m_Version = 0;
    bool m_Deleted = false;
  };
  struct Endpoint {
    std::string m_Id;
    std::string m_Service;
    std::string m_DataCentre;
    std::string m_Kind; // empty for plain services
    std::unique_ptr<net::HttpServer> m_Server;
    decide::LayerRange m_Layers;
    bool m_Leaving = false;
    std::atomic<bool> m_Unresponsive = false; // read without the mutex
    int m_AnswersToDrop = 0;
    bool m_AnnouncesLeaving = false;
    std::chrono::seconds m_RetryAfter{};
    int m_ReceivedRequests = 0;
    bool m_SendsOnlyComments = false;
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
    std::string m_StalledOn; // address of a silent engine; may be empty
  };
  using Task = boost::asio::awaitable<void>;
  struct Listener {
    std::atomic<StoreMode> m_Mode = StoreMode::Available;
    std::atomic<std::uint64_t> m_StaleVersion = 0; // newest version before that
    std::unique_ptr<net::HttpServer> m_Server;
  };

  std::unique_ptr<net::HttpServer>
  serve(std::function<Task(net::HttpExchange &)> Handler);
  Endpoint &addEndpoint(const std::string &Id, const std::string &Service);
  void publishEntry(const Endpoint &Instance);
  Task handleStore(Listener &StoreListener, net::HttpExchange &Exchange);
  Task serveFeed(Listener &StoreListener, net::HttpExchange &Exchange);
  net::HttpResponse readTable(const std::string &Target);
  net::HttpResponse transact(const std::string &Body);
  boost::json::object rowJson(const std::string &Table, const std::string &Key,
                              const Row &Entry) const;
  Task handleEndpoint(Endpoint &Instance, net::HttpExchange &Exchange);
  Task sendAnswer(Endpoint &Instance, net::HttpExchange &Exchange,
                  net::HttpResponse Answer);
  void addLeavingHeader(const Endpoint &Instance, net::HttpResponse &Answer);
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
  bool isStalled(int Number);
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

  boost::asio::io_context m_Io{1};
  std::recursive_mutex m_Mutex; // guards all below
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::uint64_t m_Version = 0;
  std::map<std::string, std::unique_ptr<Endpoint>> m_Endpoints;
  std::map<std::string, int> m_RunCounts;
  std::map<std::string, std::vector<std::string>> m_LastPaths;
  std::map<int, Stream> m_Streams; // at work
  int m_NextStream = 0;
  // Coroutines that are left over end with the I/O context, after all else.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  std::atomic<bool> m_RepathAllowed = true;
  std::atomic<unsigned> m_EngineMemory = 1000000;
  std::vector<std::string> m_Violations;
  boost::json::array m_Routes;
  std::vector<std::string> m_Keys{"key"};
  std::atomic<std::chrono::milliseconds> m_EventInterval{
      std::chrono::milliseconds(4)};
  std::array<Listener, 2> m_Listeners;
  std::thread m_Thread;
};

} // namespace mimosadale::tests

#endif
