#include "plain_fleet.h"

#include <unistd.h>

namespace review {

namespace json = boost::json;

namespace {

const char *Ip = "127.0.0.1";

// The operator's configuration: the plain routes of the site file
// hinokage-rental.
std::string configuration() {
  const auto Route = [](const char *Name, const char *Prefix, const char *Type,
                        int Attempts) {
    return json::object{{"Name", Name},
                        {"Host", "rental.example"},
                        {"Prefix", Prefix},
                        {"RouteType", Type},
                        {"TimeoutMs", 1200},
                        {"TargetLatencyMs", 150},
                        {"Priority", 2},
                        {"MaxAttempts", Attempts},
                        {"Service", "booking-app"}};
  };
  return json::serialize(json::object{
      {"Version", 3},
      {"Routes",
       json::array{Route("stock-lookup", "/stock/", "idempotent", 2),
                   Route("deposit-reserve", "/deposit/", "non_idempotent", 1)}},
      {"Services", json::array{json::object{{"Name", "booking-app"},
                                            {"HealthCheckPath", "/health"},
                                            {"MaxConnections", 96}}}},
      {"Limits", json::object{{"MaxHeaderBytes", 16384},
                              {"MaxBodyBytes", 4194304},
                              {"HeaderTimeoutMs", 3000},
                              {"IdleTimeoutMs", 15000}}}});
}

} // namespace

PlainFleet::PlainFleet(Record &Log, unsigned Workers, Worker::Behaviour Behave)
    : m_Log(Log), m_Store(Log, RouterCount, Ip) {
  m_Store.put("op", "config", configuration());
  for (unsigned I = 1; I <= Workers; ++I)
    m_Workers.push_back(std::make_unique<Worker>(
        Log, m_Store, "w" + std::to_string(I), "booking-app", "fukuoka",
        RouterCount, Ip, Behave));
}

bool PlainFleet::start() {
  for (unsigned I = 0; I < RouterCount; ++I)
    m_Routers.push_back(std::make_unique<Router>(
        m_Log, "r" + std::to_string(I + 1), "fukuoka", m_Store.address(I),
        temporaryFolder(), Ip, "196"));
  const auto AllReady = [this] {
    for (const auto &Started : m_Routers)
      if (!Started->waitReady(15000))
        return false;
    sleepMs(2000); // each has read the others' rows
    return true;
  };
  if (!AllReady())
    return false;
  // Their rows are written now. After another start they write nothing, so that
  // they all read the store's tables in the same version, and none takes over
  // the addresses at which another one sees the workers.
  for (const auto &Started : m_Routers)
    Started->restart();
  return AllReady();
}

void PlainFleet::send(unsigned Router, const std::string &Method,
                      const std::string &Target, long DeadlineMs) {
  Sent Request;
  Request.m_Router = Router;
  Request.m_Id = "q" + std::to_string(++m_Next);
  Request.m_At = nowMs();
  const std::string Front = m_Routers[Router]->front();
  ++m_Running;
  std::thread([this, Request, Method, Target, DeadlineMs, Front]() mutable {
    Request.m_Answer =
        call(Front, Method, Target,
             {{"Host", "rental.example"},
              {"X-Mimosadale-Request-Id", Request.m_Id},
              {"X-Mimosadale-Deadline-Ms", std::to_string(DeadlineMs)}},
             Method == "POST" ? "seat 12" : "", DeadlineMs);
    Request.m_AnsweredAt = nowMs();
    m_Log.line("client got " + std::to_string(Request.m_Answer.status()) +
               " for " + Request.m_Id + " sent at " +
               std::to_string(Request.m_At) + " to r" +
               std::to_string(Request.m_Router + 1) +
               (Request.m_Answer.header("Server-Leaving").empty()
                    ? ""
                    : ", with Server-Leaving of " +
                          Request.m_Answer.header("X-Mimosadale-Server-Seal")));
    const std::lock_guard Lock(m_Mutex);
    m_Sent.push_back(std::move(Request));
    --m_Running;
  }).detach();
}

void PlainFleet::finish() {
  while (m_Running > 0)
    sleepMs(10);
}

std::vector<Sent> PlainFleet::sent() {
  const std::lock_guard Lock(m_Mutex);
  return m_Sent;
}

void PlainFleet::cutWorkersFrom(unsigned Router) {
  m_Log.line("r" + std::to_string(Router + 1) + " is cut from all workers");
  std::vector<std::thread> Cuts;
  for (const auto &Each : m_Workers)
    Cuts.emplace_back([&Each, Router] { Each->cutFrom(Router); });
  for (std::thread &Cut : Cuts)
    Cut.join();
}

void PlainFleet::restoreWorkersTo(unsigned Router) {
  m_Log.line("r" + std::to_string(Router + 1) + " reaches all workers again");
  for (const auto &Each : m_Workers)
    Each->restoreTo(Router);
}

} // namespace review
