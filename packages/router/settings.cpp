#include "router/settings.h"

#include "base/error.h"
#include "net/http.h"

#include <fstream>
#include <sstream>

namespace mimosadale::router {

namespace {

// Adds the faults that no single field shows.
class CrossChecks {
public:
  CrossChecks(std::string File, std::vector<schema::Diagnostic> &Faults)
      : m_File(std::move(File)), m_Faults(Faults) {}

  void address(const std::string &Key, const std::string &Text) {
    if (Text.empty())
      return;
    try {
      net::parseAddress(Text);
    } catch (const Error &Wrong) {
      fault(Key, Wrong.what());
    }
  }

  void readable(const std::string &Key, const std::string &File) {
    if (!File.empty() && !std::ifstream(File))
      fault(Key, "the file \"" + File + "\" cannot be read");
  }

  void listen(const std::string &Key, const schema::Listen &Listen) {
    address(Key + ".address", Listen.address());
    readable(Key + ".certificate_file", Listen.certificate_file());
    readable(Key + ".key_file", Listen.key_file());
    if (Listen.certificate_file().empty() != Listen.key_file().empty())
      fault(Key, "allowed: certificate_file and key_file together, or neither");
  }

  void fault(const std::string &Key, const std::string &What) {
    m_Faults.push_back({m_File, 0, Key, What});
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
  std::ostringstream Text;
  Text << In.rdbuf();
  std::string Content = Text.str();
  while (!Content.empty() && Content.back() == '\n')
    Content.pop_back();
  return Content;
}

LoadedSettings loadSettings(const std::string &File) {
  LoadedSettings Loaded;
  Loaded.m_Faults = schema::parseToml(File, readFile(File), Loaded.m_Settings);
  const schema::NodeSettings &Given = Loaded.m_Settings;
  CrossChecks Check(File, Loaded.m_Faults);
  Check.listen("callers", Given.callers());
  Check.listen("operators", Given.operators());
  Check.address("peers.address", Given.peers().address());
  for (const std::string &Seed : Given.peers().seeds())
    Check.address("peers.seeds", Seed);
  if (Given.peers().keys_size() > 2)
    Check.fault("peers.keys", "allowed: one key, or two during a change");
  Check.address("platform.address", Given.platform().address());
  Check.readable("access.token_file", Given.access().token_file());
  return Loaded;
}

LoadedForwardSettings loadForwardSettings(const std::string &File) {
  LoadedForwardSettings Loaded;
  Loaded.m_Faults = schema::parseToml(File, readFile(File), Loaded.m_Settings);
  const schema::ForwardSettings &Given = Loaded.m_Settings;
  CrossChecks Check(File, Loaded.m_Faults);
  Check.address("callers", Given.callers());
  Check.address("readiness", Given.readiness());
  Check.address("metrics", Given.metrics());
  Check.address("peers", Given.peers());
  Check.address("store.address", Given.store().address());
  return Loaded;
}

} // namespace mimosadale::router
