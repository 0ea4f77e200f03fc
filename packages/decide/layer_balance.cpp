#include "decide/layer_balance.h"

#include <algorithm>
#include <cmath>

namespace mimosadale::decide {

namespace {

// Free part of its memory that an engine keeps at least.
constexpr double LeastFree = 0.05;

// Part of its memory that an empty engine gives to layers at most.
constexpr double FreshShare = 0.62;

// A layer's cost is one over its part of the data centre's memory and this: the
// cost of a layer that no engine holds is one over this alone.
constexpr double HoleFloor = 0.01;

// The same for the memory that is left when the engine with the most of it is
// lost, and the weight of that.
constexpr double LossFloor = 0.1;
constexpr double LossWeight = 0.5;

// Gain below which nothing is changed, the cost of a layer to be loaded, and
// that of giving up all that an engine holds: it waits for its requests.
constexpr double LeastGain = 0.5;
constexpr double LoadCost = 0.05;
constexpr double MoveCost = 10;

// Engines that hand a layer on in one change: those of a long chain.
constexpr int MostPushes = 24;

// Changes in one plan; more than a data centre has engines.
constexpr int MostChanges = 400;

bool holds(LayerRange Range, std::uint32_t Layer) {
  return Range.m_First <= Layer && Layer < Range.m_End;
}

class Balance {
public:
  Balance(std::vector<LayerHolder> Holders, const EngineModel &Model)
      : m_Model(Model), m_Holders(std::move(Holders)),
        m_Room(Model.m_Layers, 0), m_Largest(Model.m_Layers, 0) {
    double Memory = 0;
    for (const LayerHolder &Each : m_Holders) {
      Memory += Each.m_MemoryMb;
      const double Room = roomOf(Each, Each.layers());
      for (std::uint32_t L = Each.m_Held.m_First; L < Each.m_Held.m_End; ++L)
        m_Room[L] += Room;
    }
    m_Usual = Memory / Model.m_Layers;
    for (std::uint32_t L = 0; L < Model.m_Layers; ++L)
      m_Largest[L] = largestAt(L, nullptr);
  }

  std::vector<LayerHolder> run() {
    for (int I = 0; I < MostChanges; ++I) {
      m_BestGain = LeastGain;
      m_Best.clear();
      for (LayerHolder &Each : m_Holders)
        Each.layers() > 0 ? tryEdges(Each) : tryPlaces(Each);
      tryPushes();
      if (m_Best.empty() && hasHole())
        for (LayerHolder &Each : m_Holders)
          tryPlaces(Each);
      if (m_Best.empty())
        break;
      for (const Change &Each : m_Best)
        apply(*Each.m_Of, Each.m_Fresh);
    }
    return std::move(m_Holders);
  }

private:
  struct Change {
    LayerHolder *m_Of;
    LayerRange m_Fresh;
  };

  bool hasHole() const {
    return std::find(m_Room.begin(), m_Room.end(), 0.0) != m_Room.end();
  }

  // Memory for requests that an engine has at each of \p Layers layers.
  double roomOf(const LayerHolder &Of, std::uint32_t Layers) const {
    if (Layers == 0)
      return 0;
    return std::max(0.0, Of.m_MemoryMb - Layers * m_Model.m_LayerMb) / Layers;
  }

  double cost(double Room, double Largest) const {
    return 1 / (Room / m_Usual + HoleFloor) +
           LossWeight / ((Room - Largest) / m_Usual + LossFloor);
  }

  // The most room that one engine other than \p Without has at a layer.
  double largestAt(std::uint32_t Layer, const LayerHolder *Without) const {
    double Largest = 0;
    for (const LayerHolder &Each : m_Holders)
      if (&Each != Without && holds(Each.m_Held, Layer))
        Largest = std::max(Largest, roomOf(Each, Each.layers()));
    return Largest;
  }

  // What the layers cost less when \p Of holds \p Fresh instead.
  double gain(const LayerHolder &Of, LayerRange Fresh) const {
    const LayerRange Old = Of.m_Held;
    const double OldRoom = roomOf(Of, Of.layers());
    const double FreshRoom = roomOf(Of, Fresh.m_End - Fresh.m_First);
    double Sum = 0;
    const auto Add = [&](std::uint32_t L) {
      const double OldHere = holds(Old, L) ? OldRoom : 0;
      const double FreshHere = holds(Fresh, L) ? FreshRoom : 0;
      const double Largest = m_Largest[L] > OldHere || OldHere == 0
                                 ? m_Largest[L]
                                 : largestAt(L, &Of);
      const double After = std::max(0.0, m_Room[L] - OldHere + FreshHere);
      Sum += cost(m_Room[L], m_Largest[L]) -
             cost(After, std::max(Largest, FreshHere));
    };
    std::uint32_t Loads = 0;
    for (std::uint32_t L = Old.m_First; L < Old.m_End; ++L)
      Add(L);
    for (std::uint32_t L = Fresh.m_First; L < Fresh.m_End; ++L)
      if (!holds(Old, L)) {
        Add(L);
        ++Loads;
      }
    const bool Moves = Of.layers() > 0 && (Fresh.m_First >= Old.m_End ||
                                           Fresh.m_End <= Old.m_First);
    return Sum - LoadCost * Loads - (Moves ? MoveCost : 0);
  }

  void consider(LayerHolder &Of, std::uint32_t First, std::uint32_t End) {
    const LayerRange Fresh{First, End};
    if (const double Gain = gain(Of, Fresh); Gain > m_BestGain) {
      m_BestGain = Gain;
      m_Best = {{&Of, Fresh}};
    }
  }

  double totalCost() const {
    double Sum = 0;
    for (std::uint32_t L = 0; L < m_Model.m_Layers; ++L)
      Sum += cost(m_Room[L], m_Largest[L]);
    return Sum;
  }

  // The same for changes that only gain together.
  void considerAll(const std::vector<Change> &Changes) {
    const std::vector<double> Room = m_Room;
    const std::vector<double> Largest = m_Largest;
    const double Before = totalCost();
    std::vector<LayerRange> Old;
    for (const Change &Each : Changes) {
      Old.push_back(Each.m_Of->m_Held);
      apply(*Each.m_Of, Each.m_Fresh);
    }
    const double Gain = Before - totalCost() -
                        LoadCost * static_cast<double>(Changes.size());
    for (std::size_t I = 0; I < Changes.size(); ++I)
      Changes[I].m_Of->m_Held = Old[I];
    m_Room = Room;
    m_Largest = Largest;
    if (Gain > m_BestGain) {
      m_BestGain = Gain;
      m_Best = Changes;
    }
  }

  // Relieves layers that no engine holds, or else the one with the least room:
  // the engines on each side hand layers on, one after the other, until one of
  // them has room for one more.
  void tryPushes() {
    const std::uint32_t End = m_Model.m_Layers;
    for (std::uint32_t L = 0; L < End; ++L) {
      if (m_Room[L] == 0 && (L == 0 || m_Room[L - 1] > 0))
        push({}, L, true);
      if (m_Room[L] == 0 && (L + 1 == End || m_Room[L + 1] > 0))
        push({}, L, false);
    }
    const auto Worst = static_cast<std::uint32_t>(
        std::min_element(m_Room.begin(), m_Room.end()) - m_Room.begin());
    if (m_Room[Worst] == 0)
      return;
    for (LayerHolder &Each : m_Holders) {
      const LayerRange Held = Each.m_Held;
      if (!holds(Held, Worst) || Each.layers() < 2)
        continue;
      push({{&Each, {Held.m_First + 1, Held.m_End}}}, Held.m_First, true);
      push({{&Each, {Held.m_First, Held.m_End - 1}}}, Held.m_End - 1, false);
    }
  }

  // Tries all ways in which the engines before (or after) \p Layer take it.
  void push(std::vector<Change> Done, std::uint32_t Layer, bool Before) {
    for (int Step = 0; Step < MostPushes; ++Step) {
      LayerHolder *Next = nullptr;
      for (LayerHolder &Each : m_Holders) {
        const bool Adjoins = Each.layers() > 0 &&
                             (Before ? Each.m_Held.m_End == Layer
                                     : Each.m_Held.m_First == Layer + 1);
        const bool Used =
            std::any_of(Done.begin(), Done.end(),
                        [&](const Change &One) { return One.m_Of == &Each; });
        if (Adjoins && !Used &&
            (!Next || roomOf(Each, Each.layers() + 1) >
                          roomOf(*Next, Next->layers() + 1)))
          Next = &Each;
      }
      if (!Next)
        return;
      const LayerRange Held = Next->m_Held;
      if (Next->layers() < mostLayers(Next->m_MemoryMb, m_Model)) {
        std::vector<Change> Whole = Done;
        Whole.push_back({Next, Before ? LayerRange{Held.m_First, Layer + 1}
                                      : LayerRange{Layer, Held.m_End}});
        considerAll(Whole);
      }
      Done.push_back({Next, Before ? LayerRange{Held.m_First + 1, Layer + 1}
                                   : LayerRange{Layer, Held.m_End - 1}});
      considerAll(Done);
      Layer = Before ? Held.m_First : Held.m_End - 1;
    }
  }

  void tryEdges(LayerHolder &Of) {
    const auto [First, End] = Of.m_Held;
    const std::uint32_t Most = mostLayers(Of.m_MemoryMb, m_Model);
    for (const std::uint32_t Step : {1u, 2u}) {
      if (Of.layers() + Step <= Most) {
        if (First >= Step)
          consider(Of, First - Step, End);
        if (End + Step <= m_Model.m_Layers)
          consider(Of, First, End + Step);
      }
      if (Of.layers() > Step) {
        consider(Of, First + Step, End);
        consider(Of, First, End - Step);
      }
    }
  }

  void tryPlaces(LayerHolder &Of) {
    const auto Most = static_cast<std::uint32_t>(
        Of.m_MemoryMb * FreshShare / m_Model.m_LayerMb);
    for (const std::uint32_t Count : {Most / 3, Most * 2 / 3, Most})
      if (Count > 0)
        for (std::uint32_t At = 0; At + Count <= m_Model.m_Layers; ++At)
          consider(Of, At, At + Count);
  }

  void apply(LayerHolder &Of, LayerRange Fresh) {
    const double OldRoom = roomOf(Of, Of.layers());
    const LayerRange Old = Of.m_Held;
    Of.m_Held = Fresh;
    const double Room = roomOf(Of, Of.layers());
    const auto Note = [&](std::uint32_t L) {
      const double Here = holds(Fresh, L) ? Room : 0;
      m_Room[L] += Here - (holds(Old, L) ? OldRoom : 0);
      if (m_Room[L] < 1e-6)
        m_Room[L] = 0; // what rounding left
      m_Largest[L] = holds(Old, L) ? largestAt(L, nullptr)
                                   : std::max(m_Largest[L], Here);
    };
    for (std::uint32_t L = Old.m_First; L < Old.m_End; ++L)
      Note(L);
    for (std::uint32_t L = Fresh.m_First; L < Fresh.m_End; ++L)
      if (!holds(Old, L))
        Note(L);
  }

  const EngineModel &m_Model;
  std::vector<LayerHolder> m_Holders;
  std::vector<double> m_Room;    // by layer, for requests, in MB a layer
  std::vector<double> m_Largest; // the part of it that one engine has
  double m_Usual = 1;
  std::vector<Change> m_Best;
  double m_BestGain = 0;
};

} // namespace

std::uint32_t mostLayers(double MemoryMb, const EngineModel &Model) {
  return static_cast<std::uint32_t>(MemoryMb * (1 - LeastFree) /
                                    Model.m_LayerMb);
}

std::vector<LayerHolder> balanceLayers(std::vector<LayerHolder> Holders,
                                       const EngineModel &Model) {
  return Balance(std::move(Holders), Model).run();
}

} // namespace mimosadale::decide
