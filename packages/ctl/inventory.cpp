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

using CsvCells = std::vector<std::string>;

struct CsvRow {
  unsigned m_Line = 0;
  CsvCells m_Cells;
};

std::string readText(const std::string &File) {
  std::ifstream Stream(File, std::ios::binary);
  if (!Stream)
    throw Error("the file \"" + File + "\" cannot be read");
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

// Collects rows from the callbacks of the CSV parser. Line numbers account for
// line breaks within quoted cells.
struct CsvRowCollector {
  std::vector<CsvRow> m_Rows;
  CsvCells m_RowCells;
  unsigned m_Line = 1;

  static void onField(void *Cell, std::size_t Size, void *Self) {
    static_cast<CsvRowCollector *>(Self)->m_RowCells.emplace_back(
        static_cast<const char *>(Cell), Size);
  }

  static void onRecord(int, void *Self) {
    auto &Collector = *static_cast<CsvRowCollector *>(Self);
    unsigned EmbeddedLines = 0;
    for (const std::string &Cell : Collector.m_RowCells)
      EmbeddedLines +=
          static_cast<unsigned>(std::count(Cell.begin(), Cell.end(), '\n'));
    Collector.m_Rows.push_back(
        {Collector.m_Line, std::move(Collector.m_RowCells)});
    Collector.m_RowCells.clear();
    Collector.m_Line += EmbeddedLines + 1;
  }
};

std::vector<CsvRow> parseCsv(const std::string &File, const std::string &Text,
                             std::vector<schema::Diagnostic> &Faults) {
  CsvRowCollector Collector;
  csv_parser Parser;
  csv_init(&Parser, CSV_STRICT | CSV_STRICT_FINI);
  const std::size_t ParsedBytes =
      csv_parse(&Parser, Text.data(), Text.size(), CsvRowCollector::onField,
                CsvRowCollector::onRecord, &Collector);
  const bool Complete = ParsedBytes == Text.size() &&
                        csv_fini(&Parser, CsvRowCollector::onField,
                                 CsvRowCollector::onRecord, &Collector) == 0;
  if (!Complete)
    Faults.push_back(
        {File, Collector.m_Line, "", csv_strerror(csv_error(&Parser))});
  csv_free(&Parser);
  return std::move(Collector.m_Rows);
}

// Maps names of endpoint fields to column indices. \p Columns holds the column
// name of each field; fields without one are not imported.
std::map<std::string, std::size_t>
findColumns(const std::string &File, const CsvCells &Header,
            const schema::ColumnMap &Columns,
            std::vector<schema::Diagnostic> &Faults) {
  std::map<std::string, std::size_t> ColumnIndices;
  const auto &Descriptor = *Columns.GetDescriptor();
  for (int I = 0; I < Descriptor.field_count(); ++I) {
    const auto &Field = *Descriptor.field(I);
    const std::string ColumnName =
        Columns.GetReflection()->GetString(Columns, &Field);
    if (ColumnName.empty())
      continue;
    const auto Found = std::find(Header.begin(), Header.end(), ColumnName);
    if (Found == Header.end())
      Faults.push_back(
          {File, 1, Field.name(), "there is no column \"" + ColumnName + "\""});
    else
      ColumnIndices[Field.name()] =
          static_cast<std::size_t>(Found - Header.begin());
  }
  return ColumnIndices;
}

std::string describeCellFault(const std::string &Cell,
                              const std::string &Reason) {
  std::string Text = "\"";
  Text += Cell;
  Text += "\": ";
  Text += Reason;
  return Text;
}

// Converts a row to an endpoint. Empty cells leave optional fields unset; an
// empty required cell is a fault.
schema::Endpoint
readEndpoint(const std::string &File, const CsvRow &Row,
             const std::map<std::string, std::size_t> &ColumnIndices,
             std::vector<schema::Diagnostic> &Faults) {
  schema::Endpoint Endpoint;
  for (const auto &[FieldName, Index] : ColumnIndices) {
    const std::string Cell =
        Index < Row.m_Cells.size() ? Row.m_Cells[Index] : "";
    const bool Required = FieldName == "name" || FieldName == "data_centre" ||
                          FieldName == "address" || FieldName == "kind";
    if (Cell.empty() && !Required)
      continue;
    const std::string Reason =
        schema::setFieldFromText(Endpoint, FieldName, Cell);
    if (!Reason.empty())
      Faults.push_back(
          {File, Row.m_Line, FieldName, describeCellFault(Cell, Reason)});
  }
  try {
    net::parseAddress(Endpoint.address());
  } catch (const Error &Failure) {
    Faults.push_back({File, Row.m_Line, "address", Failure.what()});
  }
  return Endpoint;
}

template <typename ItemRange>
std::set<std::string> collectNames(const ItemRange &Items) {
  std::set<std::string> Names;
  for (const auto &Item : Items)
    Names.insert(Item.name());
  return Names;
}

const schema::Model *findModel(const schema::Declaration &Declaration,
                               const schema::Endpoint &Endpoint) {
  for (const schema::Model &Model : Declaration.models())
    if (Model.name() == Endpoint.model() &&
        Model.version() == Endpoint.version())
      return &Model;
  return nullptr;
}

// Whether the engines declared for a model can be chained into a path over all
// its layers.
bool canCoverLayers(const schema::Declaration &Declaration,
                    const schema::Model &Model) {
  std::vector<decide::EngineProfile> Engines;
  for (const schema::Endpoint &Endpoint : Declaration.endpoints())
    if (findModel(Declaration, Endpoint) == &Model)
      Engines.push_back({EndpointId(Endpoint.name()),
                         {Endpoint.first_layer(), Endpoint.end_layer()},
                         1,
                         {}});
  const decide::PathChooser Chooser(std::move(Engines), Model.layers());
  return Chooser.maximumFlow() > 0;
}

} // namespace

std::vector<schema::Diagnostic>
importInventory(const std::string &File, const std::string &Text,
                const schema::ColumnMap &Columns,
                schema::Declaration &Declaration) {
  std::vector<schema::Diagnostic> Faults;
  const std::vector<CsvRow> Rows = parseCsv(File, Text, Faults);
  if (Rows.empty()) {
    Faults.push_back({File, 1, "", "the export has no header row"});
    return Faults;
  }
  const auto ColumnIndices =
      findColumns(File, Rows.front().m_Cells, Columns, Faults);
  std::set<std::string> Names;
  for (std::size_t RowIndex = 1; RowIndex < Rows.size(); ++RowIndex) {
    const schema::Endpoint Endpoint =
        readEndpoint(File, Rows[RowIndex], ColumnIndices, Faults);
    if (!Names.insert(Endpoint.name()).second)
      Faults.push_back({File, Rows[RowIndex].m_Line, "name",
                        "\"" + Endpoint.name() + "\" stands twice"});
    *Declaration.add_endpoints() = Endpoint;
  }
  return Faults;
}

std::vector<schema::Diagnostic>
validateDeclaration(const std::string &File,
                    const schema::Declaration &Declaration) {
  std::vector<schema::Diagnostic> Faults;
  const auto addFault = [&](const std::string &Key,
                            const std::string &Message) {
    Faults.push_back({File, 0, Key, Message});
  };
  const auto Services = collectNames(Declaration.services());
  for (const schema::Endpoint &Endpoint : Declaration.endpoints()) {
    const std::string Key = "endpoint " + Endpoint.name();
    if (Endpoint.kind() == schema::PLAIN &&
        !Services.contains(Endpoint.service()))
      addFault(Key, "service \"" + Endpoint.service() + "\" is not declared");
    if (Endpoint.kind() != schema::ENGINE)
      continue;
    const schema::Model *Model = findModel(Declaration, Endpoint);
    if (!Model)
      addFault(Key, "model \"" + Endpoint.model() + "\" version \"" +
                        Endpoint.version() + "\" is not declared");
    else if (Endpoint.first_layer() >= Endpoint.end_layer() ||
             Endpoint.end_layer() > Model->layers())
      addFault(Key, "layers: allowed: a range within 0 to " +
                        std::to_string(Model->layers()));
  }
  for (const schema::Model &Model : Declaration.models())
    if (!canCoverLayers(Declaration, Model))
      addFault("model " + Model.name(),
               "no endpoints together hold all layers of version " +
                   Model.version());
  return Faults;
}

LoadedDeclaration loadDeclaration(const std::string &File) {
  LoadedDeclaration Loaded;
  schema::DeclarationFile ParsedFile;
  Loaded.m_Faults = schema::parseToml(File, readText(File), ParsedFile);
  schema::Declaration &Declaration = Loaded.m_Declaration;
  *Declaration.mutable_workspaces() = ParsedFile.workspaces();
  *Declaration.mutable_services() = ParsedFile.services();
  *Declaration.mutable_models() = ParsedFile.models();
  if (ParsedFile.inventory().csv_file().empty())
    return Loaded;
  const std::filesystem::path CsvFile =
      std::filesystem::path(File).parent_path() /
      ParsedFile.inventory().csv_file();
  for (auto &Fault :
       importInventory(CsvFile.string(), readText(CsvFile.string()),
                       ParsedFile.inventory().columns(), Declaration))
    Loaded.m_Faults.push_back(std::move(Fault));
  if (Loaded.m_Faults.empty())
    Loaded.m_Faults = validateDeclaration(File, Declaration);
  return Loaded;
}

} // namespace mimosadale::ctl
