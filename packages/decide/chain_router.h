// Chains of engines that requests are routed over, and their utilization.
#ifndef MIMOSADALE_DECIDE_CHAIN_ROUTER_H
#define MIMOSADALE_DECIDE_CHAIN_ROUTER_H

#include "decide/fleet.h"
#include "decide/path_chooser.h"
#include "decide/routing.h"

namespace mimosadale::decide {

/// A path whose stages tile the model, usually within one data centre.
struct Chain {
  Path m_Stages;
  DataCentreId m_DataCentre;         // of the first stage
  bool m_CrossesDataCentres = false; // some stage is in another data centre
  double m_CapacityTokens = 0;       // capacity of its smallest stage
};

/// Size of one request, in tokens.
struct RequestSize {
  double m_Prompt = 0;
  double m_MaxAnswer = 0;
  double m_ExpectedAnswer = 0;

  double tokens() const { return m_Prompt + m_ExpectedAnswer; }
};

/// Chooses among the chains of one service. Chains are rebuilt whenever the
/// fleet changes. Each data centre has as many as there are disjoint tilings; a
/// chain across data centres is built only if no data centre has a complete
/// one.
///
/// \par Thread safety
/// None.
class ChainRouter {
public:
  /// Builds the chains from the usable engines of \p Service.
  void rebuild(const Fleet &Engines, const ServiceId &Service,
               const EngineModel &Model);

  /// Returns the chain for a request of \p Size without engines in \p Avoid, or
  /// null if no chain has free memory for its prompt. Draws two chains weighted
  /// by free memory and takes the one with the lower utilization, so that
  /// routers with equally old reports do not all choose the same chain.
  const Chain *choose(const Fleet &Engines, const RequestSize &Size,
                      const DataCentreId &LocalDataCentre,
                      const EndpointSet &Avoid, Instant Now, Random &Rng) const;

  /// Utilization of \p Candidate, 1 for full: the maximum over the memory of
  /// its stages and the slots of its first one.
  double utilization(const Fleet &Engines, const Chain &Candidate,
                     Instant Now) const;

  /// The engine of \p Candidate with the highest memory utilization.
  EndpointId mostLoadedEngine(const Fleet &Engines, const Chain &Candidate,
                              Instant Now) const;

  /// Memory of an engine for requests, in tokens times layers, and the share of
  /// it that is used according to its last report or by requests of this
  /// router. A reported capacity takes precedence over that of the model, since
  /// the engine may still hold layers that it is releasing.
  double memoryCapacity(const FleetEndpoint &Engine) const;
  double memoryUtilization(const FleetEndpoint &Engine) const;

  /// Memory utilization over all routers: reported if the report is recent,
  /// else estimated from the number of requests on its chains at mean size.
  double expectedUtilization(const Fleet &Engines, const FleetEndpoint &Engine,
                             Instant Now) const;

  /// Whether \p Engine, which refused its stage with \p Status, refuses the
  /// stage itself rather than being full; see `refusesStage` of answer_rule.h.
  bool refusesItsStage(const Fleet &Engines, const FleetEndpoint &Engine,
                       unsigned Status, Instant Now) const;

  const std::vector<Chain> &chains() const { return m_Chains; }

private:
  // Requests that run or are queued at \p First, over all routers; without a
  // report those of this router only.
  static unsigned runningRequests(const FleetEndpoint &First);

  // The layers of an engine that a chain uses.
  struct ChainUse {
    std::size_t m_Chain = 0;
    std::uint32_t m_Layers = 0;
  };

  std::vector<Chain> m_Chains;
  std::map<EndpointId, std::vector<ChainUse>> m_UsesByEngine;
  EngineModel m_Model;
};

/// Tokens times layers for which an engine with \p Accelerator has memory
/// beside \p Layers layers. Safe from any thread.
double kvCapacity(const EngineModel &Model, const std::string &Accelerator,
                  std::uint32_t Layers);

} // namespace mimosadale::decide

#endif
