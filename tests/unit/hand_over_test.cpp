// The marks of requests that routers hand to each other, and back.
#include "forward/hand_over.h"

#include <doctest/doctest.h>

using namespace mimosadale;
using namespace mimosadale::forward;

// Guards against callers that raise the number of their endpoints.
TEST_CASE("a caller sets the mark of a request that is handed over: the "
          "router's own replaces it") {
  net::HttpRequest Request;
  CHECK_FALSE(parseHandedOver(Request));
  Request.m_Headers = {{"mimosadale-HANDED-over", "99"}, {"Host", "x"}};
  for (const bool IsCounted : {false, true}) {
    const HandOverMark Mark{2, IsCounted, 0, ServiceId()};
    markHandedOver(Request, Mark);
    CHECK(parseHandedOver(Request) == Mark);
    CHECK(Request.m_Headers.size() == 2);
  }
  const HandOverMark Admitted{2, true, 17, ServiceId("guide")};
  markHandedOver(Request, Admitted);
  CHECK(parseHandedOver(Request) == Admitted);
  CHECK(Request.m_Headers.size() == 4);
  dropHandedOver(Request);
  CHECK_FALSE(parseHandedOver(Request));
  CHECK(Request.m_Headers.size() == 1);
}

// Guards against endpoints that have a request sent by other routers too.
TEST_CASE(
    "an endpoint's answer is marked as handed back: the mark is removed") {
  net::HttpResponse Answer;
  CHECK_FALSE(parseHandedBack(Answer));
  for (const auto Cause :
       {decide::HandBackCause::Endpoint, decide::HandBackCause::Router}) {
    markHandedBack(Answer, 0, Cause);
    CHECK(parseHandedBack(Answer) == 0);
    CHECK(parseHandBackCause(Answer) == Cause);
    dropHandedBack(Answer);
    CHECK_FALSE(parseHandedBack(Answer));
    CHECK(Answer.m_Headers.empty());
  }
}

TEST_CASE("a malformed count in the mark of a hand-over counts as none left") {
  net::HttpRequest Request;
  Request.m_Headers = {{"Mimosadale-Handed-Over", "many"}};
  CHECK(parseHandedOver(Request) == HandOverMark{0, true, 0, ServiceId()});
}

// Routers of the version before name no cause; later ones may name others.
TEST_CASE("a request is handed back without a known cause: that router gets "
          "those to other services") {
  net::HttpResponse Answer;
  Answer.m_Headers = {{"Mimosadale-Handed-Back", "0"}};
  CHECK(parseHandedBack(Answer) == 0);
  CHECK(parseHandBackCause(Answer) == decide::HandBackCause::Endpoint);
  Answer.m_Headers.push_back({"Mimosadale-Hand-Back-Cause", "of-later-times"});
  CHECK(parseHandBackCause(Answer) == decide::HandBackCause::Endpoint);
}
