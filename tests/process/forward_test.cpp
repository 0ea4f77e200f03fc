// A forwarding router, as a process, before a stand-in of the platform.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "harness/harness.h"
#include "platform/estate.h"
#include "platform/forward_router.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace mimosadale;
using namespace std::chrono_literals;
using tests::Estate;
using tests::headers;
using tests::PlentyRetries;
using Router = tests::ForwardRouter;

namespace {

// Two data centres of three engines each, and two booking endpoints.
void fill(Estate &Of) {
  for (const char *Centre : {"fukuoka", "kumamoto"})
    for (int I = 0; I < 3; ++I)
      Of.addEngine(std::string(Centre) + std::to_string(I), Centre);
  Of.addService("b1", "booking");
  Of.addService("b2", "booking");
  Of.configure(1);
}

bool chainsServe(const Router &At) {
  harness::EventStream Try(At.callers(), "/guide/try", headers("try"), "x");
  return Try.status() == 200 && Try.next().has_value();
}

void waitServing(Router &At) {
  const bool Ready = harness::eventually([&] { return At.readiness() == 200; });
  CAPTURE(At.log());
  REQUIRE(Ready);
  REQUIRE(harness::eventually([&] { return chainsServe(At); }));
}

// The routers that \p At knows of, itself included; 0 when it does not say.
unsigned routersKnown(const Router &At) {
  const std::string Page =
      harness::http("GET", At.metrics(), "/metrics").m_Body;
  const std::string Line = "mimosadale_state{name=\"routers\"} ";
  const std::size_t Found = Page.find(Line);
  return Found == std::string::npos ? 0
                                    : static_cast<unsigned>(std::stoul(
                                          Page.substr(Found + Line.size())));
}

using Streams = std::vector<std::unique_ptr<harness::EventStream>>;

// Streams "s0", "s1" and so on, each with its first event read.
Streams openStreams(const Router &At, int Count, unsigned Events) {
  Streams Open;
  for (int I = 0; I < Count; ++I) {
    Open.push_back(std::make_unique<harness::EventStream>(
        At.callers(), "/guide/seat",
        headers("s" + std::to_string(I), "key", Events), "x"));
    REQUIRE(Open.back()->next());
  }
  return Open;
}

// Reads a stream to its end and checks that ids rise by one. \returns the
// number of events.
unsigned readOrdered(harness::EventStream &From, unsigned Already = 0) {
  unsigned Last = Already;
  while (const auto Event = From.next()) {
    REQUIRE(Event->m_Id == std::to_string(Last + 1));
    ++Last;
  }
  return Last;
}

// The last engine of the first stream's path is silent for a while, longer than
// any pause that a router bears; all streams must come back whole.
void standStillAndGoOn(Estate &Platform, const Streams &Open, unsigned Events) {
  const auto Path = Platform.pathOf("s0");
  REQUIRE(Path.size() > 1);
  Platform.silence(Path.back());
  std::this_thread::sleep_for(900ms);
  Platform.wake(Path.back());
  for (const auto &Each : Open) {
    CHECK(readOrdered(*Each, 1) == Events);
    CHECK(Each->whole());
  }
  CHECK(Platform.violations().empty());
}

} // namespace

TEST_CASE("a stream and calls come back whole; keys and routes are checked") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  harness::EventStream Stream(At.callers(), "/guide/seat", headers("s1"), "x");
  CHECK(Stream.status() == 200);
  CHECK_FALSE(Stream.header("X-Mimosadale-Server-Seal").empty());
  CHECK(readOrdered(Stream) == 40);
  CHECK(Stream.whole());
  const auto Book = harness::http("POST", At.callers(), "/book/a?b=c",
                                  headers("c1"), "seat 4");
  CHECK(Book.m_Status == 200);
  CHECK(Book.m_Body == "counter /book/a?b=c seat 4");
  CHECK(Platform.runs("c1") == 1);
  CHECK(harness::http("GET", At.callers(), "/look/a", headers("c2", "wrong"))
            .m_Status == 401);
  CHECK(
      harness::http("GET", At.callers(), "/other/a", headers("c3")).m_Status ==
      404);
  CHECK(Platform.runs("c2") == 0);
  CHECK(Platform.violations().empty());
}

TEST_CASE("an engine falls silent in the middle of streams: they go on whole") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(10ms);
  Router At(Platform);
  waitServing(At);
  const Streams Open = openStreams(At, 8, 90);
  const auto Path = Platform.pathOf("s0");
  REQUIRE(!Path.empty());
  Platform.silence(Path.back());
  for (const auto &Each : Open) {
    CHECK(readOrdered(*Each, 1) == 90);
    CHECK(Each->whole());
  }
  CHECK(Platform.violations().empty());
}

TEST_CASE("an engine falls silent in the middle of streams: they go on over "
          "other engines of the data centre and are not sent again") {
  Estate Platform;
  for (int I = 0; I < 6; ++I) // two chains
    Platform.addEngine("fukuoka" + std::to_string(I), "fukuoka");
  Platform.configure(1);
  Platform.setEventPause(30ms);
  Router At(Platform);
  waitServing(At);
  const Streams Open = openStreams(At, 8, 60);
  const auto Path = Platform.pathOf("s0");
  REQUIRE(Path.size() > 1);
  Platform.silence(Path.back());
  for (std::size_t I = 0; I < Open.size(); ++I) {
    CHECK(readOrdered(*Open[I], 1) == 60);
    CHECK(Open[I]->whole());
    CHECK(Platform.runs("s" + std::to_string(I)) == 1);
  }
  CHECK(Platform.violations().empty());
}

TEST_CASE(
    "many streams stand still and one retry is left: the others wait, and "
    "go on when the engine does") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(30ms);
  Platform.setRepairs(false);
  Router At(Platform, "r1", "slack = 2\nfraction = 0\nwindow_seconds = 2\n");
  waitServing(At);
  std::this_thread::sleep_for(2200ms); // the budget grows for one window
  const Streams Open = openStreams(At, 12, 60);
  standStillAndGoOn(Platform, Open, 60);
}

TEST_CASE("many streams stand still and there is room for a few elsewhere: the "
          "others wait, and go on when the engine does") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(30ms);
  Platform.setRepairs(false);
  Router At(Platform);
  waitServing(At);
  const Streams Open = openStreams(At, 12, 120);
  // A stream takes 220 tokens of four layers at each engine: a chain of six
  // streams or more is full for others, or has room for a few.
  Platform.setMemory(7 * 220 * 4);
  std::this_thread::sleep_for(1200ms); // until the engines have told it
  standStillAndGoOn(Platform, Open, 120);
}

TEST_CASE("a caller leaves while nothing is sent: the engines stop working for "
          "it") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(30ms);
  Router At(Platform);
  waitServing(At);
  {
    harness::EventStream Stream(At.callers(), "/guide/seat",
                                headers("s1", "key", 400), "x");
    REQUIRE(Stream.next());
    Platform.setEventPause(3s);
    std::this_thread::sleep_for(100ms); // the event under way
    CHECK(Platform.streams() >= 1);
  }
  CHECK(harness::eventually([&] { return Platform.streams() == 0; }, 500ms));
}

TEST_CASE("an address is used again by another instance: it runs nothing that "
          "is meant for the one before") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  Platform.reuseAddress("b1", "other");
  for (int I = 0; I < 8; ++I) {
    const std::string Id = "u" + std::to_string(I);
    CHECK(harness::http("GET", At.callers(), "/look/a", headers(Id)).m_Status ==
          200);
    CHECK(Platform.runs(Id) == 1);
    CHECK(Platform.pathOf(Id) == std::vector<std::string>{"b2"});
  }
}

TEST_CASE("an answer is lost: what may not be repeated ran once and is not "
          "called \"not run\"") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  Platform.loseAnswers("b1", 1);
  Platform.loseAnswers("b2", 1);
  const auto Book =
      harness::http("POST", At.callers(), "/book/a", headers("c1"), "seat 4");
  CHECK(Book.m_Status == 502);
  CHECK(Platform.runs("c1") == 1);
  Platform.loseAnswers("b1", 1);
  Platform.loseAnswers("b2", 0);
  for (int I = 0; I < 6; ++I) {
    const std::string Id = "l" + std::to_string(I);
    CHECK(harness::http("GET", At.callers(), "/look/a", headers(Id)).m_Status ==
          200);
    CHECK(Platform.runs(Id) <= 2);
  }
}

TEST_CASE("the store is silent or refuses: what is loaded goes on serving, and "
          "the configuration after it is adopted") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  for (const auto Mode :
       {tests::StoreMode::Silent, tests::StoreMode::Refuses}) {
    Platform.setStore(Mode);
    std::this_thread::sleep_for(600ms);
    harness::EventStream Stream(At.callers(), "/guide/seat", headers("s1"),
                                "x");
    CHECK(readOrdered(Stream) == 40);
    Platform.setStore(tests::StoreMode::Serves);
  }
  Platform.setKeys({"fresh"});
  Platform.configure(9);
  CHECK(harness::eventually([&] {
    return harness::http("GET", At.callers(), "/look/a", headers("k1", "key"))
               .m_Status == 401;
  }));
  CHECK(harness::http("GET", At.callers(), "/look/a", headers("k2", "fresh"))
            .m_Status == 200);
  // An older one is not adopted.
  Platform.setKeys({"key"});
  Platform.configure(3);
  std::this_thread::sleep_for(500ms);
  CHECK(harness::http("GET", At.callers(), "/look/a", headers("k3", "fresh"))
            .m_Status == 200);
}

TEST_CASE("the store turns one router away: it takes the configuration from "
          "another one") {
  Estate Platform;
  fill(Platform);
  Router Near(Platform, "near");
  Router Away(Platform, "away", PlentyRetries, 1);
  waitServing(Near);
  waitServing(Away);
  // Both know of each other once the routers' table was read.
  std::this_thread::sleep_for(1500ms);
  Platform.setStore(tests::StoreMode::Refuses, 1);
  Platform.setKeys({"fresh"});
  Platform.configure(9);
  const auto Status = [&](const Router &At, const std::string &Key) {
    return harness::http("GET", At.callers(), "/look/a", headers("k", Key))
        .m_Status;
  };
  CHECK(harness::eventually([&] { return Status(Away, "key") == 401; }));
  CHECK(Status(Away, "fresh") == 200);
  CHECK(Status(Near, "fresh") == 200);
  // The registry comes the same way.
  Platform.addService("b3", "booking");
  Platform.drain("b1");
  Platform.drain("b2");
  CHECK(harness::eventually([&] {
    harness::http("GET", Away.callers(), "/look/a", headers("via", "fresh"));
    const auto Path = Platform.pathOf("via");
    return !Path.empty() && Path.front() == "b3";
  }));
}

TEST_CASE("a router's feeds fall silent and stay open: what other routers know "
          "reaches it within seconds") {
  Estate Platform;
  fill(Platform);
  Router Near(Platform, "near");
  Router Deaf(Platform, "deaf", PlentyRetries, 1);
  waitServing(Near);
  waitServing(Deaf);
  REQUIRE(harness::eventually([&] { return routersKnown(Deaf) == 2; }));
  Platform.setStore(tests::StoreMode::Deaf, 1);
  Platform.setKeys({"fresh"});
  Platform.configure(9);
  Platform.addService("b3", "booking");
  Platform.drain("b1");
  Platform.drain("b2");
  const auto Status = [&](const std::string &Key) {
    return harness::http("GET", Deaf.callers(), "/look/a", headers("k", Key))
        .m_Status;
  };
  CHECK(harness::eventually([&] { return Status("key") == 401; }, 4s));
  CHECK(harness::eventually(
      [&] {
        return Status("fresh") == 200 &&
               Platform.pathOf("k") == std::vector<std::string>{"b3"};
      },
      4s));
}

TEST_CASE("a kept connection is not used for new requests after SIGTERM") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  net::Address Callers = net::parseAddress(At.callers());
  boost::asio::io_context Io;
  boost::beast::tcp_stream Kept(Io);
  Kept.connect({boost::asio::ip::make_address(Callers.m_Ip), Callers.m_Port});
  const auto Ask = [&](const std::string &Id) {
    namespace http = boost::beast::http;
    http::request<http::empty_body> Request(http::verb::get, "/look/a", 11);
    Request.set(http::field::host, harness::ownIp());
    for (const net::HttpHeader &Each : headers(Id))
      Request.set(Each.m_Name, Each.m_Value);
    http::response<http::string_body> Answer;
    boost::beast::flat_buffer Buffer;
    boost::beast::error_code Code;
    http::write(Kept, Request, Code);
    if (!Code)
      http::read(Kept, Buffer, Answer, Code);
    return Code ? 0u : Answer.result_int();
  };
  CHECK(Ask("before") == 200);
  At.process().signal(SIGTERM);
  std::this_thread::sleep_for(2700ms);
  CHECK(Ask("after") == 0);
  CHECK(Platform.runs("after") == 0);
}

TEST_CASE("a planned stop under load: connections that are opened but not yet "
          "accepted when the router closes its door get their answers") {
  namespace asio = boost::asio;
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  const net::Address Callers = net::parseAddress(At.callers());
  const asio::ip::tcp::endpoint Door(asio::ip::make_address(Callers.m_Ip),
                                     Callers.m_Port);
  At.process().signal(SIGTERM);
  std::this_thread::sleep_for(1900ms);
  // The router stands still while they come, across the moment of its close.
  At.process().signal(SIGSTOP);
  asio::io_context Io;
  std::vector<std::unique_ptr<asio::ip::tcp::socket>> Open;
  for (int I = 0; I < 40; ++I) {
    Open.push_back(std::make_unique<asio::ip::tcp::socket>(Io));
    Open.back()->connect(Door);
    std::string Request = "GET /look/a HTTP/1.1\r\nHost: ";
    Request += harness::ownIp() + "\r\n";
    for (const net::HttpHeader &Each : headers("a" + std::to_string(I)))
      Request += Each.m_Name + ": " + Each.m_Value + "\r\n";
    asio::write(*Open.back(), asio::buffer(Request + "\r\n"));
  }
  std::this_thread::sleep_for(600ms);
  At.process().signal(SIGCONT);
  int Answered = 0;
  for (const auto &Each : Open) {
    std::string Answer(15, '\0');
    boost::system::error_code Code;
    asio::read(*Each, asio::buffer(Answer), Code);
    Answered += !Code && Answer.starts_with("HTTP/1.1 200 OK");
  }
  CHECK(Answered == 40);
  CHECK(At.process().wait() == 0);
}

TEST_CASE("a planned stop under load: streams that it would cut are refused as "
          "not run, with when to come back") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(10ms);
  Router At(Platform);
  waitServing(At);
  {
    harness::EventStream Short(At.callers(), "/guide/x", headers("s0"), "x");
    CHECK(readOrdered(Short) == 40); // 10 ms a token
  }
  At.process().signal(SIGTERM);
  std::this_thread::sleep_for(500ms);
  const auto Long = harness::http("POST", At.callers(), "/guide/seat",
                                  headers("s1", "key", 2000), "x");
  CHECK(Long.m_Status == 503);
  CHECK_FALSE(net::findHeader(Long.m_Headers, "Retry-After").empty());
  CHECK(Platform.runs("s1") == 0);
  harness::EventStream Short(At.callers(), "/guide/x", headers("s2"), "x");
  CHECK(Short.status() == 200);
  CHECK(readOrdered(Short) == 40);
  CHECK(Short.whole());
}

TEST_CASE("a leaving endpoint gets nothing more, and its layers move") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  Platform.drain("b1");
  Platform.drain("fukuoka1");
  std::this_thread::sleep_for(1s);
  for (int I = 0; I < 12; ++I) {
    const std::string Id = "d" + std::to_string(I);
    harness::http("GET", At.callers(), "/look/a", headers(Id));
    harness::EventStream Stream(At.callers(), "/guide/x", headers("g" + Id),
                                "x");
    CHECK(readOrdered(Stream) == 40);
    for (const std::string &Each : Platform.pathOf("g" + Id))
      CHECK(Each != "fukuoka1");
    for (const std::string &Each : Platform.pathOf(Id))
      CHECK(Each != "b1");
  }
  CHECK(harness::eventually([&] {
    return Platform.layers("fukuoka0").m_End -
               Platform.layers("fukuoka0").m_First +
               Platform.layers("fukuoka2").m_End -
               Platform.layers("fukuoka2").m_First >=
           12;
  }));
  CHECK(Platform.violations().empty());
}

TEST_CASE("SIGTERM: not ready at once, the stream in progress ends whole, and "
          "the process leaves") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(40ms);
  Router At(Platform);
  waitServing(At);
  harness::EventStream Stream(At.callers(), "/guide/seat",
                              headers("s1", "key", 80), "x");
  REQUIRE(Stream.next());
  At.process().signal(SIGTERM);
  CHECK(harness::eventually([&] { return At.readiness() != 200; }, 1s));
  CHECK(readOrdered(Stream, 1) == 80);
  CHECK(Stream.whole());
  CHECK(At.process().wait() == 0);
}

TEST_CASE("entries of other writers leave the rest standing") {
  Estate Platform;
  Platform.put("servers", "odd1", "not json");
  Platform.put("servers", "odd2", R"({"Service":"booking","Address":7})");
  Platform.put("servers", "odd3",
               R"({"Service":"booking","Address":"127.0.0.1:1","Zone":"x",
                   "State":"asleep"})");
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  for (int I = 0; I < 6; ++I)
    CHECK(harness::http("GET", At.callers(), "/look/a",
                        headers("l" + std::to_string(I)))
              .m_Status == 200);
  CHECK(At.log().find("registry_entry_unreadable") != std::string::npos);
}

TEST_CASE("an endpoint that says in its answers that it leaves gets nothing "
          "more, though its entry says otherwise and comes back") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  const auto Look = [&](const std::string &Id) {
    return harness::http("GET", At.callers(), "/look/a", headers(Id)).m_Status;
  };
  Platform.sayLeaving("b1");
  Platform.sayLeaving("fukuoka0");
  for (int I = 0; I < 20; ++I) // each endpoint answers some of these
    CHECK(Look("before" + std::to_string(I)) == 200);
  for (int I = 0; I < 10; ++I) {
    harness::EventStream Stream(At.callers(), "/guide/x",
                                headers("s" + std::to_string(I)), "x");
    readOrdered(Stream);
  }
  Platform.publishAgain("b1");
  Platform.dropEntry("b1");
  std::this_thread::sleep_for(1500ms);
  Platform.publishAgain("b1");
  std::this_thread::sleep_for(700ms);
  const int Reached = Platform.arrivals("b1");
  for (int I = 0; I < 12; ++I) {
    const std::string Id = "after" + std::to_string(I);
    CHECK(Look(Id) == 200);
    harness::EventStream Stream(At.callers(), "/guide/x", headers("g" + Id),
                                "x");
    CHECK(readOrdered(Stream) == 40);
    for (const std::string &Each : Platform.pathOf("g" + Id))
      CHECK(Each != "fukuoka0");
  }
  CHECK(Platform.arrivals("b1") == Reached);
}

TEST_CASE(
    "an endpoint that refuses and asks for a pause gets no request and no "
    "question until it is over") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  Platform.refuseFor("b1", 2s);
  Platform.refuseFor("b2", 2s);
  Platform.refuseFor("fukuoka0", 2s);
  const auto Press = [&] {
    const auto End = std::chrono::steady_clock::now() + 1200ms;
    for (int I = 0; std::chrono::steady_clock::now() < End; ++I) {
      const std::string Id = "p" + std::to_string(I);
      const auto Answer =
          harness::http("GET", At.callers(), "/look/a", headers(Id));
      CHECK(Answer.m_Status == 503);
      CHECK_FALSE(net::findHeader(Answer.m_Headers, "Retry-After").empty());
      harness::EventStream Stream(At.callers(), "/guide/x", headers("g" + Id),
                                  "x");
      readOrdered(Stream);
    }
  };
  Press();
  for (const char *Each : {"b1", "b2", "fukuoka0"}) {
    CAPTURE(Each);
    const int Reached = Platform.arrivals(Each);
    Platform.refuseFor(Each, 0s);
    if (Each[0] == 'b') // one try of each endpoint, told by its first answer
      CHECK(Reached <= 2);
  }
  CHECK(harness::eventually([&] {
    return harness::http("GET", At.callers(), "/look/a", headers("again"))
               .m_Status == 200;
  }));
}

TEST_CASE("answers come a second time, late, on connections in use again: "
          "nobody gets one that is not its own") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(1ms);
  Router At(Platform);
  waitServing(At);
  for (const char *Each : {"b1", "b2", "fukuoka0", "fukuoka1", "fukuoka2",
                           "kumamoto0", "kumamoto1", "kumamoto2"})
    Platform.repeatAnswers(Each, 15ms);
  for (int I = 0; I < 60; ++I) {
    const std::string Id = "l" + std::to_string(I);
    const auto Look =
        harness::http("GET", At.callers(), "/look/" + Id, headers(Id));
    CHECK(Look.m_Status == 200);
    CHECK(Look.m_Body == "counter /look/" + Id + " ");
    // Reports are asked of the same engines all the while.
    harness::EventStream Stream(At.callers(), "/guide/x", headers("g" + Id),
                                "x");
    CHECK(Stream.status() == 200);
    CHECK_FALSE(Stream.header("X-Mimosadale-Server-Seal").empty());
    CHECK(readOrdered(Stream) == 40);
  }
}

TEST_CASE("a stream that stands still but brings a byte now and then goes on "
          "elsewhere") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(20ms);
  Router At(Platform);
  waitServing(At);
  harness::EventStream Stream(At.callers(), "/guide/seat",
                              headers("s1", "key", 60), "x");
  REQUIRE(Stream.next());
  Platform.dribble(Platform.pathOf("s1").front());
  CHECK(readOrdered(Stream, 1) == 60);
  CHECK(Stream.whole());
  CHECK(Platform.runs("s1") == 2);
}

TEST_CASE("a sound stream with long pauses between its events is left alone") {
  Estate Platform;
  fill(Platform);
  Router At(Platform);
  waitServing(At);
  Platform.setEventPause(700ms);
  harness::EventStream Stream(At.callers(), "/guide/seat",
                              headers("s1", "key", 6), "x");
  CHECK(readOrdered(Stream) == 6);
  CHECK(Stream.whole());
  CHECK(Platform.runs("s1") == 1);
}

TEST_CASE(
    "the engines of all chains refuse for a while: a stream that has begun "
    "waits and goes on") {
  Estate Platform;
  fill(Platform);
  Platform.setEventPause(20ms);
  Platform.setRepairs(false);
  Router At(Platform);
  waitServing(At);
  harness::EventStream Stream(At.callers(), "/guide/seat",
                              headers("s1", "key", 60), "x");
  REQUIRE(Stream.next());
  const std::string First = Platform.pathOf("s1").front();
  for (const char *Centre : {"fukuoka", "kumamoto"})
    for (int I = 0; I < 3; ++I)
      if (const std::string Id = std::string(Centre) + std::to_string(I);
          Id != First)
        Platform.refuseFor(Id, 1s);
  Platform.breakStreams(First);
  std::this_thread::sleep_for(1200ms);
  for (const char *Centre : {"fukuoka", "kumamoto"})
    for (int I = 0; I < 3; ++I)
      Platform.refuseFor(std::string(Centre) + std::to_string(I), 0s);
  CHECK(readOrdered(Stream, 1) == 60);
  CHECK(Stream.whole());
  CHECK(Platform.violations().empty());
}
