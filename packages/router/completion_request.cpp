#include "router/completion_request.h"

#include "base/error.h"

#include <boost/json.hpp>
#include <charconv>

namespace mimosadale::router {

namespace json = boost::json;

namespace {

constexpr std::uint32_t MaxCompletionTokens = 16384;

[[noreturn]] void throwFieldError(const std::string &Field,
                                  const std::string &Allowed) {
  throw Error(Field + ": allowed: " + Allowed);
}

const json::value *find(const json::object &Object, std::string_view Field) {
  const auto *Value = Object.if_contains(Field);
  return Value && !Value->is_null() ? Value : nullptr;
}

std::string textField(const json::object &Object, std::string_view Field) {
  const json::value *Value = find(Object, Field);
  if (!Value || !Value->is_string())
    throwFieldError(std::string(Field), "text");
  return std::string(Value->as_string());
}

bool boolField(const json::object &Object, std::string_view Field) {
  const json::value *Value = find(Object, Field);
  if (!Value)
    return false;
  if (!Value->is_bool())
    throwFieldError(std::string(Field), "true, false");
  return Value->as_bool();
}

std::optional<std::int64_t> intField(const json::object &Object,
                                     std::string_view Field) {
  const json::value *Value = find(Object, Field);
  if (!Value)
    return std::nullopt;
  if (!Value->is_int64())
    throwFieldError(std::string(Field), "a whole number");
  return Value->as_int64();
}

// The content of a message: text, or a list of parts of type text.
std::string messageContent(const json::object &Message) {
  const json::value *Content = find(Message, "content");
  if (Content && Content->is_string())
    return std::string(Content->as_string());
  if (!Content || !Content->is_array())
    throwFieldError("messages.content",
                    "text, or a list of parts of type text");
  std::string Text;
  for (const json::value &Part : Content->as_array()) {
    if (!Part.is_object() || textField(Part.as_object(), "type") != "text")
      throwFieldError("messages.content.type", "text");
    Text += textField(Part.as_object(), "text");
  }
  return Text;
}

std::string chatPrompt(const json::object &Object) {
  const json::value *Messages = find(Object, "messages");
  if (!Messages || !Messages->is_array() || Messages->as_array().empty())
    throwFieldError("messages", "a list of at least one message");
  std::string Prompt;
  for (const json::value &Message : Messages->as_array()) {
    if (!Message.is_object())
      throwFieldError("messages", "objects with role and content");
    Prompt += textField(Message.as_object(), "role") + ": " +
              messageContent(Message.as_object()) + "\n";
  }
  return Prompt + "assistant:";
}

std::uint32_t maxTokensField(const json::object &Object) {
  auto MaxTokens = intField(Object, "max_completion_tokens");
  if (!MaxTokens)
    MaxTokens = intField(Object, "max_tokens");
  if (!MaxTokens)
    return CompletionRequest().m_MaxTokens;
  if (*MaxTokens < 1 || *MaxTokens > MaxCompletionTokens)
    throwFieldError("max_tokens",
                    "1 to " + std::to_string(MaxCompletionTokens));
  return static_cast<std::uint32_t>(*MaxTokens);
}

std::string samplingParams(const json::object &Object) {
  json::object Params;
  for (const char *Field : {"temperature", "top_p", "stop"})
    if (const json::value *Value = find(Object, Field))
      Params[Field] = *Value;
  return Params.empty() ? "" : json::serialize(Params);
}

std::uint64_t parseHex(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value, 16);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    throwFieldError("Last-Event-ID", "the id of an event of this stream");
  return Value;
}

std::string formatHex(std::uint64_t Value) {
  char Digits[16];
  const auto Result =
      std::to_chars(std::begin(Digits), std::end(Digits), Value, 16);
  return {Digits, Result.ptr};
}

} // namespace

CompletionRequest parseCompletionRequest(const std::string &Body, bool Chat) {
  boost::system::error_code Code;
  const json::value Document = json::parse(Body, Code);
  if (Code || !Document.is_object())
    throwFieldError("body", "a JSON object");
  const json::object &Object = Document.as_object();
  CompletionRequest Request;
  Request.m_Chat = Chat;
  Request.m_Model = textField(Object, "model");
  Request.m_Prompt = Chat ? chatPrompt(Object) : textField(Object, "prompt");
  Request.m_MaxTokens = maxTokensField(Object);
  Request.m_Stream = boolField(Object, "stream");
  Request.m_Sampling = samplingParams(Object);
  if (const auto Seed = intField(Object, "seed"))
    Request.m_Seed = static_cast<std::uint64_t>(*Seed);
  if (intField(Object, "n").value_or(1) != 1)
    throwFieldError("n", "1");
  if (const json::value *Options = find(Object, "stream_options"))
    if (Options->is_object())
      Request.m_IncludeUsage = boolField(Options->as_object(), "include_usage");
  return Request;
}

EventId parseEventId(const std::string &Text) {
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string::npos)
    throwFieldError("Last-Event-ID", "the id of an event of this stream");
  return {parseHex(Text.substr(0, Colon)), parseHex(Text.substr(Colon + 1))};
}

std::string formatEventId(const EventId &Id) {
  return formatHex(Id.m_Tokens) + ":" + formatHex(Id.m_Hash);
}

} // namespace mimosadale::router
