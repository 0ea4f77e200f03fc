// Stand-ins for the scripts of this review: the platform's store, plain workers
// and clients, as the users' pages describe them, and the routers as processes.
// All addresses are loopback addresses.
#ifndef REVIEW_STAND_IN_3_H
#define REVIEW_STAND_IN_3_H

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Milliseconds since the start of the program.
long nowMs();
void sleepMs(long Ms);

/// Writes record.txt: what was sent, answered and run. Safe from any thread.
class Record {
public:
  explicit Record(const std::string &File);
  ~Record();
  void line(const std::string &Text);

private:
  std::mutex m_Mutex;
  FILE *m_File;
};

/// One HTTP message.
struct Message {
  std::string m_First; // request or status line
  Headers m_Headers;
  std::string m_Body;
  bool m_Complete = false;
  std::string header(const std::string &Name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// A listener on a loopback address whose connections a thread each serves.
class Listener {
public:
  /// Handles a request. \returns the whole response, or an empty text to close
  /// the connection without one.
  using Handler =
      std::function<std::string(const Message &Request, int Connection)>;

  Listener(const std::string &Ip, Handler Handle);
  ~Listener();
  std::string address() const;
  /// Resets the connections and refuses new ones at the same address.
  void cut();
  /// Takes connections again.
  void restore();

private:
  void acceptLoop();
  void serve(int Connection);
  int bindSocket(unsigned short Port);

  std::string m_Ip;
  unsigned short m_Port = 0;
  Handler m_Handle;
  int m_Socket = -1;
  std::atomic<bool> m_Listening{true};
  std::atomic<bool> m_Stop{false};
  std::mutex m_Mutex;
  std::set<int> m_Connections;
  std::atomic<int> m_Running{0};
  std::thread m_Thread;
};

/// A whole HTTP response.
std::string response(int Status, const Headers &Extra, const std::string &Body);

/// Whether the peer of a connection has closed it.
bool peerClosed(int Connection);

/// The platform's store. Each router has an address of its own for it, and sees
/// the workers at addresses of its own, so that its paths can be cut alone.
class Store {
public:
  Store(Record &Log, unsigned Routers, const std::string &Ip);
  std::string address(unsigned Router) const;
  /// While down, each call is answered with 503: nothing was done.
  void setDown(bool Down);
  bool down() const { return m_Down; }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  /// A worker's entry, whose address differs for each router.
  void putWorker(const std::string &Id, boost::json::object Entry,
                 std::vector<std::string> Addresses);

private:
  struct Row {
    std::string m_Value;
    std::vector<std::string> m_Addresses; // of a worker, by router
    boost::json::object m_Entry;
    std::uint64_t m_Version = 0;
  };
  std::string handle(unsigned Router, const Message &Request, int Connection);
  std::string transact(const std::string &Body);
  boost::json::object rowJson(unsigned Router, const std::string &Table,
                              const std::string &Key, const Row &Entry) const;

  Record &m_Log;
  mutable std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::uint64_t m_Version = 0;
  std::atomic<bool> m_Down{false};
  std::vector<std::unique_ptr<Listener>> m_Listeners;
};

/// A worker of a plain service.
class Worker {
public:
  struct Arrival {
    long m_At = 0;
    unsigned m_Router = 0;
    std::string m_RequestId;
    bool m_Ran = false;
  };
  /// Chooses what becomes of a request: its status, 0 if its answer is lost,
  /// and its time of work.
  using Behaviour = std::function<std::pair<int, long>(const Message &)>;

  Worker(Record &Log, Store &Platform, std::string Id, std::string Service,
         std::string Zone, unsigned Routers, const std::string &Ip,
         Behaviour Behave);
  const std::string &id() const { return m_Id; }
  /// Cuts the path between one router and this worker.
  void cutFrom(unsigned Router) { m_Listeners[Router]->cut(); }
  void restoreTo(unsigned Router) { m_Listeners[Router]->restore(); }
  /// The worker begins a planned shutdown: it says so in all its answers and
  /// reports it to the store as soon as that accepts it.
  void leave();
  /// When the store accepted the report; 0 if it has not.
  long reportedAt() const { return m_ReportedAt; }
  std::vector<Arrival> arrivals();

private:
  std::string handle(unsigned Router, const Message &Request, int Connection);
  boost::json::object entry(const std::string &State) const;
  std::vector<std::string> addresses() const;

  Record &m_Log;
  Store &m_Platform;
  std::string m_Id, m_Service, m_Zone;
  long long m_Born;
  Behaviour m_Behave;
  std::atomic<bool> m_Leaving{false};
  std::atomic<long> m_ReportedAt{0};
  std::mutex m_Mutex;
  std::vector<Arrival> m_Arrivals;
  std::vector<std::unique_ptr<Listener>> m_Listeners;
};

/// A router as a process, started as the deploy file says, with settings made
/// from its template.
class Router {
public:
  Router(Record &Log, const std::string &Name, const std::string &Zone,
         const std::string &StoreAddress, const std::string &Folder,
         const std::string &Ip, const std::string &Slack);
  ~Router();
  const std::string &front() const { return m_Front; }
  const std::string &name() const { return m_Name; }
  pid_t process() const { return m_Pid; }
  bool ready() const;
  bool waitReady(long Ms) const;
  void signal(int Number);
  /// Kills the process and starts it with the same settings.
  void restart();

private:
  void launch();

  Record &m_Log;
  std::string m_Name, m_Folder;
  std::string m_Front, m_Readiness;
  pid_t m_Pid = -1;
};

/// Sends one request on a new connection. Status 0: no whole answer.
Message call(const std::string &Address, const std::string &Method,
             const std::string &Target, const Headers &Extra,
             const std::string &Body, long TimeoutMs);

/// Whether the case is played with its disruption.
bool withTrouble();

/// Folder of the running case, for record.txt, and a temporary folder.
std::string caseFolder();
std::string temporaryFolder();

} // namespace review

#endif
