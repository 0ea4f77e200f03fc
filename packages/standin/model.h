// A deterministic function in place of a model. A layer, position or request
// that the router mixes up changes the answer and is reported by the engine.
#ifndef MIMOSADALE_STANDIN_MODEL_H
#define MIMOSADALE_STANDIN_MODEL_H

#include <cstdint>
#include <string>
#include <vector>

namespace mimosadale::standin {

/// The output of a stage for one position, which is the input of the next
/// stage.
struct Activation {
  std::uint64_t m_Value = 0;
  std::uint64_t m_Position = 0;
  std::uint64_t m_Request = 0; // hash of the request id
  std::uint32_t m_LayersDone = 0;
};

std::string packActivation(const Activation &Source);

/// \throws std::runtime_error when \p Bytes does not have the size of an
/// activation.
Activation unpackActivation(const std::string &Bytes);

std::uint64_t hashText(const std::string &Text);

/// The token ids of a prompt, one for each word; a single 0 for an empty one.
std::vector<std::uint32_t> tokenize(const std::string &Prompt);

/// The value that enters layer 0 for a token.
std::uint64_t embed(std::uint32_t Token);

/// Runs one layer at one position. \p Cache is that layer's KV cache, so the
/// result depends on every position before.
std::uint64_t runLayer(std::uint64_t Value, std::uint32_t Layer,
                       std::uint64_t Position, std::uint64_t &Cache);

/// Samples a token from the output of the last layer.
std::uint32_t sample(std::uint64_t Value, std::uint64_t Seed);

std::string tokenText(std::uint32_t Token);

/// The answer of the complete model, computed without any engine.
std::vector<std::uint32_t> referenceAnswer(const std::string &Prompt,
                                           std::uint32_t Layers,
                                           std::uint32_t Tokens,
                                           std::uint64_t Seed);

/// The answer of `referenceAnswer` as text.
std::string referenceText(const std::string &Prompt, std::uint32_t Layers,
                          std::uint32_t Tokens, std::uint64_t Seed);

} // namespace mimosadale::standin

#endif
