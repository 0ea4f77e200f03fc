#include "ctl/difference.h"

#include <google/protobuf/util/message_differencer.h>

namespace mimosadale::ctl {

namespace {

using google::protobuf::util::MessageDifferencer;

// A model is named by name and version, everything else by its name.
void matchByName(MessageDifferencer &Differ, const char *Section) {
  const auto *Field =
      schema::Declaration::descriptor()->FindFieldByName(Section);
  const auto *Name = Field->message_type()->FindFieldByName("name");
  if (Field->message_type()->name() != "Model") {
    Differ.TreatAsMap(Field, Name);
    return;
  }
  Differ.TreatAsMapWithMultipleFieldsAsKey(
      Field, {Name, Field->message_type()->FindFieldByName("version")});
}

// Replaces what a workspace's token is made of.
schema::Declaration withoutSecrets(schema::Declaration From) {
  for (schema::Workspace &Each : *From.mutable_workspaces()) {
    Each.set_token_sha256("fingerprint " + Each.token_sha256().substr(0, 8));
    Each.clear_token_salt();
  }
  return From;
}

} // namespace

std::string describeDifference(const schema::Declaration &Before,
                               const schema::Declaration &After) {
  MessageDifferencer Differ;
  for (const char *Section : {"workspaces", "services", "models", "endpoints"})
    matchByName(Differ, Section);
  std::string Report;
  Differ.ReportDifferencesToString(&Report);
  Differ.Compare(withoutSecrets(Before), withoutSecrets(After));
  return Report;
}

} // namespace mimosadale::ctl
