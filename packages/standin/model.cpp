#include "standin/model.h"

#include <cstring>
#include <sstream>
#include <stdexcept>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace mimosadale::standin {

namespace {

constexpr std::uint32_t VocabularySize = 50000;

std::uint64_t hashPair(std::uint64_t A, std::uint64_t B) {
  return XXH3_64bits_withSeed(&A, sizeof(A), B);
}

} // namespace

std::string packActivation(const Activation &Source) {
  std::string Bytes(sizeof(Activation), '\0');
  std::memcpy(Bytes.data(), &Source, sizeof(Activation));
  return Bytes;
}

Activation unpackActivation(const std::string &Bytes) {
  if (Bytes.size() != sizeof(Activation))
    throw std::runtime_error("activation has the wrong size");
  Activation Result;
  std::memcpy(&Result, Bytes.data(), sizeof(Activation));
  return Result;
}

std::uint64_t hashText(const std::string &Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

std::vector<std::uint32_t> tokenize(const std::string &Prompt) {
  std::istringstream Words(Prompt);
  std::vector<std::uint32_t> Tokens;
  for (std::string Word; Words >> Word;)
    Tokens.push_back(
        static_cast<std::uint32_t>(hashText(Word) % VocabularySize));
  if (Tokens.empty())
    Tokens.push_back(0);
  return Tokens;
}

std::uint64_t embed(std::uint32_t Token) { return hashPair(Token, 1); }

std::uint64_t runLayer(std::uint64_t Value, std::uint32_t Layer,
                       std::uint64_t Position, std::uint64_t &Cache) {
  Cache = hashPair(hashPair(Cache, Value), Position);
  return hashPair(hashPair(Value, Cache), Layer);
}

std::uint32_t sample(std::uint64_t Value, std::uint64_t Seed) {
  return static_cast<std::uint32_t>(hashPair(Value, Seed) % VocabularySize);
}

std::string tokenText(std::uint32_t Token) {
  return " w" + std::to_string(Token);
}

std::vector<std::uint32_t> referenceAnswer(const std::string &Prompt,
                                           std::uint32_t Layers,
                                           std::uint32_t Tokens,
                                           std::uint64_t Seed) {
  std::vector<std::uint32_t> Inputs = tokenize(Prompt);
  std::vector<std::uint64_t> Cache(Layers, 0);
  std::vector<std::uint32_t> Answer;
  for (std::uint64_t Position = 0; Answer.size() < Tokens; ++Position) {
    std::uint64_t Value = embed(Inputs[Position]);
    for (std::uint32_t Layer = 0; Layer < Layers; ++Layer)
      Value = runLayer(Value, Layer, Position, Cache[Layer]);
    if (Position + 1 == Inputs.size()) {
      Answer.push_back(sample(Value, Seed));
      Inputs.push_back(Answer.back());
    }
  }
  return Answer;
}

std::string referenceText(const std::string &Prompt, std::uint32_t Layers,
                          std::uint32_t Tokens, std::uint64_t Seed) {
  std::string Text;
  for (const std::uint32_t Token :
       referenceAnswer(Prompt, Layers, Tokens, Seed))
    Text += tokenText(Token);
  return Text;
}

} // namespace mimosadale::standin
