// What operators declared for a fleet of chained engines and plain services.
#ifndef MIMOSADALE_DECIDE_ROUTING_H
#define MIMOSADALE_DECIDE_ROUTING_H

#include "base/id.h"
#include "base/units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// What a route allows to be done again after a failure.
enum class CallKind {
  Idempotent, // may run any number of times
  AtMostOnce, // runs once at most
  Stream      // a series of events; at most once unless it may be resumed
};

struct WeightedService {
  ServiceId m_Service;
  double m_Weight = 1;
};

struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_Prefix; // begins and ends with a slash
  CallKind m_Kind = CallKind::AtMostOnce;
  bool m_Resumable = false; // a stream may go on at another endpoint
  bool m_Public = false;    // needs no key
  Duration m_Timeout{};     // longest time a caller is kept waiting
  Duration m_TargetLatency{};
  Duration
      m_TargetEventInterval{}; // longest pause between events that is on time
  unsigned m_Priority = 0;     // 0 is the highest
  unsigned m_MaxEndpoints = 1; // endpoints that one request may be sent to
  std::vector<WeightedService> m_Services;
};

/// One kind of accelerator, against the reference engine.
struct AcceleratorKind {
  double m_MemoryMb = 0;
  double m_DecodeStepFactor = 1; // time of a decode step, times this
  double m_PrefillFactor = 1;    // time of reading prompts, times this
};

/// How the engines of a service work: one model, held in layer ranges.
struct EngineModel {
  std::uint32_t m_Layers = 0;
  double m_LayerMb = 0;
  double m_KvBytesPerToken = 0; // over all layers
  unsigned m_FirstStageSlots = 0;
  double m_DecodeStepMs = 0;           // of a decode step over all layers
  double m_SequenceStepMs = 0;         // added for each running sequence
  double m_ContextMsPer1000 = 0;       // added for 1,000 tokens of context
  double m_PrefillTokensPerSecond = 0; // prompt tokens
  double m_MeanPromptTokens = 0;       // mean tokens
  double m_MeanAnswerTokens = 0;       // mean tokens
  double m_LoadSeconds = 0;            // to load all layers
  unsigned m_MaxFullRateLoads = 1; // more share the rate of the weight store
  Duration m_ReportLag{};
  std::map<std::string, AcceleratorKind> m_Kinds;
};

struct ServiceInfo {
  ServiceId m_Name;
  std::string m_HealthPath;
  unsigned m_MaxConnections = 0; // per endpoint, over all routers
  std::optional<EngineModel> m_Engine;
};

struct CallerLimits {
  std::size_t m_HeaderBytes = 16384;
  std::size_t m_BodyBytes = 1 << 20;
  Duration m_HeaderTimeout = std::chrono::seconds(10);
  Duration m_IdleTimeout = std::chrono::seconds(60);
};

struct WorkspaceKeys {
  WorkspaceId m_Name;
  std::optional<unsigned> m_Priority; // goes before the route's
  std::vector<std::string> m_Keys;
};

/// One accepted configuration. Versions only rise.
struct RoutingConfig {
  std::uint64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::vector<ServiceInfo> m_Services;
  CallerLimits m_Limits;
  bool m_KeysRequired = false;
  std::vector<WorkspaceKeys> m_Workspaces;
};

} // namespace mimosadale::decide

#endif
