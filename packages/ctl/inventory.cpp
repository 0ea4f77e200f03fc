#include "ctl/inventory.h"

#include "base/error.h"
#include "decide/path_chooser.h"
#include "net/http.h"

#include <algorithm>
#include <csv.h>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace mimosadale::ctl {

namespace {

using Row = std::vector<std::string>;

struct NumberedRow {
  unsigned m_Line = 0;
  Row m_Cells;
};

std::string readText(const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  if (!In)
    throw Error("the file \"" + File + "\" cannot be read");
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

// Gathers what the CSV library finds.
struct CsvSink {
  std::vector<NumberedRow> m_Rows;
  Row m_Current;
  unsigned m_Line = 1;

  static void onCell(void *Cell, std::size_t Size, void *Self) {
    static_cast<CsvSink *>(Self)->m_Current.emplace_back(
        static_cast<const char *>(Cell), Size);
  }

  static void onRow(int, void *Self) {
    auto &Sink = *static_cast<CsvSink *>(Self);
    unsigned Inner = 0;
    for (const std::string &Cell : Sink.m_Current)
      Inner +=
          static_cast<unsigned>(std::count(Cell.begin(), Cell.end(), '\n'));
    Sink.m_Rows.push_back({Sink.m_Line, std::move(Sink.m_Current)});
    Sink.m_Current.clear();
    Sink.m_Line += Inner + 1;
  }
};

std::vector<NumberedRow> readCsv(const std::string &File,
                                 const std::string &Text,
                                 std::vector<schema::Diagnostic> &Faults) {
  CsvSink Sink;
  csv_parser Parser;
  csv_init(&Parser, CSV_STRICT | CSV_STRICT_FINI);
  const std::size_t Read = csv_parse(&Parser, Text.data(), Text.size(),
                                     CsvSink::onCell, CsvSink::onRow, &Sink);
  const bool Whole =
      Read == Text.size() &&
      csv_fini(&Parser, CsvSink::onCell, CsvSink::onRow, &Sink) == 0;
  if (!Whole)
    Faults.push_back({File, Sink.m_Line, "", csv_strerror(csv_error(&Parser))});
  csv_free(&Parser);
  return std::move(Sink.m_Rows);
}

// Which field of an endpoint stands in which column.
std::map<std::string, std::size_t>
columnPlaces(const std::string &File, const Row &Header,
             const schema::ColumnMap &Columns,
             std::vector<schema::Diagnostic> &Faults) {
  std::map<std::string, std::size_t> Places;
  const auto &Type = *Columns.GetDescriptor();
  for (int I = 0; I < Type.field_count(); ++I) {
    const auto &Field = *Type.field(I);
    const std::string Column =
        Columns.GetReflection()->GetString(Columns, &Field);
    if (Column.empty())
      continue;
    const auto Found = std::find(Header.begin(), Header.end(), Column);
    if (Found == Header.end())
      Faults.push_back(
          {File, 1, Field.name(), "there is no column \"" + Column + "\""});
    else
      Places[Field.name()] = static_cast<std::size_t>(Found - Header.begin());
  }
  return Places;
}

std::string describeCell(const std::string &Cell, const std::string &Wrong) {
  std::string Text = "\"";
  Text += Cell;
  Text += "\": ";
  Text += Wrong;
  return Text;
}

// Fills one endpoint from a row; empty cells leave their fields unset.
schema::Endpoint readEndpoint(const std::string &File, const NumberedRow &From,
                              const std::map<std::string, std::size_t> &Places,
                              std::vector<schema::Diagnostic> &Faults) {
  schema::Endpoint Endpoint;
  for (const auto &[Field, Place] : Places) {
    const std::string Cell =
        Place < From.m_Cells.size() ? From.m_Cells[Place] : "";
    const bool Needed = Field == "name" || Field == "data_centre" ||
                        Field == "address" || Field == "kind";
    if (Cell.empty() && !Needed)
      continue;
    const std::string Wrong = schema::setFieldFromText(Endpoint, Field, Cell);
    if (!Wrong.empty())
      Faults.push_back({File, From.m_Line, Field, describeCell(Cell, Wrong)});
  }
  try {
    net::parseAddress(Endpoint.address());
  } catch (const Error &Wrong) {
    Faults.push_back({File, From.m_Line, "address", Wrong.what()});
  }
  return Endpoint;
}

template <typename Entries> std::set<std::string> namesOf(const Entries &All) {
  std::set<std::string> Names;
  for (const auto &Each : All)
    Names.insert(Each.name());
  return Names;
}

const schema::Model *findModel(const schema::Declaration &Declared,
                               const schema::Endpoint &Endpoint) {
  for (const schema::Model &Each : Declared.models())
    if (Each.name() == Endpoint.model() && Each.version() == Endpoint.version())
      return &Each;
  return nullptr;
}

// Whether the engines declared for a model can run all its layers.
bool canTile(const schema::Declaration &Declared, const schema::Model &Model) {
  std::vector<decide::EngineView> Engines;
  for (const schema::Endpoint &Each : Declared.endpoints())
    if (findModel(Declared, Each) == &Model)
      Engines.push_back({EndpointId(Each.name()),
                         {Each.first_layer(), Each.end_layer()},
                         1,
                         {}});
  const decide::PathChooser Chooser(std::move(Engines), Model.layers());
  return Chooser.maximumFlow() > 0;
}

} // namespace

std::vector<schema::Diagnostic>
importInventory(const std::string &File, const std::string &Text,
                const schema::ColumnMap &Columns, schema::Declaration &Into) {
  std::vector<schema::Diagnostic> Faults;
  const std::vector<NumberedRow> Rows = readCsv(File, Text, Faults);
  if (Rows.empty()) {
    Faults.push_back({File, 1, "", "the export has no header row"});
    return Faults;
  }
  const auto Places = columnPlaces(File, Rows.front().m_Cells, Columns, Faults);
  std::set<std::string> Names;
  for (std::size_t I = 1; I < Rows.size(); ++I) {
    const schema::Endpoint Endpoint =
        readEndpoint(File, Rows[I], Places, Faults);
    if (!Names.insert(Endpoint.name()).second)
      Faults.push_back({File, Rows[I].m_Line, "name",
                        "\"" + Endpoint.name() + "\" stands twice"});
    *Into.add_endpoints() = Endpoint;
  }
  return Faults;
}

std::vector<schema::Diagnostic>
crossCheck(const std::string &File, const schema::Declaration &Declared) {
  std::vector<schema::Diagnostic> Faults;
  const auto fault = [&](const std::string &Key, const std::string &What) {
    Faults.push_back({File, 0, Key, What});
  };
  const auto Services = namesOf(Declared.services());
  for (const schema::Endpoint &Each : Declared.endpoints()) {
    const std::string Key = "endpoint " + Each.name();
    if (Each.kind() == schema::PLAIN && !Services.contains(Each.service()))
      fault(Key, "service \"" + Each.service() + "\" is not declared");
    if (Each.kind() != schema::ENGINE)
      continue;
    const schema::Model *Model = findModel(Declared, Each);
    if (!Model)
      fault(Key, "model \"" + Each.model() + "\" version \"" + Each.version() +
                     "\" is not declared");
    else if (Each.first_layer() >= Each.end_layer() ||
             Each.end_layer() > Model->layers())
      fault(Key, "layers: allowed: a range within 0 to " +
                     std::to_string(Model->layers()));
  }
  for (const schema::Model &Each : Declared.models())
    if (!canTile(Declared, Each))
      fault("model " + Each.name(),
            "no endpoints together hold all layers of version " +
                Each.version());
  return Faults;
}

LoadedDeclaration loadDeclaration(const std::string &File) {
  LoadedDeclaration Loaded;
  schema::DeclarationFile Given;
  Loaded.m_Faults = schema::parseToml(File, readText(File), Given);
  schema::Declaration &Into = Loaded.m_Declaration;
  *Into.mutable_workspaces() = Given.workspaces();
  *Into.mutable_services() = Given.services();
  *Into.mutable_models() = Given.models();
  if (Given.inventory().csv_file().empty())
    return Loaded;
  const std::filesystem::path Csv =
      std::filesystem::path(File).parent_path() / Given.inventory().csv_file();
  for (auto &Each : importInventory(Csv.string(), readText(Csv.string()),
                                    Given.inventory().columns(), Into))
    Loaded.m_Faults.push_back(std::move(Each));
  if (Loaded.m_Faults.empty())
    Loaded.m_Faults = crossCheck(File, Into);
  return Loaded;
}

} // namespace mimosadale::ctl
