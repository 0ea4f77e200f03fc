// The memory for answers that are read as a whole, shared by endpoints some of
// whose answers have no end.
#include "decide/answer_memory.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace mimosadale;
using namespace mimosadale::decide;

namespace {

constexpr std::size_t Piece = 8192;

struct Answer {
  EndpointId m_Endpoint;
  std::size_t m_Length = 0; // 0: without end
  std::size_t m_Read = 0;
  bool m_Cut = false;
  bool m_Ended = false;
};

// Reads all answers piece by piece in turn, until each has ended or was cut.
// \returns the most bytes that were in memory.
std::size_t readAll(AnswerMemory &Memory, std::vector<Answer> &Answers) {
  std::size_t Most = 0;
  bool Reading = true;
  while (Reading) {
    Reading = false;
    for (Answer &Current : Answers) {
      if (Current.m_Cut || Current.m_Ended)
        continue;
      Reading = true;
      Memory.onRead(Current.m_Endpoint, Piece);
      Current.m_Read += Piece;
      Most = std::max(Most, Memory.bytes());
      Current.m_Ended = Current.m_Length && Current.m_Read >= Current.m_Length;
      Current.m_Cut = !Current.m_Ended && !Memory.mayGoOn(Current.m_Endpoint);
      if (Current.m_Ended || Current.m_Cut)
        Memory.onReleased(Current.m_Endpoint, Current.m_Read);
    }
  }
  return Most;
}

} // namespace

// Guards against sound endpoints' answers being dropped for the memory that a
// faulty one fills.
TEST_CASE("some endpoints answer many calls without end: the answers of the "
          "others are read whole, and the memory is bounded") {
  for (const int Faulty : {1, 2, 5, 20})
    for (const int CallsOfEach : {1, 16, 64}) {
      AnswerMemory Memory;
      std::vector<Answer> Answers;
      for (int I = 0; I < Faulty * CallsOfEach; ++I)
        Answers.push_back({EndpointId("bad" + std::to_string(I % Faulty))});
      for (int I = 0; I < 100; ++I)
        Answers.push_back(
            {EndpointId("good" + std::to_string(I % 3)), 4 * Piece});
      const std::size_t Most = readAll(Memory, Answers);
      CAPTURE(Faulty);
      CAPTURE(CallsOfEach);
      CHECK(Most <= AnswerMemory::MaxBytes + Answers.size() * Piece);
      for (const Answer &Read : Answers)
        CHECK(Read.m_Ended == (Read.m_Length > 0));
      CHECK(Memory.bytes() == 0);
    }
}

TEST_CASE("one large answer is read whole up to the bound of an endpoint") {
  AnswerMemory Memory;
  std::vector<Answer> Answers{
      {EndpointId("a"), AnswerMemory::MaxEndpointBytes},
      {EndpointId("b"), AnswerMemory::MaxEndpointBytes / 4}};
  readAll(Memory, Answers);
  CHECK(Answers[0].m_Ended);
  CHECK(Answers[1].m_Ended);
}
