#include "decide/layer_planner.h"

#include "decide/tiling.h"

#include <algorithm>
#include <map>

namespace mimosadale::decide {

namespace {

// Share of a data centre's memory that layers may use; the rest is for
// requests.
constexpr double MaxLayerShare = 0.62;

// Least share of its memory that an engine keeps free when layers are split.
constexpr double MinFreeShare = 0.05;

// Free share below which an engine is low on memory and passes layers on.
constexpr double LowMemoryFreeShare = 0.28;

// Free share at which no more engines are included in filling a gap, because
// each one has to reload. Lower while a leaving engine still serves the gap,
// because the others then only add layers to those they hold.
constexpr double GapFreeShare = 0.20;
constexpr double LeavingGapFreeShare = 0.12;

// Least gain in the lower free share of two engines for which layers are moved.
constexpr double MinFreeShareGain = 0.08;

struct Member {
  EndpointId m_Id;
  double m_MemoryMb = 0;
  LayerRange m_Held;

  std::uint32_t layers() const { return m_Held.m_End - m_Held.m_First; }
};

using Members = std::vector<Member>;

// The number of chains that fit into a data centre's memory with free memory
// for requests.
std::size_t chainCount(const Members &All, const EngineModel &Model) {
  double Memory = 0;
  for (const Member &Engine : All)
    Memory += Engine.m_MemoryMb;
  const double OneChain = Model.m_Layers * Model.m_LayerMb;
  const auto ByMemory =
      static_cast<std::size_t>(Memory * MaxLayerShare / OneChain);
  const std::size_t ByLength = (All.size() + MaxPathStages - 1) / MaxPathStages;
  if (Memory < OneChain)
    return 0;
  return std::max<std::size_t>({1, ByMemory, ByLength});
}

// Assigns each engine, largest first, to the chain with the least memory.
std::vector<Members> assignToChains(Members All, std::size_t Chains) {
  std::stable_sort(All.begin(), All.end(),
                   [](const Member &A, const Member &B) {
                     return A.m_MemoryMb > B.m_MemoryMb;
                   });
  std::vector<Members> Assigned(Chains);
  std::vector<double> Memory(Chains, 0);
  for (const Member &Engine : All) {
    const auto Smallest = std::min_element(Memory.begin(), Memory.end());
    *Smallest += Engine.m_MemoryMb;
    Assigned[static_cast<std::size_t>(Smallest - Memory.begin())].push_back(
        Engine);
  }
  return Assigned;
}

// Computes the orders for the engines of one data centre.
class DataCentrePlan {
public:
  DataCentrePlan(const EngineModel &Model, Members All,
                 std::vector<StagePlan> Leaving)
      : m_Model(Model), m_All(std::move(All)), m_Leaving(std::move(Leaving)) {}

  std::vector<LayerOrder> orders() {
    const bool Empty =
        std::all_of(m_All.begin(), m_All.end(),
                    [](const Member &Engine) { return Engine.layers() == 0; });
    if (Empty) {
      planInitialChains();
      return m_Orders;
    }
    std::vector<StagePlan> Unused;
    for (const Member &Engine : m_All)
      if (Engine.layers() > 0)
        Unused.push_back({Engine.m_Id, Engine.m_Held});
    const std::size_t Wanted =
        std::max<std::size_t>(1, chainCount(m_All, m_Model));
    const std::vector<Path> Chains = disjointTilings(Unused, m_Model.m_Layers);
    if (Chains.size() < Wanted) {
      std::vector<StagePlan> Serving = Unused;
      Serving.insert(Serving.end(), m_Leaving.begin(), m_Leaving.end());
      // While a leaving engine still serves, the others only add its layers to
      // theirs.
      m_GapFreeTarget = fewestStages(Serving, m_Model.m_Layers).empty()
                            ? GapFreeShare
                            : LeavingGapFreeShare;
      fillGap(Unused);
      return m_Orders;
    }
    for (const Path &Chain : Chains)
      if (resolveOverlap(Chain))
        return m_Orders;
    // Engines that no chain uses count as idle.
    std::vector<EndpointId> Idle;
    for (const Member &Engine : m_All)
      if (Engine.layers() == 0)
        Idle.push_back(Engine.m_Id);
    for (const StagePlan &Stage : Unused)
      Idle.push_back(Stage.m_Endpoint);
    if (!Idle.empty())
      assignIdle(Chains, Idle.front());
    else
      balance(Chains);
    return m_Orders;
  }

private:
  Member &memberById(const EndpointId &Id) {
    return *std::find_if(m_All.begin(), m_All.end(), [&](const Member &Engine) {
      return Engine.m_Id == Id;
    });
  }

  double freeShare(const Member &Engine, std::uint32_t Layers) const {
    return 1 - Layers * m_Model.m_LayerMb / Engine.m_MemoryMb;
  }

  void addOrder(const EndpointId &Id, LayerRange Layers) {
    if (memberById(Id).m_Held != Layers)
      m_Orders.push_back({Id, Layers});
  }

  void planInitialChains() {
    const std::size_t Chains = chainCount(m_All, m_Model);
    if (Chains == 0)
      return;
    for (const Members &Chain : assignToChains(m_All, Chains)) {
      const auto Ranges = split(Chain, {0, m_Model.m_Layers});
      for (std::size_t I = 0; I < Ranges.size(); ++I)
        if (Ranges[I].m_First < Ranges[I].m_End)
          addOrder(Chain[I].m_Id, Ranges[I]);
    }
  }

  // Splits the layers of \p Range over \p Engines in their order; empty if they
  // do not fit.
  std::vector<LayerRange> split(const Members &Engines,
                                LayerRange Range) const {
    std::vector<double> Memory;
    for (const Member &Engine : Engines)
      Memory.push_back(Engine.m_MemoryMb * (1 - MinFreeShare));
    std::vector<LayerRange> Ranges =
        splitByMemory(Memory, Range.m_End - Range.m_First, m_Model.m_LayerMb);
    for (LayerRange &Part : Ranges) {
      Part.m_First += Range.m_First;
      Part.m_End += Range.m_First;
    }
    return Ranges;
  }

  double smallestFreeShare(const Members &Engines,
                           const std::vector<LayerRange> &Ranges) const {
    double Smallest = 1;
    for (std::size_t I = 0; I < Ranges.size(); ++I)
      Smallest = std::min(
          Smallest, freeShare(Engines[I], Ranges[I].m_End - Ranges[I].m_First));
    return Smallest;
  }

  // Fills the first gap between the layers that the engines \p Unused hold.
  void fillGap(const std::vector<StagePlan> &Unused) {
    Members Holders;
    for (const StagePlan &Stage : Unused)
      Holders.push_back(memberById(Stage.m_Endpoint));
    std::sort(
        Holders.begin(), Holders.end(),
        [](const Member &A, const Member &B) { return A.m_Held < B.m_Held; });
    // Skips engines whose layers others of the chain hold too.
    Members Chain;
    std::uint32_t Covered = 0;
    std::optional<LayerRange> Gap;
    for (const Member &Engine : Holders) {
      if (Engine.m_Held.m_End <= Covered)
        continue;
      if (Engine.m_Held.m_First > Covered && !Gap)
        Gap = LayerRange{Covered, Engine.m_Held.m_First};
      Chain.push_back(Engine);
      Covered = Engine.m_Held.m_End;
    }
    if (!Gap && Covered < m_Model.m_Layers)
      Gap = LayerRange{Covered, m_Model.m_Layers};
    if (!Gap)
      return;
    const auto Right =
        std::find_if(Chain.begin(), Chain.end(), [&](const Member &Engine) {
          return Engine.m_Held.m_First >= Gap->m_End;
        });
    std::size_t First = static_cast<std::size_t>(Right - Chain.begin());
    std::size_t Last = First;
    Members Idle;
    for (const Member &Engine : m_All)
      if (Engine.layers() == 0)
        Idle.push_back(Engine);
    fillFromWindow(Chain, *Gap, First, Last, std::move(Idle));
  }

  // Widens the window [First, Last) of the chain around the gap until its
  // engines, together with the idle ones in the gap, have free memory for
  // requests.
  void fillFromWindow(const Members &Chain, LayerRange Gap, std::size_t First,
                      std::size_t Last, Members Idle) {
    double BestFreeShare = -1;
    Members BestEngines;
    std::vector<LayerRange> BestRanges;
    while (true) {
      Members Engines(Chain.begin() + static_cast<std::ptrdiff_t>(First),
                      Chain.begin() + static_cast<std::ptrdiff_t>(Last));
      const auto Middle = std::find_if(
          Engines.begin(), Engines.end(), [&](const Member &Engine) {
            return Engine.m_Held.m_First >= Gap.m_End;
          });
      Engines.insert(Middle, Idle.begin(), Idle.end());
      const LayerRange Range{First == 0 ? 0 : Chain[First - 1].m_Held.m_End,
                             Last == Chain.size() ? m_Model.m_Layers
                                                  : Chain[Last].m_Held.m_First};
      const auto Ranges = split(Engines, Range);
      if (!Ranges.empty()) {
        const double Free = smallestFreeShare(Engines, Ranges);
        if (Free > BestFreeShare + MinFreeShareGain) {
          BestFreeShare = Free;
          BestEngines = Engines;
          BestRanges = Ranges;
        }
      }
      if (BestFreeShare >= m_GapFreeTarget ||
          (First == 0 && Last == Chain.size()))
        break;
      First -= First > 0 ? 1 : 0;
      Last += Last < Chain.size() ? 1 : 0;
    }
    for (std::size_t I = 0; I < BestRanges.size(); ++I)
      addOrder(BestEngines[I].m_Id, BestRanges[I]);
  }

  // Splits the layers that two neighbours both hold between them, by memory.
  bool resolveOverlap(const Path &Chain) {
    for (std::size_t I = 0; I + 1 < Chain.size(); ++I) {
      const Member &Left = memberById(Chain[I].m_Endpoint);
      const Member &Right = memberById(Chain[I + 1].m_Endpoint);
      if (Right.m_Held.m_First >= Left.m_Held.m_End ||
          Right.m_Held.m_First <= Left.m_Held.m_First ||
          Right.m_Held.m_End <= Left.m_Held.m_End)
        continue;
      const auto Ranges =
          split({Left, Right}, {Left.m_Held.m_First, Right.m_Held.m_End});
      if (Ranges.empty())
        continue;
      const std::uint32_t Cut =
          std::clamp(Ranges[0].m_End, Right.m_Held.m_First, Left.m_Held.m_End);
      addOrder(Left.m_Id, {Left.m_Held.m_First, Cut});
      addOrder(Right.m_Id, {Cut, Right.m_Held.m_End});
      return true;
    }
    return false;
  }

  const Member *mostUsedMember(const std::vector<Path> &Chains) {
    const Member *MostUsed = nullptr;
    for (const Path &Chain : Chains)
      for (const StagePlan &Stage : Chain) {
        const Member &Candidate = memberById(Stage.m_Endpoint);
        if (!MostUsed || freeShare(Candidate, Candidate.layers()) <
                             freeShare(*MostUsed, MostUsed->layers()))
          MostUsed = &Candidate;
      }
    return MostUsed;
  }

  // The idle engine takes the upper layers of the engine with the smallest free
  // share, which releases them in the next plan.
  void assignIdle(const std::vector<Path> &Chains, const EndpointId &Idle) {
    const Member &MostUsed = *mostUsedMember(Chains);
    const Member &Receiver = memberById(Idle);
    // The idle engine already holds the upper layers: the other one releases
    // them.
    if (Receiver.layers() > 0 &&
        Receiver.m_Held.m_End == MostUsed.m_Held.m_End &&
        Receiver.m_Held.m_First > MostUsed.m_Held.m_First) {
      addOrder(MostUsed.m_Id,
               {MostUsed.m_Held.m_First, Receiver.m_Held.m_First});
      return;
    }
    if (freeShare(MostUsed, MostUsed.layers()) >
            LowMemoryFreeShare + MinFreeShareGain ||
        MostUsed.layers() < 2)
      return;
    const auto Ranges = split({MostUsed, Receiver}, MostUsed.m_Held);
    if (!Ranges.empty() && Ranges[1].m_First < Ranges[1].m_End)
      addOrder(Idle, Ranges[1]);
  }

  // The neighbour with more free memory takes layers from the edge of the
  // engine with the smallest free share; the overlap is resolved in the next
  // plan.
  void balance(const std::vector<Path> &Chains) {
    const Member &MostUsed = *mostUsedMember(Chains);
    const double Free = freeShare(MostUsed, MostUsed.layers());
    if (Free > LowMemoryFreeShare)
      return;
    for (const Path &Chain : Chains)
      for (std::size_t I = 0; I < Chain.size(); ++I) {
        if (Chain[I].m_Endpoint != MostUsed.m_Id)
          continue;
        const Member *Best = nullptr;
        for (const std::size_t J : {I - 1, I + 1})
          if (J < Chain.size()) {
            const Member &Engine = memberById(Chain[J].m_Endpoint);
            if (!Best || freeShare(Engine, Engine.layers()) >
                             freeShare(*Best, Best->layers()))
              Best = &Engine;
          }
        if (Best)
          expandInto(*Best, MostUsed);
        return;
      }
  }

  void expandInto(const Member &Receiver, const Member &MostUsed) {
    const bool Before = Receiver.m_Held.m_First < MostUsed.m_Held.m_First;
    const Member &Left = Before ? Receiver : MostUsed;
    const Member &Right = Before ? MostUsed : Receiver;
    const auto Ranges =
        split({Left, Right}, {Left.m_Held.m_First, Right.m_Held.m_End});
    if (Ranges.empty() ||
        smallestFreeShare({Left, Right}, Ranges) <
            freeShare(MostUsed, MostUsed.layers()) + MinFreeShareGain)
      return;
    addOrder(Receiver.m_Id, Before ? Ranges[0] : Ranges[1]);
  }

  const EngineModel &m_Model;
  Members m_All;
  std::vector<StagePlan> m_Leaving;      // leaving engines that still serve
  double m_GapFreeTarget = GapFreeShare; // free share that ends the widening
  std::vector<LayerOrder> m_Orders;
};

} // namespace

std::vector<LayerRange> splitByMemory(const std::vector<double> &MemoryMb,
                                      std::uint32_t Layers, double LayerMb) {
  std::vector<std::uint32_t> Count(MemoryMb.size(), 0);
  for (std::uint32_t L = 0; L < Layers; ++L) {
    std::size_t Best = MemoryMb.size();
    double BestMemoryPerLayer = 0;
    for (std::size_t I = 0; I < MemoryMb.size(); ++I) {
      if ((Count[I] + 1) * LayerMb > MemoryMb[I])
        continue;
      const double MemoryPerLayer = MemoryMb[I] / (Count[I] + 1);
      if (MemoryPerLayer > BestMemoryPerLayer) {
        BestMemoryPerLayer = MemoryPerLayer;
        Best = I;
      }
    }
    if (Best == MemoryMb.size())
      return {};
    ++Count[Best];
  }
  std::vector<LayerRange> Ranges;
  std::uint32_t First = 0;
  for (const std::uint32_t Length : Count) {
    Ranges.push_back({First, First + Length});
    First += Length;
  }
  return Ranges;
}

std::vector<LayerOrder> planLayers(const Fleet &Engines,
                                   const ServiceId &Service,
                                   const EngineModel &Model) {
  std::map<DataCentreId, Members> ByDataCentre;
  std::map<DataCentreId, std::vector<StagePlan>> Leaving;
  for (const auto &[Id, Engine] : Engines.all()) {
    const auto Kind = Model.m_Kinds.find(Engine.m_Record.m_Accelerator);
    if (Engine.m_Record.m_Service != Service || Kind == Model.m_Kinds.end())
      continue;
    if (Engine.usable())
      ByDataCentre[Engine.m_Record.m_DataCentre].push_back(
          {Id, Kind->second.m_MemoryMb, Engine.m_Record.m_Layers});
    else if (Engine.routable())
      Leaving[Engine.m_Record.m_DataCentre].push_back(
          {Id, Engine.m_Record.m_Layers});
  }
  std::vector<LayerOrder> Orders;
  for (auto &[DataCentre, All] : ByDataCentre)
    for (LayerOrder &Order :
         DataCentrePlan(Model, std::move(All), Leaving[DataCentre]).orders())
      Orders.push_back(std::move(Order));
  return Orders;
}

} // namespace mimosadale::decide
