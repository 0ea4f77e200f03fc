// The bodies of `/v1/chat/completions` and `/v1/completions`.
#ifndef MIMOSADALE_ROUTER_COMPLETION_REQUEST_H
#define MIMOSADALE_ROUTER_COMPLETION_REQUEST_H

#include <cstdint>
#include <optional>
#include <string>

namespace mimosadale::router {

/// What a caller asks of a model.
struct CompletionRequest {
  std::string m_Model;
  std::string m_Prompt;
  std::string m_Sampling; // JSON object of temperature, top_p and stop
  std::uint32_t m_MaxTokens = 128;
  std::optional<std::uint64_t> m_Seed;
  bool m_Chat = false;
  bool m_Stream = false;
  bool m_IncludeUsage = false;
};

/// Parses a body. \throws Error naming the field and the values allowed.
/// Safe from any thread.
CompletionRequest parseCompletionRequest(const std::string &Body, bool Chat);

/// Parses the header `Last-Event-ID`, `tokens:hash`. \throws Error.
struct EventId {
  std::uint64_t m_Tokens = 0;
  std::uint64_t m_Hash = 0;
};
EventId parseEventId(const std::string &Text);

/// The id of the event after which \p Id holds. Safe from any thread.
std::string formatEventId(const EventId &Id);

} // namespace mimosadale::router

#endif
