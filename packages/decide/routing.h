// Routing configuration: routes, services, engine models, limits and keys.
#ifndef MIMOSADALE_DECIDE_ROUTING_H
#define MIMOSADALE_DECIDE_ROUTING_H

#include "base/id.h"
#include "base/units.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mimosadale::decide {

/// Whether requests of a route may be repeated after a failure.
enum class CallKind {
  Idempotent, // may run any number of times
  AtMostOnce, // runs at most once
  Stream      // an event stream; at most once unless it is resumable
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
  bool m_Resumable = false; // a stream may continue at another endpoint
  bool m_Public = false;    // requires no API key
  Duration m_Timeout{};     // longest wait of a caller
  Duration m_TargetLatency{};
  // Longest interval between events that counts as on time.
  Duration m_TargetEventInterval{};
  unsigned m_Priority = 0; // 0 is the highest
  // Distinct endpoints that one request may be sent to.
  unsigned m_MaxEndpoints = 1;
  std::vector<WeightedService> m_Services;
};

/// One kind of accelerator, relative to the reference engine.
struct AcceleratorKind {
  double m_MemoryMb = 0;
  double m_DecodeStepFactor = 1; // factor on the time of a decode step
  double m_PrefillFactor = 1;    // factor on the time of prefill
};

/// Capacity and timing of the engines of a service, which hold layer ranges of
/// one model.
struct EngineModel {
  std::uint32_t m_Layers = 0;
  double m_LayerMb = 0;
  double m_KvBytesPerToken = 0; // over all layers
  unsigned m_FirstStageSlots = 0;
  double m_DecodeStepMs = 0;     // one decode step over all layers
  double m_SequenceStepMs = 0;   // added per running sequence
  double m_ContextMsPer1000 = 0; // added per 1,000 tokens of context
  double m_PrefillTokensPerSecond = 0;
  double m_MeanPromptTokens = 0;
  double m_MeanAnswerTokens = 0;
  double m_LoadSeconds = 0; // to load all layers
  // More concurrent loads share the rate of the weight store.
  unsigned m_MaxFullRateLoads = 1;
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
  std::optional<unsigned> m_Priority; // overrides that of the route
  std::vector<std::string> m_Keys;
};

/// One accepted configuration. Versions only increase.
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
