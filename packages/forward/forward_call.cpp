#include "forward/forward_call.h"

#include "forward/engine_client.h"
#include "platform/endpoint_codec.h"
#include "platform/names.h"
#include "router/log.h"
#include "router/replies.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

namespace mimosadale::forward {

namespace asio = boost::asio;
using decide::ForwardStep;
using decide::SendFault;

namespace {

// When callers may come back after a refusal for want of an endpoint: after a
// hole in a chain is filled, spread so that they do not return all at once.
constexpr Duration ComeBackFirst = std::chrono::milliseconds(1500);
constexpr Duration ComeBackLast = std::chrono::milliseconds(4000);

// Time within which a connection to an endpoint must be there: twice a lost
// opening packet's way inside a region.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

// Idle time up to which a connection is used again for calls that may be
// repeated, and for those that may not.
constexpr Duration MostIdle = std::chrono::seconds(8);
constexpr Duration MostIdleOnce = std::chrono::milliseconds(300);

// Pause after a refusal for want of a place: about the time in which one of a
// few hundred requests ends.
constexpr Duration FullPause = std::chrono::milliseconds(60);

// Time after which a refusal means that an engine of the path is lost: engines
// answer at once when they are full.
constexpr Duration RefusalOfLost = std::chrono::milliseconds(900);

// Orders to change the path of one send, and the time that one may take.
constexpr unsigned MostRepairs = 2;
constexpr Duration RepairTimeout = std::chrono::milliseconds(400);

// Whole answers longer than this are not taken in one piece.
constexpr std::size_t MostAnswerBytes = 16u << 20;

std::string millisText(Duration Time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(Time).count());
}

} // namespace

ForwardCall::ForwardCall(ForwardState &Shared, net::HttpExchange &Exchange)
    : m_Shared(Shared), m_Calls(Shared.m_Calls), m_Exchange(Exchange),
      m_Arrived(ForwardState::now()),
      m_Facts(platform::decodeRequest(Exchange.request())) {
  m_Calls->insert(this);
}

ForwardCall::~ForwardCall() { m_Calls->erase(this); }

// When this caller may come back.
Duration ForwardCall::comeBack() {
  std::uniform_int_distribution<Duration::rep> Spread(ComeBackFirst.count(),
                                                      ComeBackLast.count());
  return Duration(Spread(m_Shared.m_Random));
}

// Finds route, workspace and service. \returns whether the request may go on;
// otherwise the refusal is set.
bool ForwardCall::prepare() {
  const Duration ComeBack = comeBack();
  const auto Refuse = [&](schema::Reason Why, const char *Detail,
                          std::optional<Duration> RetryAfter = std::nullopt) {
    m_Refused = router::refuseUntouched(Why, Detail, RetryAfter);
    return false;
  };
  m_Routes = m_Shared.m_Routes.current();
  if (!m_Shared.ready())
    return Refuse(schema::NOT_READY, "no configuration yet", ComeBack);
  m_Route = m_Routes->find(m_Facts.m_Host, m_Exchange.request().m_Target);
  if (!m_Route)
    return Refuse(schema::NOT_FOUND, "no route for this host and path");
  if (m_Routes->config().m_KeysRequired && !m_Route->m_Public) {
    m_Workspace = m_Routes->workspaceOf(m_Facts.m_Key);
    if (!m_Workspace)
      return Refuse(schema::UNAUTHENTICATED, "the key is not known");
  }
  const double Draw =
      std::uniform_real_distribution<double>(0, 1)(m_Shared.m_Random);
  m_Service = m_Routes->chooseService(*m_Route, Draw);
  decide::ForwardStart Start;
  Start.m_Kind = m_Route->m_Kind;
  Start.m_Resumable = m_Route->m_Resumable;
  Start.m_MaxEndpoints = m_Route->m_MaxEndpoints;
  Start.m_Timeout = m_Arrived + m_Route->m_Timeout;
  Start.m_Deadline =
      m_Facts.m_Deadline ? m_Arrived + *m_Facts.m_Deadline : Start.m_Timeout;
  m_Run.emplace(Start);
  return true;
}

asio::awaitable<void> ForwardCall::serve() {
  if (!prepare()) {
    decide::Refusal Why = *m_Refused;
    co_await refuse(std::move(Why));
    co_return;
  }
  m_Exchange.watchCaller([this] {
    m_CallerGone = true;
    end(Ended::CallerGone);
  });
  m_Shared.budgetOf(m_Service).onFirstTry(m_Arrived);
  bool More = true;
  while (More) {
    std::optional<Target> To = chooseTarget();
    std::optional<ForwardStep> Step;
    if (To) {
      Target Chosen = std::move(*To);
      Step = co_await sendTo(std::move(Chosen));
    } else {
      Step = m_Run->onNoEndpoint(schema::NO_ENDPOINT, comeBack());
    }
    if (!Step)
      co_return; // the answer is out
    if (m_CallerGone) {
      logOutcome("caller_gone", 0);
      m_Exchange.abort();
      co_return;
    }
    ForwardStep Next = std::move(*Step);
    More = co_await carryOut(std::move(Next));
  }
}

// \returns whether the request is sent again.
asio::awaitable<bool> ForwardCall::carryOut(ForwardStep Step) {
  if (const auto *Again = std::get_if<decide::SendAgain>(&Step)) {
    m_Shared.m_Metrics.retried(Again->m_Why);
    router::logEvent(schema::INFO, "send_again",
                     {{"request", m_Facts.m_Id.str()},
                      {"after", m_Target.m_Endpoint.str()},
                      {"reason", schema::RetryReason_Name(Again->m_Why)},
                      {"last_event", m_Events.lastId()}});
    co_return true;
  }
  if (auto *Refuse = std::get_if<decide::RefuseForward>(&Step)) {
    decide::Refusal Why = Refuse->m_Refusal;
    co_await refuse(std::move(Why));
  } else if (const auto *Cut = std::get_if<decide::CutOff>(&Step)) {
    m_Shared.m_Metrics.refused(Cut->m_Why);
    logOutcome("cut_off", 0);
    m_Exchange.abort();
  } else {
    net::HttpResponse Answer = std::move(*m_Failure);
    logOutcome("endpoint_failure", Answer.m_Status);
    co_await m_Exchange.respond(std::move(Answer));
  }
  co_return false;
}

std::optional<ForwardCall::Target> ForwardCall::chooseTarget() {
  return m_Shared.chainsOf(m_Service) ? chooseChain() : choosePlain();
}

std::optional<ForwardCall::Target> ForwardCall::chooseChain() {
  const decide::RequestSize Size =
      m_Facts.m_Size.value_or(decide::RequestSize{});
  const decide::Chain *Chosen = m_Shared.chainsOf(m_Service)->choose(
      m_Shared.m_Fleet, Size, DataCentreId(m_Shared.m_Settings.data_centre()),
      m_Run->avoided(), ForwardState::now(), m_Shared.m_Random);
  if (!Chosen) {
    logNoChain();
    return std::nullopt;
  }
  logSend(*Chosen);
  Target To;
  To.m_Path = Chosen->m_Stages;
  To.m_Endpoint = To.m_Path.front().m_Endpoint;
  To.m_Address = net::parseAddress(
      m_Shared.m_Fleet.find(To.m_Endpoint)->m_Record.m_Address);
  return To;
}

// The fill of a chain, and how old the report is that it rests on.
std::string ForwardCall::describe(const decide::Chain &Of) const {
  const Instant Now = ForwardState::now();
  const auto *First = m_Shared.m_Fleet.find(Of.m_Stages.front().m_Endpoint);
  const double Fill =
      m_Shared.chainsOf(m_Service)->fill(m_Shared.m_Fleet, Of, Now);
  return Of.m_DataCentre.str() + (Of.m_Crosses ? " crossing" : "") + " fill " +
         std::to_string(std::lround(Fill * 100)) + "% report " +
         (First && First->m_Load ? millisText(Now - First->m_LoadAt) + " ms old"
                                 : "none");
}

void ForwardCall::logSend(const decide::Chain &To) const {
  router::logEvent(
      schema::INFO, "chain_chosen",
      {{"request", m_Facts.m_Id.str()},
       {"first", To.m_Stages.front().m_Endpoint.str()},
       {"stages", std::to_string(To.m_Stages.size())},
       {"chain", describe(To)},
       {"tokens", std::to_string(std::lround(
                      m_Facts.m_Size ? m_Facts.m_Size->tokens() : 0))},
       {"left_ms", millisText(m_Run->end() - ForwardState::now())}});
}

void ForwardCall::logNoChain() const {
  std::string Chains;
  for (const decide::Chain &Each : m_Shared.chainsOf(m_Service)->chains())
    Chains += (Chains.empty() ? "" : "; ") + describe(Each);
  router::logEvent(
      schema::INFO, "no_chain",
      {{"request", m_Facts.m_Id.str()},
       {"chains", Chains.empty() ? "none is whole" : Chains},
       {"avoided", std::to_string(m_Run->avoided().size())},
       {"fleet_revision", std::to_string(m_Shared.m_Fleet.revision())}});
}

// The endpoint with the fewest requests of this router; one of this data centre
// where two are alike.
std::optional<ForwardCall::Target> ForwardCall::choosePlain() {
  const decide::FleetEndpoint *Best = nullptr;
  double BestCost = 0;
  std::uniform_real_distribution<double> Tie(0, 0.4);
  for (const auto &[Id, Known] : m_Shared.m_Fleet.all()) {
    if (Known.m_Record.m_Service != m_Service || Known.m_Record.m_Leaving ||
        m_Run->avoided().contains(Id))
      continue;
    const bool Here =
        Known.m_Record.m_DataCentre.str() == m_Shared.m_Settings.data_centre();
    const double Cost = Known.m_InFlight + (Here ? 0 : 0.5) +
                        (Known.m_Suspect ? 1000 : 0) + Tie(m_Shared.m_Random);
    if (!Best || Cost < BestCost) {
      Best = &Known;
      BestCost = Cost;
    }
  }
  if (!Best)
    return std::nullopt;
  Target To;
  To.m_Endpoint = Best->m_Record.m_Id;
  To.m_Address = net::parseAddress(Best->m_Record.m_Address);
  return To;
}

// Counts the request in (1) or out (-1) at every engine of its path.
void ForwardCall::charge(const Target &To, int Sign) {
  m_Shared.m_Fleet.countFirstStage(To.m_Endpoint, Sign);
  chargeMemory(To, Sign);
}

void ForwardCall::chargeMemory(const Target &To, int Sign) {
  const double Tokens = m_Facts.m_Size ? m_Facts.m_Size->tokens() : 0;
  for (const decide::StagePlan &Each : To.m_Path)
    m_Shared.m_Fleet.countMemory(
        Each.m_Endpoint,
        Sign * Tokens * (Each.m_Layers.m_End - Each.m_Layers.m_First));
}

asio::awaitable<std::optional<ForwardStep>> ForwardCall::sendTo(Target To) {
  m_Target = To;
  m_Ended = Ended::No;
  m_EventSeen = false;
  m_Repairing = false;
  m_Repairs = 0;
  m_Unfit.clear();
  m_Events.dropPartial();
  m_SentAt = m_LastProgress = ForwardState::now();
  m_Waiting = true;
  charge(m_Target, 1);
  std::optional<ForwardStep> Step;
  std::string Fault;
  try {
    Step = co_await exchange(std::move(To));
  } catch (const net::NetError &Wrong) {
    Fault = Wrong.what();
    if (m_CallerGone) {
      Step = decide::CutOff{schema::CALLER_GONE};
    } else if (Wrong.phase() == net::Phase::Connect) {
      if (m_Ended == Ended::No || m_Ended == Ended::EngineLost) {
        m_Shared.suspect(m_Target.m_Endpoint, "connect: " + Fault);
        Step = fault(SendFault::NotSent, {m_Target.m_Endpoint});
      } else {
        m_Run->onFault(SendFault::NotSent, {}, ForwardState::now(),
                       [] { return false; });
        Step = ended();
      }
    } else if (m_Ended != Ended::No) {
      Step = ended();
    } else {
      Step = fault(SendFault::Broken, {m_Target.m_Endpoint});
    }
  }
  m_Waiting = false;
  m_Connecting = false;
  m_Cancel = nullptr;
  charge(m_Target, -1);
  co_return Step;
}

// What follows from a send that this router ended.
ForwardStep ForwardCall::ended() {
  if (m_Ended == Ended::EngineLost) {
    decide::EndpointSet Lost;
    for (const decide::StagePlan &Each : m_Target.m_Path) {
      const auto *Known = m_Shared.m_Fleet.find(Each.m_Endpoint);
      if (!Known || !Known->usable())
        Lost.insert(Each.m_Endpoint);
    }
    if (Lost.empty())
      Lost.insert(m_Target.m_Endpoint);
    return fault(SendFault::Stalled, Lost);
  }
  return m_Run->onTimeout();
}

ForwardStep ForwardCall::fault(SendFault How, const decide::EndpointSet &Lost) {
  return m_Run->onFault(How, Lost, ForwardState::now(), [this] {
    return std::exchange(m_RetryTaken, false) ||
           m_Shared.budgetOf(m_Service).take(ForwardState::now(),
                                             m_Shared.m_Routers);
  });
}

// An engine of the path refused the request, or could not be reached from the
// one before it.
ForwardStep ForwardCall::faultAt(const std::string &Address, unsigned Status) {
  decide::EndpointSet Lost;
  if (const auto *At = m_Shared.m_Fleet.findByAddress(Address)) {
    const EndpointId Id = At->m_Record.m_Id;
    Lost.insert(Id);
    // A refusal after a stall is that of a lost engine; one at once may mean
    // that it is full or changes its layers, which its report will tell.
    if (Status == 503 && ForwardState::now() - m_SentAt > RefusalOfLost)
      m_Shared.suspect(Id, "refused with 503 after a stall");
    else
      m_Shared.m_Accused.insert(Id);
    if (Status == 503)
      m_Shared.m_Fleet.onFull(Id, ForwardState::now() + FullPause);
  } else {
    // Its own queue is full: this request goes elsewhere, others may fit.
    Lost.insert(m_Target.m_Endpoint);
    if (!m_Target.m_Path.empty())
      m_Shared.m_Fleet.onFull(m_Target.m_Endpoint,
                              ForwardState::now() + FullPause);
  }
  return fault(SendFault::SaidNotRun, Lost);
}

net::HttpRequest ForwardCall::encode(const Target &To) const {
  platform::ForwardHeaders Added;
  Added.m_Left = m_Run->end() - ForwardState::now();
  Added.m_Endpoint = To.m_Endpoint;
  if (m_Workspace)
    Added.m_Workspace = m_Workspace->m_Name.str();
  if (!To.m_Path.empty())
    Added.m_Path = platform::encodePath(m_Shared.m_Fleet, To.m_Path);
  Added.m_LastEvent = m_Events.lastId();
  return platform::encodeForward(m_Exchange.request(), Added);
}

asio::awaitable<std::optional<ForwardStep>> ForwardCall::exchange(Target To) {
  const Duration Idle =
      m_Route->m_Kind == decide::CallKind::AtMostOnce ? MostIdleOnce : MostIdle;
  m_Connecting = true;
  std::function<void(std::function<void()>)> Begun =
      [this](std::function<void()> Cancel) { m_Cancel = std::move(Cancel); };
  const std::unique_ptr<net::UpstreamExchange> Open =
      co_await m_Shared.m_Pool->open(To.m_Address, Idle, std::move(Begun));
  m_Connecting = false;
  m_Cancel = [Exchange = Open.get()] { Exchange->cancel(); };
  if (m_Ended != Ended::No)
    throw net::NetError(net::Phase::Connect, true, "ended while connecting");
  m_Run->beforeSend(To.m_Endpoint);
  net::HttpRequest Request = encode(To);
  co_await Open->send(std::move(Request));
  std::function<bool(const net::HttpResponse &)> IsOurs =
      [this](const net::HttpResponse &Each) {
        const std::string Id = platform::decodeAnswer(Each).m_RequestId;
        return Id.empty() || Id == m_Facts.m_Id.str();
      };
  net::HttpResponse Head = co_await Open->readHead(std::move(IsOurs));
  m_LastProgress = ForwardState::now();
  net::UpstreamExchange &From = *Open;
  co_return co_await passOn(From, std::move(Head));
}

asio::awaitable<std::optional<ForwardStep>>
ForwardCall::passOn(net::UpstreamExchange &From, net::HttpResponse Head) {
  const platform::AnswerFacts Facts = platform::decodeAnswer(Head);
  const bool Good = Head.m_Status / 100 == 2;
  if (Good && Facts.m_Events && m_Route->m_Kind == decide::CallKind::Stream) {
    if (!m_Run->headDelivered()) {
      net::HttpResponse Out = platform::encodeAnswerHead(Head);
      m_Run->onHeadDelivered();
      co_await toCaller(m_Exchange.startStream(std::move(Out)));
    }
    co_return co_await passOnEvents(From);
  }
  net::HttpResponse Answer = platform::encodeAnswerHead(Head);
  while (co_await From.readSome(Answer.m_Body))
    if (Answer.m_Body.size() > MostAnswerBytes)
      throw net::NetError(net::Phase::Read, false, "answer too large");
  if (Facts.m_SaidNotRun)
    co_return faultAt(Facts.m_FaultAddress, Head.m_Status);
  if (m_Run->headDelivered())
    co_return fault(SendFault::Broken, {m_Target.m_Endpoint});
  if (Good || Head.m_Status < 500) {
    // A promise of "not run" without the endpoint's word would be false.
    if (Head.m_Status == 429 || Head.m_Status == 408)
      co_return fault(SendFault::Broken, {m_Target.m_Endpoint});
    logOutcome("answered", Head.m_Status);
    m_Waiting = false;
    co_await toCaller(m_Exchange.respond(std::move(Answer)));
    co_return std::nullopt;
  }
  if (Head.m_Status == 503)
    co_return fault(SendFault::Broken, {m_Target.m_Endpoint});
  m_Failure = std::move(Answer);
  co_return fault(SendFault::Failed, {m_Target.m_Endpoint});
}

asio::awaitable<std::optional<ForwardStep>>
ForwardCall::passOnEvents(net::UpstreamExchange &From) {
  while (co_await From.readSome(m_Events.buffer())) {
    m_LastProgress = ForwardState::now();
    std::string Whole = m_Events.takeWhole();
    if (Whole.empty())
      continue;
    if (m_FirstEvent)
      m_LongestPause = std::max(m_LongestPause, m_LastProgress - m_LastEvent);
    m_LastEvent = m_LastProgress;
    if (!m_FirstEvent) {
      m_FirstEvent = m_LastProgress;
      m_Shared.m_Metrics.timed(router::Timing::FirstToken,
                               m_LastProgress - m_Arrived);
    }
    m_EventSeen = true;
    ++m_EventCount;
    co_await toCaller(m_Exchange.write(std::move(Whole)));
  }
  if (std::string Rest = m_Events.takeRest(); !Rest.empty())
    co_await toCaller(m_Exchange.write(std::move(Rest)));
  co_await toCaller(m_Exchange.finish());
  logOutcome("answered", 200);
  co_return std::nullopt;
}

// Tells a failed write to the caller from one to the endpoint.
asio::awaitable<void> ForwardCall::toCaller(asio::awaitable<void> Write) {
  try {
    co_await std::move(Write);
  } catch (const net::NetError &) {
    m_CallerGone = true;
    throw;
  }
}

asio::awaitable<void> ForwardCall::refuse(decide::Refusal Why) {
  m_Shared.m_Metrics.refused(Why.reason());
  net::HttpResponse Response = router::refusalResponse(Why);
  // Only what is proved not to have run may say so.
  if (Why.runState() != schema::NOT_RUN)
    Response.m_Status = Why.reason() == schema::DEADLINE_PASSED ? 504 : 502;
  if (!m_Facts.m_Id.empty())
    Response.m_Headers.push_back(
        {platform::RequestIdHeader, m_Facts.m_Id.str()});
  logOutcome(router::reasonName(Why.reason()), Response.m_Status);
  co_await m_Exchange.respond(std::move(Response));
}

void ForwardCall::end(Ended Why) {
  if (m_Ended != Ended::No || !m_Waiting)
    return;
  m_Ended = Why;
  if (m_Cancel)
    m_Cancel();
}

void ForwardCall::onTick(Instant Now) {
  m_Overdue = false;
  if (!m_Run || !m_Waiting)
    return;
  if (Now >= m_Run->end()) {
    end(Ended::Timeout);
  } else if (m_Connecting) {
    if (Now - m_LastProgress > ConnectTimeout)
      end(Ended::EngineLost);
  } else if (!m_Target.m_Path.empty()) {
    const decide::PauseFacts Facts = pauseFacts(Now);
    const decide::PauseStep Step = decide::stepFor(Facts);
    m_Overdue = Step != decide::PauseStep::Wait;
    if (Step == decide::PauseStep::Repair)
      repairOrMove(Facts, Now);
    else if (Step == decide::PauseStep::Move && goElsewhere(Now))
      end(Ended::EngineLost);
  }
}

decide::PauseFacts ForwardCall::pauseFacts(Instant Now) const {
  decide::PauseFacts Facts;
  Facts.m_Pause = Now - m_LastProgress;
  Facts.m_EventSeen = m_EventSeen;
  Facts.m_FirstWithin = m_Route->m_TargetLatency;
  for (const decide::StagePlan &Each : m_Target.m_Path) {
    const auto *Known = m_Shared.m_Fleet.find(Each.m_Endpoint);
    const bool Lost = !Known || Known->m_Suspect;
    if (Each.m_Endpoint == m_Target.m_Endpoint)
      Facts.m_FirstLost = Lost;
    else if (Lost)
      Facts.m_PathLost = true;
    else if (Known->m_LeavingOver)
      Facts.m_PathLeaves = true;
  }
  Facts.m_Repairing = m_Repairing;
  Facts.m_MayRepair = m_Repairs < MostRepairs;
  Facts.m_MayMove = m_Route->m_Resumable && m_Run->maySwitch(Now);
  return Facts;
}

// The engines of the present path that it must do without.
decide::EndpointSet ForwardCall::lostOnPath() const {
  decide::EndpointSet Lost;
  for (const decide::StagePlan &Each : m_Target.m_Path) {
    const auto *Known = m_Shared.m_Fleet.find(Each.m_Endpoint);
    if (!Known || Known->m_Suspect || Known->m_LeavingOver ||
        m_Unfit.contains(Each.m_Endpoint))
      Lost.insert(Each.m_Endpoint);
  }
  return Lost;
}

// Takes a retry for this request if another chain has room for it. Taken at
// once, since others that stand still at this moment want it too.
bool ForwardCall::goElsewhere(Instant Now) {
  if (m_Ended != Ended::No)
    return false;
  decide::EndpointSet Avoid = m_Run->avoided();
  Avoid.insert(m_Target.m_Endpoint);
  const decide::Chain *Other = m_Shared.chainsOf(m_Service)->choose(
      m_Shared.m_Fleet, m_Facts.m_Size.value_or(decide::RequestSize{}),
      DataCentreId(m_Shared.m_Settings.data_centre()), Avoid, Now,
      m_Shared.m_Random);
  m_RetryTaken =
      Other && m_Shared.budgetOf(m_Service).take(Now, m_Shared.m_Routers);
  return m_RetryTaken;
}

// Other engines of the data centre come first, then another chain, then engines
// of other data centres; these only for an engine that is lost already.
void ForwardCall::repairOrMove(const decide::PauseFacts &Facts, Instant Now) {
  if (repair(decide::RepairReach::SameDataCentre) || !Facts.m_PathLost)
    return;
  if (Facts.m_MayMove && goElsewhere(Now))
    end(Ended::EngineLost);
  else
    repair(decide::RepairReach::Anywhere);
}

// Orders the engines to go on with the request without those that are lost.
// \returns whether there is a path for it.
bool ForwardCall::repair(decide::RepairReach Reach) {
  const decide::EndpointSet Lost = lostOnPath();
  const decide::ChainRouter *Chains = m_Shared.chainsOf(m_Service);
  if (Lost.empty() || !Chains)
    return false;
  decide::Path Fresh = decide::repairPath(
      m_Shared.m_Fleet, *Chains, m_Target.m_Path, Lost, m_Unfit,
      m_Facts.m_Size ? m_Facts.m_Size->tokens() : 0, Reach);
  if (Fresh.empty())
    return false;
  ++m_Repairs;
  m_Repairing = true;
  asio::co_spawn(m_Shared.m_Io, orderPath(std::move(Fresh)), asio::detached);
  return true;
}

// The request may end while the order is under way; it is then no longer among
// the calls.
asio::awaitable<void> ForwardCall::orderPath(decide::Path Fresh) {
  const std::shared_ptr<std::set<ForwardCall *>> Calls = m_Calls;
  ForwardState &Shared = m_Shared;
  const EndpointId First = m_Target.m_Endpoint;
  const RequestId Id = m_Facts.m_Id;
  const unsigned Sends = m_Run->sends();
  net::HttpRequest Order;
  Order.m_Method = "POST";
  Order.m_Target = platform::OrderPath;
  Order.m_Headers = {{"Content-Type", "application/json"}};
  Order.m_Body = platform::encodeRepathOrder(
      Id.str(), platform::encodePath(Shared.m_Fleet, Fresh));
  unsigned Status = 0;
  std::string Detail;
  std::string FaultAddress;
  try {
    const net::HttpResponse Answer =
        co_await callEngine(Shared, First, Order, RepairTimeout);
    Status = Answer.m_Status;
    FaultAddress = platform::decodeOrderFault(Answer.m_Body);
  } catch (const Error &Wrong) {
    Detail = Wrong.what();
  }
  Shared.m_Metrics.counted("repair_ordered");
  router::logEvent(schema::INFO, "path_ordered",
                   {{"request", Id.str()},
                    {"first", First.str()},
                    {"stages", std::to_string(Fresh.size())},
                    {"status", std::to_string(Status)},
                    {"fault_at", FaultAddress},
                    {"detail", Detail}});
  if (Calls->contains(this) && m_Facts.m_Id == Id && m_Run->sends() == Sends)
    onPathOrdered(Fresh, Status, FaultAddress);
}

void ForwardCall::onPathOrdered(const decide::Path &Fresh, unsigned Status,
                                const std::string &FaultAddress) {
  m_Repairing = false;
  if (Status / 100 == 2 && m_Waiting) {
    chargeMemory(m_Target, -1);
    m_Target.m_Path = Fresh;
    chargeMemory(m_Target, 1);
    return;
  }
  if (const auto *At = m_Shared.m_Fleet.findByAddress(FaultAddress))
    m_Unfit.insert(At->m_Record.m_Id);
  if (Status == 404) // it does not run there any more
    m_Repairs = MostRepairs;
}

const decide::Path *ForwardCall::overduePath() const {
  return m_Overdue ? &m_Target.m_Path : nullptr;
}

void ForwardCall::logOutcome(const std::string &Outcome, unsigned Status) {
  std::vector<router::LogField> Fields{
      {"request", m_Facts.m_Id.str()},
      {"outcome", Outcome},
      {"status", std::to_string(Status)},
      {"ms", millisText(ForwardState::now() - m_Arrived)}};
  if (m_Route) {
    Fields.push_back({"route", m_Route->m_Name});
    Fields.push_back({"service", m_Service.str()});
    Fields.push_back({"version", std::to_string(m_Routes->config().m_Version)});
  }
  if (m_Run) {
    Fields.push_back({"sends", std::to_string(m_Run->sends())});
    Fields.push_back({"run_state", schema::RunState_Name(m_Run->runState())});
    Fields.push_back({"endpoint", m_Target.m_Endpoint.str()});
  }
  if (m_FirstEvent) {
    Fields.push_back({"first_event_ms", millisText(*m_FirstEvent - m_Arrived)});
    Fields.push_back({"events", std::to_string(m_EventCount)});
    Fields.push_back({"longest_pause_ms", millisText(m_LongestPause)});
  }
  router::logEvent(schema::INFO, "request_ended", Fields);
}

} // namespace mimosadale::forward
