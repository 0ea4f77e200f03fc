#include "platform/cut_off_router.h"

#include "platform/names.h"
#include "platform/router_rows_codec.h"

#include <doctest/doctest.h>

namespace mimosadale::tests {

const std::vector<std::string> DefaultEndpoints{
    "fukuoka0",  "fukuoka1",  "fukuoka2", "kumamoto0",
    "kumamoto1", "kumamoto2", "b1",       "b2"};

CutOffRouter::CutOffRouter(const std::string &Retries) {
  addDefaultEndpoints(m_Cut);
  writeUnrelatedRows(m_Cut);
  addDefaultEndpoints(m_Sound);
  m_First = std::make_unique<ForwardRouter>(m_Cut, "r1", Retries);
  m_Second = std::make_unique<ForwardRouter>(m_Sound, "r2", Retries);
  waitUntilServing(*m_First);
  add(*m_Second);
}

void CutOffRouter::add(ForwardRouter &Router) {
  waitUntilServing(Router);
  m_Cut.put(platform::RoutersTable, Router.name(),
            platform::encodeRouter(
                {Router.peerAddress(), DataCentreId("kumamoto"), 1}));
  ++m_RouterCount;
  REQUIRE(harness::waitUntil(
      [&] { return knownRouterCount(*m_First) == m_RouterCount; }));
}

void CutOffRouter::cut(CutKind Kind) {
  for (const std::string &Id : DefaultEndpoints)
    if (Kind == CutKind::Hang)
      m_Cut.stopResponding(Id);
    else
      m_Cut.refuseConnections(Id);
}

void CutOffRouter::restore(CutKind Kind) {
  for (const std::string &Id : DefaultEndpoints)
    if (Kind == CutKind::Hang)
      m_Cut.resumeResponding(Id);
    else
      m_Cut.takeConnections(Id);
}

net::HttpResponse CutOffRouter::call(const std::string &Target,
                                     const std::string &Id,
                                     const std::string &Key) const {
  return harness::sendRequest("POST", m_First->callerAddress(), Target,
                              requestHeaders(Id, Key), "body");
}

unsigned CutOffRouter::stream(const std::string &Id) const {
  harness::EventStream Stream(m_First->callerAddress(), "/guide/x",
                              requestHeaders(Id), "x");
  if (Stream.status() != 200)
    return 0;
  const unsigned Last = readInOrder(Stream);
  return Stream.isComplete() ? Last : 0;
}

void CutOffRouter::sendUntilNoticed() const {
  const auto End = std::chrono::steady_clock::now() + StableTime;
  for (int I = 0; std::chrono::steady_clock::now() < End; ++I) {
    call("/look/early", "early" + std::to_string(I));
    stream("early-stream" + std::to_string(I));
  }
}

} // namespace mimosadale::tests
