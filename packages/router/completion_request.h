// Request bodies of `/v1/chat/completions` and `/v1/completions`.
#ifndef MIMOSADALE_ROUTER_COMPLETION_REQUEST_H
#define MIMOSADALE_ROUTER_COMPLETION_REQUEST_H

#include <cstdint>
#include <optional>
#include <string>

namespace mimosadale::router {

/// The parameters of a completion request.
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

/// Parses a body. \throws Error naming the field and its allowed values. Safe
/// from any thread.
CompletionRequest parseCompletionRequest(const std::string &Body, bool Chat);

/// A position in a streamed answer, as the id of a server-sent event.
struct EventId {
  std::uint64_t m_Tokens = 0; // up to and including the event's
  std::uint64_t m_Hash = 0;   // running hash over them
};

/// Parses the header `Last-Event-ID`, `tokens:hash` in hexadecimal. \throws
/// Error. Safe from any thread.
EventId parseEventId(const std::string &Text);

/// \returns the text that `parseEventId` parses. Safe from any thread.
std::string formatEventId(const EventId &Id);

} // namespace mimosadale::router

#endif
