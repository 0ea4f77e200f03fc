// Paths of requests over chained engines, and how full each of them is.
#ifndef MIMOSADALE_DECIDE_CHAIN_ROUTER_H
#define MIMOSADALE_DECIDE_CHAIN_ROUTER_H

#include "decide/fleet.h"
#include "decide/path_chooser.h"
#include "decide/routing.h"

namespace mimosadale::decide {

/// A path whose stages tile the model; most lie within one data centre.
struct Chain {
  Path m_Stages;
  DataCentreId m_DataCentre;         // of the first stage
  bool m_CrossesDataCentres = false; // some hop leaves the data centre
  double m_CapacityTokens = 0;       // tokens that its tightest stage can hold
};

/// Size of one request, in tokens.
struct RequestSize {
  double m_Prompt = 0;
  double m_MaxAnswer = 0;
  double m_ExpectedAnswer = 0;

  double tokens() const { return m_Prompt + m_ExpectedAnswer; }
};

/// Chooses among the chains of one service. Chains are built anew whenever the
/// fleet changes: within a data centre as many as there are disjoint tilings,
/// and one across data centres only when no data centre has a whole one.
///
/// \par Thread safety
/// None.
class ChainRouter {
public:
  /// Builds the chains from the usable engines of \p Service.
  void rebuild(const Fleet &Engines, const ServiceId &Service,
               const EngineModel &Model);

  /// The chain for a request of \p Size, without the engines of \p Avoid; none
  /// when no chain is left that is whole and has room for its prompt. Of two
  /// drawn by their free room the emptier one is taken, so that routers with
  /// equally old reports spread out.
  const Chain *choose(const Fleet &Engines, const RequestSize &Size,
                      const DataCentreId &Here, const EndpointSet &Avoid,
                      Instant Now, Random &Rng) const;

  /// The part of \p Of that is taken, 1 for full: of the memory of its tightest
  /// stage, or of the places of its first one.
  double utilization(const Fleet &Engines, const Chain &Of, Instant Now) const;

  /// The engine of \p Of whose memory is taken the most.
  EndpointId mostLoadedEngine(const Fleet &Engines, const Chain &Of,
                              Instant Now) const;

  /// What an engine can hold for requests beside its layers, in tokens times
  /// layers, and the part of it that is taken by its last word or by what this
  /// router sent. Its own word of the room goes before the model, since it may
  /// still hold layers that it is giving up.
  double memoryCapacity(const FleetEndpoint &Of) const;
  double memoryUtilization(const FleetEndpoint &Of) const;

  /// The part that is taken, for all routers: its own word if that is recent,
  /// else what the requests that run on its chains take if they are of the
  /// usual size.
  double expectedUtilization(const Fleet &Engines, const FleetEndpoint &Of,
                             Instant Now) const;

  /// Whether \p Of, which refused its part with \p Status, refuses the part
  /// itself; see `refusesStage` of answer_rule.h.
  bool refusesItsStage(const Fleet &Engines, const FleetEndpoint &Of,
                       unsigned Status, Instant Now) const;

  const std::vector<Chain> &chains() const { return m_Chains; }

private:
  // Requests that \p First runs or is about to, for all routers; as many as
  // this router knows of where there is no report.
  static unsigned runningRequests(const FleetEndpoint &First);

  // The part that a chain has in an engine.
  struct ChainUse {
    std::size_t m_Chain = 0;
    std::uint32_t m_Layers = 0;
  };

  std::vector<Chain> m_Chains;
  std::map<EndpointId, std::vector<ChainUse>> m_UsesByEngine; // by engine
  EngineModel m_Model;
};

/// Tokens times layers that an engine with \p Accelerator can hold beside
/// \p Layers layers. Safe from any thread.
double kvCapacity(const EngineModel &Model, const std::string &Accelerator,
                  std::uint32_t Layers);

} // namespace mimosadale::decide

#endif
