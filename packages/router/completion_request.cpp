#include "router/completion_request.h"

#include "base/error.h"

#include <boost/json.hpp>
#include <charconv>

namespace mimosadale::router {

namespace json = boost::json;

namespace {

constexpr std::uint32_t MostTokens = 16384;

[[noreturn]] void wrong(const std::string &Field, const std::string &Allowed) {
  throw Error(Field + ": allowed: " + Allowed);
}

const json::value *find(const json::object &From, std::string_view Field) {
  const auto *Found = From.if_contains(Field);
  return Found && !Found->is_null() ? Found : nullptr;
}

std::string textField(const json::object &From, std::string_view Field) {
  const json::value *Value = find(From, Field);
  if (!Value || !Value->is_string())
    wrong(std::string(Field), "text");
  return std::string(Value->as_string());
}

bool boolField(const json::object &From, std::string_view Field) {
  const json::value *Value = find(From, Field);
  if (!Value)
    return false;
  if (!Value->is_bool())
    wrong(std::string(Field), "true, false");
  return Value->as_bool();
}

std::optional<std::int64_t> intField(const json::object &From,
                                     std::string_view Field) {
  const json::value *Value = find(From, Field);
  if (!Value)
    return std::nullopt;
  if (!Value->is_int64())
    wrong(std::string(Field), "a whole number");
  return Value->as_int64();
}

// The content of a message: text, or a list of parts of type text.
std::string contentOf(const json::object &Message) {
  const json::value *Content = find(Message, "content");
  if (Content && Content->is_string())
    return std::string(Content->as_string());
  if (!Content || !Content->is_array())
    wrong("messages.content", "text, or a list of parts of type text");
  std::string Text;
  for (const json::value &Part : Content->as_array()) {
    if (!Part.is_object() || textField(Part.as_object(), "type") != "text")
      wrong("messages.content.type", "text");
    Text += textField(Part.as_object(), "text");
  }
  return Text;
}

std::string chatPrompt(const json::object &From) {
  const json::value *Messages = find(From, "messages");
  if (!Messages || !Messages->is_array() || Messages->as_array().empty())
    wrong("messages", "a list of at least one message");
  std::string Prompt;
  for (const json::value &Each : Messages->as_array()) {
    if (!Each.is_object())
      wrong("messages", "objects with role and content");
    Prompt += textField(Each.as_object(), "role") + ": " +
              contentOf(Each.as_object()) + "\n";
  }
  return Prompt + "assistant:";
}

std::uint32_t tokensField(const json::object &From) {
  auto Given = intField(From, "max_completion_tokens");
  if (!Given)
    Given = intField(From, "max_tokens");
  if (!Given)
    return CompletionRequest().m_MaxTokens;
  if (*Given < 1 || *Given > MostTokens)
    wrong("max_tokens", "1 to " + std::to_string(MostTokens));
  return static_cast<std::uint32_t>(*Given);
}

std::string samplingOf(const json::object &From) {
  json::object Kept;
  for (const char *Field : {"temperature", "top_p", "stop"})
    if (const json::value *Value = find(From, Field))
      Kept[Field] = *Value;
  return Kept.empty() ? "" : json::serialize(Kept);
}

std::uint64_t parseHex(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value, 16);
  if (Text.empty() || Parsed.ec != std::errc() || Parsed.ptr != End)
    wrong("Last-Event-ID", "the id of an event of this stream");
  return Value;
}

std::string printHex(std::uint64_t Value) {
  char Digits[16];
  const auto Printed =
      std::to_chars(std::begin(Digits), std::end(Digits), Value, 16);
  return {Digits, Printed.ptr};
}

} // namespace

CompletionRequest parseCompletionRequest(const std::string &Body, bool Chat) {
  boost::system::error_code Code;
  const json::value Parsed = json::parse(Body, Code);
  if (Code || !Parsed.is_object())
    wrong("body", "a JSON object");
  const json::object &From = Parsed.as_object();
  CompletionRequest Request;
  Request.m_Chat = Chat;
  Request.m_Model = textField(From, "model");
  Request.m_Prompt = Chat ? chatPrompt(From) : textField(From, "prompt");
  Request.m_MaxTokens = tokensField(From);
  Request.m_Stream = boolField(From, "stream");
  Request.m_Sampling = samplingOf(From);
  if (const auto Seed = intField(From, "seed"))
    Request.m_Seed = static_cast<std::uint64_t>(*Seed);
  if (intField(From, "n").value_or(1) != 1)
    wrong("n", "1");
  if (const json::value *Options = find(From, "stream_options"))
    if (Options->is_object())
      Request.m_IncludeUsage = boolField(Options->as_object(), "include_usage");
  return Request;
}

EventId parseEventId(const std::string &Text) {
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string::npos)
    wrong("Last-Event-ID", "the id of an event of this stream");
  return {parseHex(Text.substr(0, Colon)), parseHex(Text.substr(Colon + 1))};
}

std::string printEventId(const EventId &Id) {
  return printHex(Id.m_Tokens) + ":" + printHex(Id.m_Hash);
}

} // namespace mimosadale::router
