#include "ctl/difference.h"

#include <google/protobuf/util/message_differencer.h>

namespace mimosadale::ctl {

namespace {

using google::protobuf::util::MessageDifferencer;

// Matches entries of a section by key: models by name and version, all other
// entries by name.
void matchByName(MessageDifferencer &Differencer, const char *Section) {
  const auto *Field =
      schema::Declaration::descriptor()->FindFieldByName(Section);
  const auto *Name = Field->message_type()->FindFieldByName("name");
  if (Field->message_type()->name() != "Model") {
    Differencer.TreatAsMap(Field, Name);
    return;
  }
  Differencer.TreatAsMapWithMultipleFieldsAsKey(
      Field, {Name, Field->message_type()->FindFieldByName("version")});
}

// Replaces token hashes by short fingerprints and removes the salts, so that
// the output shows that a token changed without revealing the hash.
schema::Declaration withoutSecrets(schema::Declaration Declaration) {
  for (schema::Workspace &Workspace : *Declaration.mutable_workspaces()) {
    Workspace.set_token_sha256("fingerprint " +
                               Workspace.token_sha256().substr(0, 8));
    Workspace.clear_token_salt();
  }
  return Declaration;
}

} // namespace

std::string describeDifference(const schema::Declaration &Before,
                               const schema::Declaration &After) {
  MessageDifferencer Differencer;
  for (const char *Section : {"workspaces", "services", "models", "endpoints"})
    matchByName(Differencer, Section);
  std::string Report;
  Differencer.ReportDifferencesToString(&Report);
  Differencer.Compare(withoutSecrets(Before), withoutSecrets(After));
  return Report;
}

} // namespace mimosadale::ctl
