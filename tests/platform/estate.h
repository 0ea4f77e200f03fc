// A stand-in for the platform: store, registry, chained engines, services.
#ifndef MIMOSADALE_TESTS_ESTATE_H
#define MIMOSADALE_TESTS_ESTATE_H

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
  Serves,
  Refuses,
  Silent,
  Withholds // answers, but its feeds end with what was known when it began to
};

/// Serves the published calls of the platform on loopback addresses, in one
/// thread of the test, and checks what must always hold of the requests that it
/// gets.
///
/// \par Thread safety
/// Public members may be called from the test's thread.
class Estate {
public:
  Estate();
  ~Estate();
  Estate(const Estate &) = delete;
  Estate &operator=(const Estate &) = delete;

  /// An address of the store. There are two, and each can fail by itself.
  std::string store(std::size_t Listener = 0) const;

  /// Adds an engine that holds no layers, and its entry.
  void addEngine(const std::string &Id, const std::string &Centre,
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
  void silence(const std::string &Id);
  /// It answers again, and what stood still goes on.
  void wake(const std::string &Id);
  /// Whether engines move running streams to other paths when told to.
  void setRepairs(bool Allowed) { m_Repairs = Allowed; }
  /// The memory that engines report, in tokens times layers.
  void setMemory(unsigned Total) { m_Memory = Total; }
  /// The endpoint says that it leaves; it goes on serving.
  void drain(const std::string &Id);
  /// The endpoint says so in its answers only; its entry stays as it is.
  void sayLeaving(const std::string &Id);
  /// The endpoint's entry is dropped, and comes back as it was.
  void dropEntry(const std::string &Id);
  void publishAgain(const std::string &Id);
  /// The endpoint refuses all requests and asks for a pause in each answer.
  void refuseFor(const std::string &Id, std::chrono::seconds Pause);
  /// Requests and questions that reached the endpoint.
  int arrivals(const std::string &Id);
  /// Breaks off the streams that run at the endpoint, and refuses new ones.
  void breakStreams(const std::string &Id);
  /// Its streams bring a byte now and then that completes no event.
  void dribble(const std::string &Id);
  /// Each of its answers comes a second time so long after the first.
  void repeatAnswers(const std::string &Id, std::chrono::milliseconds After);
  /// The next \p Count answers of the endpoint are lost after it ran.
  void loseAnswers(const std::string &Id, int Count);
  void setStore(StoreMode Mode, std::size_t Listener = 0);
  void setEventPause(std::chrono::milliseconds Pause) { m_Pause = Pause; }

  /// Runs of a request, by its id, over all endpoints.
  int runs(const std::string &Request);
  /// Streams that engines work on now.
  int streams();
  /// Gives the endpoint's address to an instance with another id.
  void reuseAddress(const std::string &Id, const std::string &FreshId);
  /// Requests that broke what must hold.
  std::vector<std::string> violations();
  /// Layers that the engine holds.
  decide::LayerRange layers(const std::string &Id);
  /// The engines through which \p Request went last.
  std::vector<std::string> pathOf(const std::string &Request);

private:
  struct Row {
    std::string m_Value;
    std::uint64_t m_Version = 0;
    bool m_Dropped = false;
  };
  struct Endpoint {
    std::string m_Id;
    std::string m_Service;
    std::string m_Centre;
    std::string m_Kind; // empty for plain services
    std::unique_ptr<net::HttpServer> m_Server;
    decide::LayerRange m_Layers;
    bool m_Leaving = false;
    std::atomic<bool> m_Silent = false; // read without the mutex
    int m_LostAnswers = 0;
    bool m_SaysLeaving = false;
    std::chrono::seconds m_RefusesFor{};
    int m_Arrivals = 0;
    bool m_Dribbles = false;
    std::chrono::milliseconds m_RepeatsAfter{};
    std::uint64_t m_Fence = 0;
    std::uint64_t m_Orders = 0;

    std::string address() const {
      return "127.0.0.1:" + std::to_string(m_Server->port());
    }
  };
  struct Stream {
    std::string m_Request;
    std::vector<Endpoint *> m_Path;
    std::string m_WaitsFor; // address of a silent engine; may be empty
  };
  using Task = boost::asio::awaitable<void>;
  struct Listener {
    std::atomic<StoreMode> m_Mode = StoreMode::Serves;
    std::atomic<std::uint64_t> m_WithholdsSince =
        0; // newest version before that
    std::unique_ptr<net::HttpServer> m_Server;
  };

  std::unique_ptr<net::HttpServer>
  serve(std::function<Task(net::HttpExchange &)> Handle);
  Endpoint &add(const std::string &Id, const std::string &Service);
  void publish(const Endpoint &Of);
  Task handleStore(Listener &At, net::HttpExchange &Exchange);
  Task feed(Listener &At, net::HttpExchange &Exchange);
  net::HttpResponse read(const std::string &Target);
  net::HttpResponse transact(const std::string &Body);
  boost::json::object rowJson(const std::string &Table, const std::string &Key,
                              const Row &Of) const;
  Task handleEndpoint(Endpoint &At, net::HttpExchange &Exchange);
  Task answer(Endpoint &At, net::HttpExchange &Exchange,
              net::HttpResponse Answer);
  void mark(const Endpoint &At, net::HttpResponse &Answer);
  Task stream(Endpoint &At, net::HttpExchange &Exchange);
  net::HttpResponse order(Endpoint &At, const std::string &Body);
  net::HttpResponse place(Endpoint &At, const boost::json::object &From);
  net::HttpResponse repath(Endpoint &At, const boost::json::object &From);
  std::optional<net::HttpResponse> badPart(const Endpoint &At,
                                           const std::string &Text,
                                           std::vector<Endpoint *> &Path,
                                           const std::vector<Endpoint *> &Kept);
  bool stalled(int Number);
  bool dribbles(const Endpoint &At);
  bool atWork(int Number);
  net::HttpResponse report(const Endpoint &At);
  std::optional<net::HttpResponse> refusal(const Endpoint &At,
                                           const net::HttpRequest &Request,
                                           std::vector<Endpoint *> &Path);
  Endpoint *byAddress(const std::string &Address);
  void run(const std::string &Request, const std::vector<Endpoint *> &Path);
  Task pause(std::chrono::milliseconds Time);

  boost::asio::io_context m_Io{1};
  std::recursive_mutex m_Mutex; // guards all below
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::uint64_t m_Version = 0;
  std::map<std::string, std::unique_ptr<Endpoint>> m_Endpoints;
  std::map<std::string, int> m_Runs;
  std::map<std::string, std::vector<std::string>> m_Paths;
  std::map<int, Stream> m_Streams; // at work
  int m_NextStream = 0;
  // Coroutines that are left over end with the I/O context, after all else.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  std::atomic<bool> m_Repairs = true;
  std::atomic<unsigned> m_Memory = 1000000;
  std::vector<std::string> m_Violations;
  boost::json::array m_Routes;
  std::vector<std::string> m_Keys{"key"};
  std::atomic<std::chrono::milliseconds> m_Pause{std::chrono::milliseconds(4)};
  std::array<Listener, 2> m_Listeners;
  std::thread m_Thread;
};

} // namespace mimosadale::tests

#endif
