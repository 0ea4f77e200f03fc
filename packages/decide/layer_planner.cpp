#include "decide/layer_planner.h"

#include "decide/tiling.h"

#include <algorithm>
#include <map>

namespace mimosadale::decide {

namespace {

// Part of a data centre's memory that layers may take; the rest holds requests.
constexpr double MaxLayerShare = 0.62;

// Free part of its memory that an engine keeps at least when a gap is filled.
constexpr double MinFreeShare = 0.05;

// Free part below which an engine is tight and hands layers on.
constexpr double LowMemoryFreeShare = 0.28;

// Free part at which no more engines are drawn into filling a gap: each one
// that is reloads. Less while an engine that leaves still serves the gap, since
// the others then only add to what they hold.
constexpr double GapFreeShare = 0.20;
constexpr double LeavingGapFreeShare = 0.12;

// Gain in the free part of the tighter engine below which no layer is moved.
constexpr double MinFreeShareGain = 0.08;

struct Member {
  EndpointId m_Id;
  double m_MemoryMb = 0;
  LayerRange m_Held;

  std::uint32_t layers() const { return m_Held.m_End - m_Held.m_First; }
};

using Members = std::vector<Member>;

// The chains that a data centre's memory can carry with room for requests.
std::size_t chainCount(const Members &All, const EngineModel &Model) {
  double Memory = 0;
  for (const Member &Each : All)
    Memory += Each.m_MemoryMb;
  const double OneChain = Model.m_Layers * Model.m_LayerMb;
  const auto ByMemory =
      static_cast<std::size_t>(Memory * MaxLayerShare / OneChain);
  const std::size_t ByLength = (All.size() + MaxPathStages - 1) / MaxPathStages;
  if (Memory < OneChain)
    return 0;
  return std::max<std::size_t>({1, ByMemory, ByLength});
}

// Deals the engines, largest first, to the chain with the least memory.
std::vector<Members> deal(Members All, std::size_t Chains) {
  std::stable_sort(All.begin(), All.end(),
                   [](const Member &A, const Member &B) {
                     return A.m_MemoryMb > B.m_MemoryMb;
                   });
  std::vector<Members> Dealt(Chains);
  std::vector<double> Memory(Chains, 0);
  for (const Member &Each : All) {
    const auto Least = std::min_element(Memory.begin(), Memory.end());
    *Least += Each.m_MemoryMb;
    Dealt[static_cast<std::size_t>(Least - Memory.begin())].push_back(Each);
  }
  return Dealt;
}

// Plans for the engines of one data centre.
class DataCentrePlan {
public:
  DataCentrePlan(const EngineModel &Model, Members All,
                 std::vector<StagePlan> Leaving)
      : m_Model(Model), m_All(std::move(All)), m_Leaving(std::move(Leaving)) {}

  std::vector<LayerOrder> orders() {
    const bool Empty =
        std::all_of(m_All.begin(), m_All.end(),
                    [](const Member &Each) { return Each.layers() == 0; });
    if (Empty) {
      planInitialChains();
      return m_Orders;
    }
    std::vector<StagePlan> Left;
    for (const Member &Each : m_All)
      if (Each.layers() > 0)
        Left.push_back({Each.m_Id, Each.m_Held});
    const std::size_t Wanted =
        std::max<std::size_t>(1, chainCount(m_All, m_Model));
    const std::vector<Path> Chains = disjointTilings(Left, m_Model.m_Layers);
    if (Chains.size() < Wanted) {
      std::vector<StagePlan> Serving = Left;
      Serving.insert(Serving.end(), m_Leaving.begin(), m_Leaving.end());
      // While an engine that leaves still serves, the others only add its
      // layers to theirs.
      m_GapFreeTarget = fewestStages(Serving, m_Model.m_Layers).empty()
                            ? GapFreeShare
                            : LeavingGapFreeShare;
      fillGap(Left);
      return m_Orders;
    }
    for (const Path &Each : Chains)
      if (resolveOverlap(Each))
        return m_Orders;
    // Engines that no chain uses are as good as idle.
    std::vector<EndpointId> Idle;
    for (const Member &Each : m_All)
      if (Each.layers() == 0)
        Idle.push_back(Each.m_Id);
    for (const StagePlan &Each : Left)
      Idle.push_back(Each.m_Endpoint);
    if (!Idle.empty())
      assignIdle(Chains, Idle.front());
    else
      balance(Chains);
    return m_Orders;
  }

private:
  Member &member(const EndpointId &Id) {
    return *std::find_if(m_All.begin(), m_All.end(),
                         [&](const Member &Each) { return Each.m_Id == Id; });
  }

  double freeShare(const Member &Of, std::uint32_t Layers) const {
    return 1 - Layers * m_Model.m_LayerMb / Of.m_MemoryMb;
  }

  void order(const EndpointId &Id, LayerRange Layers) {
    if (member(Id).m_Held != Layers)
      m_Orders.push_back({Id, Layers});
  }

  void planInitialChains() {
    const std::size_t Chains = chainCount(m_All, m_Model);
    if (Chains == 0)
      return;
    for (const Members &Chain : deal(m_All, Chains)) {
      const auto Ranges = split(Chain, {0, m_Model.m_Layers});
      for (std::size_t I = 0; I < Ranges.size(); ++I)
        if (Ranges[I].m_First < Ranges[I].m_End)
          order(Chain[I].m_Id, Ranges[I]);
    }
  }

  // The layers of \p Over for \p Engines in their order; empty if they do not
  // fit.
  std::vector<LayerRange> split(const Members &Engines, LayerRange Over) const {
    std::vector<double> Memory;
    for (const Member &Each : Engines)
      Memory.push_back(Each.m_MemoryMb * (1 - MinFreeShare));
    std::vector<LayerRange> Ranges =
        splitByMemory(Memory, Over.m_End - Over.m_First, m_Model.m_LayerMb);
    for (LayerRange &Each : Ranges) {
      Each.m_First += Over.m_First;
      Each.m_End += Over.m_First;
    }
    return Ranges;
  }

  double tightest(const Members &Engines,
                  const std::vector<LayerRange> &Ranges) const {
    double Least = 1;
    for (std::size_t I = 0; I < Ranges.size(); ++I)
      Least = std::min(
          Least, freeShare(Engines[I], Ranges[I].m_End - Ranges[I].m_First));
    return Least;
  }

  // Fills the first gap in what the engines \p Left hold together.
  void fillGap(const std::vector<StagePlan> &Left) {
    Members Holders;
    for (const StagePlan &Each : Left)
      Holders.push_back(member(Each.m_Endpoint));
    std::sort(
        Holders.begin(), Holders.end(),
        [](const Member &A, const Member &B) { return A.m_Held < B.m_Held; });
    // Without what others of the chain hold as well, each layer has one holder.
    Members Chain;
    std::uint32_t Covered = 0;
    std::optional<LayerRange> Gap;
    for (const Member &Each : Holders) {
      if (Each.m_Held.m_End <= Covered)
        continue;
      if (Each.m_Held.m_First > Covered && !Gap)
        Gap = LayerRange{Covered, Each.m_Held.m_First};
      Chain.push_back(Each);
      Covered = Each.m_Held.m_End;
    }
    if (!Gap && Covered < m_Model.m_Layers)
      Gap = LayerRange{Covered, m_Model.m_Layers};
    if (!Gap)
      return;
    const auto Right =
        std::find_if(Chain.begin(), Chain.end(), [&](const Member &Each) {
          return Each.m_Held.m_First >= Gap->m_End;
        });
    std::size_t First = static_cast<std::size_t>(Right - Chain.begin());
    std::size_t Last = First;
    Members Idle;
    for (const Member &Each : m_All)
      if (Each.layers() == 0)
        Idle.push_back(Each);
    fillFromWindow(Chain, *Gap, First, Last, std::move(Idle));
  }

  // Widens the window [First, Last) of the chain around the gap until its
  // engines, with the idle ones in the gap, have room for requests.
  void fillFromWindow(const Members &Chain, LayerRange Gap, std::size_t First,
                      std::size_t Last, Members Idle) {
    double Best = -1;
    Members BestEngines;
    std::vector<LayerRange> BestRanges;
    while (true) {
      Members Engines(Chain.begin() + static_cast<std::ptrdiff_t>(First),
                      Chain.begin() + static_cast<std::ptrdiff_t>(Last));
      const auto Middle =
          std::find_if(Engines.begin(), Engines.end(), [&](const Member &Each) {
            return Each.m_Held.m_First >= Gap.m_End;
          });
      Engines.insert(Middle, Idle.begin(), Idle.end());
      const LayerRange Over{First == 0 ? 0 : Chain[First - 1].m_Held.m_End,
                            Last == Chain.size() ? m_Model.m_Layers
                                                 : Chain[Last].m_Held.m_First};
      const auto Ranges = split(Engines, Over);
      if (!Ranges.empty()) {
        const double Free = tightest(Engines, Ranges);
        if (Free > Best + MinFreeShareGain) {
          Best = Free;
          BestEngines = Engines;
          BestRanges = Ranges;
        }
      }
      if (Best >= m_GapFreeTarget || (First == 0 && Last == Chain.size()))
        break;
      First -= First > 0 ? 1 : 0;
      Last += Last < Chain.size() ? 1 : 0;
    }
    for (std::size_t I = 0; I < BestRanges.size(); ++I)
      order(BestEngines[I].m_Id, BestRanges[I]);
  }

  // Two neighbours that hold the same layers: each keeps a part, by memory.
  bool resolveOverlap(const Path &Chain) {
    for (std::size_t I = 0; I + 1 < Chain.size(); ++I) {
      const Member &Left = member(Chain[I].m_Endpoint);
      const Member &Right = member(Chain[I + 1].m_Endpoint);
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
      order(Left.m_Id, {Left.m_Held.m_First, Cut});
      order(Right.m_Id, {Cut, Right.m_Held.m_End});
      return true;
    }
    return false;
  }

  const Member *fullestMember(const std::vector<Path> &Chains) {
    const Member *Found = nullptr;
    for (const Path &Chain : Chains)
      for (const StagePlan &Each : Chain) {
        const Member &One = member(Each.m_Endpoint);
        if (!Found ||
            freeShare(One, One.layers()) < freeShare(*Found, Found->layers()))
          Found = &One;
      }
    return Found;
  }

  // An idle engine takes the upper part of the tightest one's layers; that one
  // gives them up in the next plan.
  void assignIdle(const std::vector<Path> &Chains, const EndpointId &Idle) {
    const Member &Tight = *fullestMember(Chains);
    const Member &Taker = member(Idle);
    // It already holds a part of the tight one's layers: that one gives it up.
    if (Taker.layers() > 0 && Taker.m_Held.m_End == Tight.m_Held.m_End &&
        Taker.m_Held.m_First > Tight.m_Held.m_First) {
      order(Tight.m_Id, {Tight.m_Held.m_First, Taker.m_Held.m_First});
      return;
    }
    if (freeShare(Tight, Tight.layers()) >
            LowMemoryFreeShare + MinFreeShareGain ||
        Tight.layers() < 2)
      return;
    const auto Ranges = split({Tight, Taker}, Tight.m_Held);
    if (!Ranges.empty() && Ranges[1].m_First < Ranges[1].m_End)
      order(Idle, Ranges[1]);
  }

  // The tightest engine's neighbour with more room takes layers from its edge;
  // the overlap is resolved in the next plan.
  void balance(const std::vector<Path> &Chains) {
    const Member &Tight = *fullestMember(Chains);
    const double Free = freeShare(Tight, Tight.layers());
    if (Free > LowMemoryFreeShare)
      return;
    for (const Path &Chain : Chains)
      for (std::size_t I = 0; I < Chain.size(); ++I) {
        if (Chain[I].m_Endpoint != Tight.m_Id)
          continue;
        const Member *Best = nullptr;
        for (const std::size_t J : {I - 1, I + 1})
          if (J < Chain.size()) {
            const Member &Each = member(Chain[J].m_Endpoint);
            if (!Best || freeShare(Each, Each.layers()) >
                             freeShare(*Best, Best->layers()))
              Best = &Each;
          }
        if (Best)
          expandInto(*Best, Tight);
        return;
      }
  }

  void expandInto(const Member &Roomy, const Member &Tight) {
    const bool Before = Roomy.m_Held.m_First < Tight.m_Held.m_First;
    const Member &Left = Before ? Roomy : Tight;
    const Member &Right = Before ? Tight : Roomy;
    const auto Ranges =
        split({Left, Right}, {Left.m_Held.m_First, Right.m_Held.m_End});
    if (Ranges.empty() ||
        tightest({Left, Right}, Ranges) <
            freeShare(Tight, Tight.layers()) + MinFreeShareGain)
      return;
    order(Roomy.m_Id, Before ? Ranges[0] : Ranges[1]);
  }

  const EngineModel &m_Model;
  Members m_All;
  std::vector<StagePlan> m_Leaving;      // engines that leave and still serve
  double m_GapFreeTarget = GapFreeShare; // at which a gap counts as well filled
  std::vector<LayerOrder> m_Orders;
};

} // namespace

std::vector<LayerRange> splitByMemory(const std::vector<double> &MemoryMb,
                                      std::uint32_t Layers, double LayerMb) {
  std::vector<std::uint32_t> Count(MemoryMb.size(), 0);
  for (std::uint32_t L = 0; L < Layers; ++L) {
    std::size_t Best = MemoryMb.size();
    double BestRoom = 0;
    for (std::size_t I = 0; I < MemoryMb.size(); ++I) {
      if ((Count[I] + 1) * LayerMb > MemoryMb[I])
        continue;
      const double Room = MemoryMb[I] / (Count[I] + 1);
      if (Room > BestRoom) {
        BestRoom = Room;
        Best = I;
      }
    }
    if (Best == MemoryMb.size())
      return {};
    ++Count[Best];
  }
  std::vector<LayerRange> Ranges;
  std::uint32_t First = 0;
  for (const std::uint32_t Each : Count) {
    Ranges.push_back({First, First + Each});
    First += Each;
  }
  return Ranges;
}

std::vector<LayerOrder> planLayers(const Fleet &Engines,
                                   const ServiceId &Service,
                                   const EngineModel &Model) {
  std::map<DataCentreId, Members> ByDataCentre;
  std::map<DataCentreId, std::vector<StagePlan>> Leaving;
  for (const auto &[Id, Known] : Engines.all()) {
    const auto Kind = Model.m_Kinds.find(Known.m_Record.m_Accelerator);
    if (Known.m_Record.m_Service != Service || Kind == Model.m_Kinds.end())
      continue;
    if (Known.usable())
      ByDataCentre[Known.m_Record.m_DataCentre].push_back(
          {Id, Kind->second.m_MemoryMb, Known.m_Record.m_Layers});
    else if (Known.routable())
      Leaving[Known.m_Record.m_DataCentre].push_back(
          {Id, Known.m_Record.m_Layers});
  }
  std::vector<LayerOrder> Orders;
  for (auto &[DataCentre, All] : ByDataCentre)
    for (LayerOrder &Each :
         DataCentrePlan(Model, std::move(All), Leaving[DataCentre]).orders())
      Orders.push_back(std::move(Each));
  return Orders;
}

} // namespace mimosadale::decide
