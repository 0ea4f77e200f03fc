#include "decide/repair_gate.h"

namespace mimosadale::decide {

namespace {

// Longest time that others wait for an order's answer: half of the shortest
// pause that counts as late.
constexpr Duration LongestWait = std::chrono::milliseconds(100);

// Time for which an order that was taken shows that others will be.
constexpr Duration TakenTime = std::chrono::milliseconds(500);

// Time for which an engine that could not take a part is passed over: the lag
// of its reports, which then tell its room.
constexpr Duration UnfitTime = std::chrono::milliseconds(500);

} // namespace

bool RepairGate::enter(const Path &Changes, Instant Now) {
  const auto Taken = m_TakenAt.find(Changes);
  if (Taken != m_TakenAt.end() && Now - Taken->second < TakenTime)
    return true;
  const auto [Found, Fresh] = m_Sent.try_emplace(Changes, Order{Now});
  if (Fresh || Now - Found->second.m_SentAt >= LongestWait)
    return true;
  Found->second.m_Awaited = true;
  return false;
}

bool RepairGate::onAnswer(const Path &Changes, bool Taken,
                          const EndpointId &Fault, Instant Now) {
  const auto Found = m_Sent.find(Changes);
  const bool Awaited = Found != m_Sent.end() && Found->second.m_Awaited;
  if (Found != m_Sent.end())
    m_Sent.erase(Found);
  if (Taken)
    m_TakenAt[Changes] = Now;
  else
    m_TakenAt.erase(Changes);
  if (!Fault.empty())
    m_FaultAt[Fault] = Now;
  std::erase_if(m_FaultAt, [&](const auto &Each) {
    return Now - Each.second >= UnfitTime;
  });
  std::erase_if(m_TakenAt, [&](const auto &Each) {
    return Now - Each.second >= TakenTime;
  });
  return Awaited;
}

EndpointSet RepairGate::unfit(Instant Now) const {
  EndpointSet Found;
  for (const auto &[Id, At] : m_FaultAt)
    if (Now - At < UnfitTime)
      Found.insert(Id);
  return Found;
}

} // namespace mimosadale::decide
