#include "router/settings.h"

#include "base/error.h"
#include "net/http.h"

#include <fstream>
#include <sstream>

namespace mimosadale::router {

namespace {

// Finds faults that the schema cannot express: malformed addresses, unreadable
// files and keys that depend on each other.
class SettingsChecker {
public:
  SettingsChecker(std::string File, std::vector<schema::Diagnostic> &Faults)
      : m_File(std::move(File)), m_Faults(Faults) {}

  void checkAddress(const std::string &Key, const std::string &Address) {
    if (Address.empty())
      return;
    try {
      net::parseAddress(Address);
    } catch (const Error &Failure) {
      addFault(Key, Failure.what());
    }
  }

  void checkReadable(const std::string &Key, const std::string &File) {
    if (!File.empty() && !std::ifstream(File))
      addFault(Key, "the file \"" + File + "\" cannot be read");
  }

  void checkListen(const std::string &Key, const schema::Listen &Listen) {
    checkAddress(Key + ".address", Listen.address());
    checkReadable(Key + ".certificate_file", Listen.certificate_file());
    checkReadable(Key + ".key_file", Listen.key_file());
    if (Listen.certificate_file().empty() != Listen.key_file().empty())
      addFault(Key,
               "allowed: certificate_file and key_file together, or neither");
  }

  void addFault(const std::string &Key, const std::string &Message) {
    m_Faults.push_back({m_File, 0, Key, Message});
  }

private:
  std::string m_File;
  std::vector<schema::Diagnostic> &m_Faults;
};

} // namespace

std::string readFile(const std::string &File) {
  std::ifstream In(File);
  if (!In)
    throw Error("the file \"" + File + "\" cannot be read");
  std::ostringstream Stream;
  Stream << In.rdbuf();
  std::string Content = Stream.str();
  while (!Content.empty() && Content.back() == '\n')
    Content.pop_back();
  return Content;
}

LoadedSettings loadSettings(const std::string &File) {
  LoadedSettings Loaded;
  Loaded.m_Faults = schema::parseToml(File, readFile(File), Loaded.m_Settings);
  const schema::NodeSettings &Settings = Loaded.m_Settings;
  SettingsChecker Checker(File, Loaded.m_Faults);
  Checker.checkListen("callers", Settings.callers());
  Checker.checkListen("operators", Settings.operators());
  Checker.checkAddress("peers.address", Settings.peers().address());
  for (const std::string &Seed : Settings.peers().seeds())
    Checker.checkAddress("peers.seeds", Seed);
  if (Settings.peers().keys_size() > 2)
    Checker.addFault("peers.keys",
                     "allowed: one key, or two during a key rotation");
  Checker.checkAddress("platform.address", Settings.platform().address());
  Checker.checkReadable("access.token_file", Settings.access().token_file());
  return Loaded;
}

LoadedForwardSettings loadForwardSettings(const std::string &File) {
  LoadedForwardSettings Loaded;
  Loaded.m_Faults = schema::parseToml(File, readFile(File), Loaded.m_Settings);
  const schema::ForwardSettings &Settings = Loaded.m_Settings;
  SettingsChecker Checker(File, Loaded.m_Faults);
  Checker.checkAddress("callers", Settings.callers());
  Checker.checkAddress("readiness", Settings.readiness());
  Checker.checkAddress("metrics", Settings.metrics());
  Checker.checkAddress("peers", Settings.peers());
  Checker.checkAddress("store.address", Settings.store().address());
  return Loaded;
}

} // namespace mimosadale::router
