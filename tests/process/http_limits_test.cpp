// Limits and checks of the HTTP listeners: faulty requests, tokens, settings
// and TLS certificates.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "harness/harness.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <thread>

using namespace mimosadale;
using harness::Fleet;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct OneRouter {
  explicit OneRouter(const std::string &Extra = "") {
    m_Fleet.startPlatform();
    m_Fleet.startEngine("e", 0, 12);
    m_Fleet.startRouter("r", "fukuoka",
                        "[limits]\nheader_bytes = 2048\nbody_bytes = 4096\n"
                        "connections = 40\nread_timeout_ms = 400\n" +
                            Extra);
    m_Fleet.applyDeclaration();
    m_Fleet.waitReady();
  }

  // Sends raw bytes. \returns everything received until the connection closes.
  std::string sendRaw(const std::string &Bytes, bool HalfClose = false) {
    asio::io_context Io;
    tcp::socket Socket(Io);
    connect(Socket);
    boost::system::error_code Code;
    asio::write(Socket, asio::buffer(Bytes), Code);
    if (HalfClose)
      Socket.shutdown(tcp::socket::shutdown_send, Code);
    std::string Answer;
    asio::read(Socket, asio::dynamic_buffer(Answer), Code);
    return Answer;
  }

  void connect(tcp::socket &Socket) {
    const net::Address Remote = net::parseAddress(m_Fleet.callerAddress("r"));
    Socket.connect({asio::ip::make_address(Remote.m_Ip), Remote.m_Port});
  }

  double refusals(const std::string &Reason) {
    return m_Fleet.metricSum("r", "mimosadale_refusals_total", Reason);
  }

  bool servesCompletion() {
    const auto Answer = harness::sendRequest(
        "POST", m_Fleet.callerAddress("r"), "/v1/chat/completions",
        m_Fleet.authHeaders(), Fleet::completionBody("still", 3, 1, false));
    return Answer.m_Status == 200;
  }

  std::string
  refusalReason(const std::string &Body,
                const std::string &Target = "/v1/chat/completions") {
    const auto Answer =
        harness::sendRequest("POST", m_Fleet.callerAddress("r"), Target,
                             m_Fleet.authHeaders(), Body);
    return net::findHeader(Answer.m_Headers, "Mimosadale-Reason");
  }

  Fleet m_Fleet;
};

} // namespace

TEST_CASE("malformed, oversized, slow and half-closed requests get an error "
          "and a counter, and do not disturb another stream") {
  OneRouter Fixture;
  harness::EventStream OtherStream(Fixture.m_Fleet.callerAddress("r"),
                                   "/v1/chat/completions",
                                   Fixture.m_Fleet.authHeaders(),
                                   Fleet::completionBody("beside", 3, 1, true));
  REQUIRE(OtherStream.next());
  struct Case {
    std::string m_Name;
    std::string m_Bytes;
    const char *m_Status;
    const char *m_Reason;
  };
  const std::string Head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n";
  const Case Cases[] = {
      {"no HTTP", "hello\r\n\r\n", "400", "bad_request"},
      {"bad version", "GET / HTTP/9.9\r\n\r\n", "400", "bad_request"},
      {"bad header", "GET / HTTP/1.1\r\nno colon\r\n\r\n", "400",
       "bad_request"},
      {"large header",
       "GET / HTTP/1.1\r\nx: " + std::string(4000, 'y') + "\r\n\r\n", "413",
       "too_large"},
      {"large body",
       Head + "Content-Length: 100000\r\n\r\n" + std::string(100000, 'z'),
       "413", "too_large"},
      {"bad length", Head + "Content-Length: many\r\n\r\n", "400",
       "bad_request"},
      {"slow sender", Head + "Content-Length: 10\r\n\r\nabc", "408",
       "slow_sender"},
  };
  for (const Case &Request : Cases) {
    CAPTURE(Request.m_Name);
    const double Before = Fixture.refusals(Request.m_Reason);
    const std::string Answer = Fixture.sendRaw(Request.m_Bytes);
    CHECK(Answer.find(std::string("HTTP/1.1 ") + Request.m_Status) == 0);
    CHECK(Answer.find(std::string("\"code\":\"") + Request.m_Reason) !=
          std::string::npos);
    CHECK(Answer.find("\"run_state\":\"not_run\"") != std::string::npos);
    CHECK(Fixture.refusals(Request.m_Reason) == Before + 1);
  }
  Fixture.sendRaw("GET /hea", true);
  CHECK(Fixture.servesCompletion());
  while (OtherStream.next())
    continue;
  CHECK(OtherStream.isComplete());
}

TEST_CASE("a caller closes its sending side after the request: it still gets "
          "the answer") {
  OneRouter Fixture;
  const std::string Body = Fleet::completionBody("half", 3, 1, false);
  const std::string Answer = Fixture.sendRaw(
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Authorization: Bearer counter.secret\r\nContent-Length: " +
          std::to_string(Body.size()) + "\r\n\r\n" + Body,
      true);
  CHECK(Answer.find("HTTP/1.1 200") == 0);
}

TEST_CASE("more connections than the limit are opened: the excess is refused, "
          "and requests are served afterwards") {
  OneRouter Fixture;
  asio::io_context Io;
  std::vector<tcp::socket> Connections;
  for (int I = 0; I < 45; ++I) {
    Connections.emplace_back(Io);
    Fixture.connect(Connections.back());
  }
  CHECK(harness::waitUntil(
      [&] { return Fixture.refusals("too_many_connections") >= 1; }));
  Connections.clear();
  CHECK(harness::waitUntil([&] { return Fixture.servesCompletion(); }));
}

TEST_CASE(
    "wrong and missing tokens of callers and operators are refused with 401") {
  OneRouter Fixture;
  const std::string Body = Fleet::completionBody("x", 1, 1, false);
  for (const char *Token :
       {"", "Bearer ", "Bearer counter.wrong", "Bearer nobody.secret",
        "Basic counter.secret", "Bearer desk.secret2"}) {
    INFO(std::string(Token));
    const auto Answer = harness::sendRequest(
        "POST", Fixture.m_Fleet.callerAddress("r"), "/v1/chat/completions",
        {{"Authorization", Token}}, Body);
    CHECK(Answer.m_Status == 401);
    CHECK(net::findHeader(Answer.m_Headers, "WWW-Authenticate") == "Bearer");
  }
  CHECK(Fixture.refusals("unauthenticated") == 6);
  const auto rpcStatus = [&](const std::string &Token) {
    return harness::sendRequest("POST", Fixture.m_Fleet.operatorAddress("r"),
                                "/rpc", {{"Authorization", Token}}, "{}")
        .m_Status;
  };
  CHECK(rpcStatus("Bearer counter.secret") == 401);
  CHECK(rpcStatus("") == 401);
  CHECK(rpcStatus("Bearer operators.test") == 200);
}

TEST_CASE("invalid bodies and unknown models, services and targets are refused "
          "with the right reason") {
  OneRouter Fixture;
  CHECK(Fixture.refusalReason("not json") == "bad_request");
  CHECK(Fixture.refusalReason("{}") == "bad_request");
  CHECK(Fixture.refusalReason(R"({"model": "other", "messages":
    [{"role": "user", "content": "x"}]})") == "not_found");
  CHECK(Fixture.refusalReason(R"({"model": "guide", "messages": []})") ==
        "bad_request");
  CHECK(Fixture.refusalReason(R"({"model": "guide", "max_tokens": 0, "messages":
    [{"role": "user", "content": "x"}]})") == "bad_request");
  CHECK(Fixture.refusalReason(R"({"model": "guide", "n": 2, "messages":
    [{"role": "user", "content": "x"}]})") == "bad_request");
  CHECK(Fixture.refusalReason("{}", "/v1/nothing") == "not_found");
  CHECK(Fixture.refusalReason("x", "/v1/services/unknown/x") == "not_found");
  const auto ContentParts = harness::sendRequest(
      "POST", Fixture.m_Fleet.callerAddress("r"), "/v1/chat/completions",
      Fixture.m_Fleet.authHeaders(),
      R"({"model": "guide:1", "max_completion_tokens": 2, "messages":
        [{"role": "user", "content": [{"type": "text", "text": "x"}]}]})");
  CHECK(ContentParts.m_Status == 200);
}

TEST_CASE("settings with several faults: one check reports all of them, with "
          "line, key and allowed values") {
  Fleet Installation;
  const std::string File = Installation.directory() + "/bad.toml";
  std::ofstream(File) << "name = 7\nworkers = 0\nunknown = 1\n"
                         "[callers]\naddress = \"nowhere\"\n"
                         "[log]\nlevel = \"loud\"\n";
  const char *BinDirectory = std::getenv("MIMOSADALE_BIN");
  const std::string Out = Installation.directory() + "/out";
  harness::Process Check(
      "check",
      {std::string(BinDirectory ? BinDirectory : "build/packages") +
           "/mimosadale",
       "--config", File, "--check-config"},
      Out);
  CHECK(Check.wait() == 2);
  std::ifstream In(Out);
  const std::string Text((std::istreambuf_iterator<char>(In)), {});
  INFO(Text);
  for (const char *Part :
       {"bad.toml:1: name: allowed: text", "workers: allowed: a whole number",
        "bad.toml:3: unknown: unknown key; allowed: name",
        "operators: required key is missing", "callers.address",
        "log.level: allowed: debug, info, warn, error"})
    CHECK(Text.find(Part) != std::string::npos);
}

TEST_CASE("a certificate is renewed: SIGHUP loads it without a restart, and a "
          "broken file does not replace the one in use") {
  Fleet Installation;
  const std::string Key = Installation.directory() + "/key.pem";
  const std::string Certificate = Installation.directory() + "/cert.pem";
  const auto writeCertificate = [&](const std::string &Name) {
    const std::string Command =
        "openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=" + Name +
        " -keyout " + Key + " -out " + Certificate + " 2>/dev/null";
    REQUIRE(std::system(Command.c_str()) == 0);
  };
  writeCertificate("first");
  Installation.startPlatform();
  Installation.startEngine("e", 0, 12);
  Installation.startRouter("r", "fukuoka");
  {
    std::ifstream In(Installation.settingsFile("r"));
    std::string Text((std::istreambuf_iterator<char>(In)), {});
    const std::string Section = "[callers]\n";
    Text.insert(Text.find(Section) + Section.size(),
                "certificate_file = \"" + Certificate + "\"\nkey_file = \"" +
                    Key + "\"\n");
    std::ofstream(Installation.settingsFile("r")) << Text;
  }
  Installation.restart("r");
  Installation.applyDeclaration();
  const auto certificateSubject = [&]() -> std::string {
    asio::io_context Io;
    asio::ssl::context Context(asio::ssl::context::tls_client);
    asio::ssl::stream<tcp::socket> Stream(Io, Context);
    const net::Address Remote =
        net::parseAddress(Installation.callerAddress("r"));
    boost::system::error_code Code;
    Stream.next_layer().connect(
        {asio::ip::make_address(Remote.m_Ip), Remote.m_Port}, Code);
    if (!Code)
      Stream.handshake(asio::ssl::stream_base::client, Code);
    if (Code)
      return "";
    asio::write(Stream,
                asio::buffer(std::string("GET /healthz HTTP/1.1\r\nHost: x\r\n"
                                         "Connection: close\r\n\r\n")));
    std::string Answer;
    asio::read(Stream, asio::dynamic_buffer(Answer), Code);
    if (Answer.find("200") == std::string::npos)
      return "";
    X509 *Peer = SSL_get1_peer_certificate(Stream.native_handle());
    char Name[128];
    X509_NAME_get_text_by_NID(X509_get_subject_name(Peer), NID_commonName, Name,
                              sizeof(Name));
    X509_free(Peer);
    return Name;
  };
  CHECK(harness::waitUntil([&] { return certificateSubject() == "first"; }));
  writeCertificate("second");
  Installation.process("r").signal(SIGHUP);
  CHECK(harness::waitUntil([&] { return certificateSubject() == "second"; }));
  std::ofstream(Certificate) << "broken";
  Installation.process("r").signal(SIGHUP);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  CHECK(certificateSubject() == "second");
}
