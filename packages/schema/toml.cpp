#include "schema/toml.h"

#include "schema/generated/options.pb.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace mimosadale::schema {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// The position of a value in its file, for diagnostics.
struct Location {
  std::string m_File;
  unsigned m_Line;
  std::string m_Key;
};

// Fills messages from parsed TOML and collects diagnostics.
class Reader {
public:
  explicit Reader(std::vector<Diagnostic> &Diagnostics)
      : m_Diagnostics(Diagnostics) {}

  void readTable(const Location &Loc, const toml::table &Table, Message &Msg);

private:
  void readField(const Location &Loc, const toml::node &Node,
                 const FieldDescriptor &Field, Message &Msg);
  void readScalar(const Location &Loc, const toml::node &Node,
                  const FieldDescriptor &Field, Message &Msg);
  void readArray(const Location &Loc, const toml::array &Array,
                 const FieldDescriptor &Field, Message &Msg);
  void applyDefault(const Location &Loc, const FieldDescriptor &Field,
                    Message &Msg);
  void addDiagnostic(const Location &Loc, std::string Text) {
    m_Diagnostics.push_back(
        {Loc.m_File, Loc.m_Line, Loc.m_Key, std::move(Text)});
  }

  std::vector<Diagnostic> &m_Diagnostics;
};

const Check &checkOptions(const FieldDescriptor &Field) {
  return Field.options().GetExtension(check);
}

std::string toLower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Char) { return std::tolower(Char); });
  return Text;
}

// The values of an enumeration in lower case, as settings spell them. Omits the
// zero value, which means "not set".
std::string allowedValues(const EnumDescriptor &Enum) {
  std::string Text = "allowed: ";
  for (int I = 1; I < Enum.value_count(); ++I)
    Text += (I > 1 ? ", " : "") + toLower(Enum.value(I)->name());
  return Text;
}

std::string allowedKeys(const Descriptor &Type) {
  std::string Text = "allowed: ";
  for (int I = 0; I < Type.field_count(); ++I)
    Text += (I ? ", " : "") + Type.field(I)->name();
  return Text;
}

bool hasBounds(const Check &Rule) { return Rule.max() > Rule.min(); }

std::string allowedNumbers(const FieldDescriptor &Field) {
  const Check &Rule = checkOptions(Field);
  std::ostringstream Out;
  if (Field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE)
    Out << "a number";
  else
    Out << "a whole number";
  if (hasBounds(Rule))
    Out << " from " << std::llround(Rule.min()) << " to "
        << std::llround(Rule.max());
  return Out.str();
}

template <typename T> bool parseNumber(const std::string &Text, T &Value) {
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Code == std::errc() && End == Text.data() + Text.size();
}

bool withinBounds(const FieldDescriptor &Field, double Value) {
  const Check &Rule = checkOptions(Field);
  return !hasBounds(Rule) || (Value >= Rule.min() && Value <= Rule.max());
}

// Checks the bounds of a numeric field and sets it. Returns an empty string, or
// the values allowed.
std::string setNumber(Message &Msg, const FieldDescriptor &Field,
                      double Value) {
  if (!withinBounds(Field, Value))
    return "allowed: " + allowedNumbers(Field);
  const auto *Reflection = Msg.GetReflection();
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_DOUBLE:
    Reflection->SetDouble(&Msg, &Field, Value);
    return "";
  case FieldDescriptor::CPPTYPE_UINT32:
    if (Value < 0 || Value > 4294967295.0 || Value != std::floor(Value))
      return "allowed: " + allowedNumbers(Field);
    Reflection->SetUInt32(&Msg, &Field, static_cast<std::uint32_t>(Value));
    return "";
  default:
    return "allowed: another type";
  }
}

// Sets an enumeration field from its lower-case name. Returns an empty string,
// or the values allowed.
std::string setEnum(Message &Msg, const FieldDescriptor &Field,
                    const std::string &Text) {
  std::string Name = Text;
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char Char) { return std::toupper(Char); });
  const auto *Value = Field.enum_type()->FindValueByName(Name);
  if (!Value || Value->number() == 0)
    return allowedValues(*Field.enum_type());
  Msg.GetReflection()->SetEnum(&Msg, &Field, Value);
  return "";
}

void Reader::readTable(const Location &Loc, const toml::table &Table,
                       Message &Msg) {
  const Descriptor &Type = *Msg.GetDescriptor();
  const std::string Prefix = Loc.m_Key.empty() ? "" : Loc.m_Key + ".";
  for (const auto &[Key, Node] : Table) {
    const std::string Name(Key.str());
    const Location ItemLoc{Loc.m_File, Node.source().begin.line, Prefix + Name};
    const FieldDescriptor *Field = Type.FindFieldByName(Name);
    if (Field)
      readField(ItemLoc, Node, *Field, Msg);
    else
      addDiagnostic(ItemLoc, "unknown key; " + allowedKeys(Type));
  }
  for (int I = 0; I < Type.field_count(); ++I) {
    const FieldDescriptor &Field = *Type.field(I);
    if (!Table.contains(Field.name()))
      applyDefault({Loc.m_File, Loc.m_Line, Prefix + Field.name()}, Field, Msg);
  }
}

// Applies the default of a missing key, or reports that a required one is
// missing.
void Reader::applyDefault(const Location &Loc, const FieldDescriptor &Field,
                          Message &Msg) {
  const Check &Rule = checkOptions(Field);
  if (Rule.required())
    addDiagnostic(Loc, "required key is missing");
  else if (!Rule.fallback().empty())
    setFieldFromText(Msg, Field.name(), Rule.fallback());
  else if (!Field.is_repeated() && Field.message_type())
    readTable(Loc, toml::table(),
              *Msg.GetReflection()->MutableMessage(&Msg, &Field));
}

void Reader::readField(const Location &Loc, const toml::node &Node,
                       const FieldDescriptor &Field, Message &Msg) {
  if (Field.is_repeated()) {
    if (const auto *Array = Node.as_array())
      readArray(Loc, *Array, Field, Msg);
    else
      addDiagnostic(Loc, "allowed: an array");
    return;
  }
  if (!Field.message_type()) {
    readScalar(Loc, Node, Field, Msg);
    return;
  }
  if (const auto *Table = Node.as_table())
    readTable(Loc, *Table, *Msg.GetReflection()->MutableMessage(&Msg, &Field));
  else
    addDiagnostic(Loc, "allowed: a table");
}

void Reader::readArray(const Location &Loc, const toml::array &Array,
                       const FieldDescriptor &Field, Message &Msg) {
  std::set<std::string> Names;
  for (const auto &Node : Array) {
    const Location ItemLoc{Loc.m_File, Node.source().begin.line, Loc.m_Key};
    if (!Field.message_type()) {
      if (auto Text = Node.value_exact<std::string>())
        Msg.GetReflection()->AddString(&Msg, &Field, *Text);
      else
        addDiagnostic(ItemLoc, "allowed: text");
      continue;
    }
    const auto *Table = Node.as_table();
    if (!Table) {
      addDiagnostic(ItemLoc, "allowed: a table");
      continue;
    }
    readTable(ItemLoc, *Table, *Msg.GetReflection()->AddMessage(&Msg, &Field));
    if (auto Name = (*Table)["name"].value<std::string>())
      if (!Names.insert(*Name).second)
        addDiagnostic(ItemLoc, "name \"" + *Name + "\" stands twice");
  }
}

void Reader::readScalar(const Location &Loc, const toml::node &Node,
                        const FieldDescriptor &Field, Message &Msg) {
  std::string Problem;
  const auto *Reflection = Msg.GetReflection();
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_STRING:
    if (auto Text = Node.value_exact<std::string>())
      Reflection->SetString(&Msg, &Field, *Text);
    else
      Problem = "allowed: text";
    if (Problem.empty() && checkOptions(Field).required() &&
        Reflection->GetString(Msg, &Field).empty())
      Problem = "allowed: text that is not empty";
    break;
  case FieldDescriptor::CPPTYPE_BOOL:
    if (auto Value = Node.value_exact<bool>())
      Reflection->SetBool(&Msg, &Field, *Value);
    else
      Problem = "allowed: true, false";
    break;
  case FieldDescriptor::CPPTYPE_ENUM:
    if (auto Text = Node.value_exact<std::string>())
      Problem = setEnum(Msg, Field, *Text);
    else
      Problem = allowedValues(*Field.enum_type());
    break;
  default:
    if (Node.is_number())
      Problem = setNumber(Msg, Field, *Node.value<double>());
    else
      Problem = "allowed: " + allowedNumbers(Field);
  }
  if (!Problem.empty())
    addDiagnostic(Loc, Problem);
}

std::string quote(const std::string &Text) {
  std::ostringstream Out;
  Out << toml::value<std::string>(Text);
  return Out.str();
}

// A scalar field in TOML syntax; secrets are masked.
std::string printScalar(const Message &Msg, const FieldDescriptor &Field) {
  const auto *Reflection = Msg.GetReflection();
  if (checkOptions(Field).secret())
    return "\"***\"";
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_STRING:
    return quote(Reflection->GetString(Msg, &Field));
  case FieldDescriptor::CPPTYPE_BOOL:
    return Reflection->GetBool(Msg, &Field) ? "true" : "false";
  case FieldDescriptor::CPPTYPE_ENUM:
    return quote(toLower(Reflection->GetEnum(Msg, &Field)->name()));
  case FieldDescriptor::CPPTYPE_DOUBLE: {
    std::ostringstream Out;
    Out << Reflection->GetDouble(Msg, &Field);
    return Out.str();
  }
  default:
    return std::to_string(Reflection->GetUInt32(Msg, &Field));
  }
}

std::string printStrings(const Message &Msg, const FieldDescriptor &Field) {
  const auto *Reflection = Msg.GetReflection();
  std::string Text = "[";
  for (int I = 0; I < Reflection->FieldSize(Msg, &Field); ++I)
    Text +=
        (I ? ", " : "") + quote(Reflection->GetRepeatedString(Msg, &Field, I));
  return Text + "]";
}

void printTable(const std::string &Prefix, const Message &Msg,
                std::string &Out) {
  const Descriptor &Type = *Msg.GetDescriptor();
  const auto *Reflection = Msg.GetReflection();
  for (int I = 0; I < Type.field_count(); ++I) {
    const FieldDescriptor &Field = *Type.field(I);
    if (Field.message_type())
      continue;
    Out += Field.name() + " = " +
           (Field.is_repeated() ? printStrings(Msg, Field)
                                : printScalar(Msg, Field)) +
           "\n";
  }
  for (int I = 0; I < Type.field_count(); ++I) {
    const FieldDescriptor &Field = *Type.field(I);
    if (!Field.message_type())
      continue;
    const std::string Name = Prefix + Field.name();
    if (!Field.is_repeated()) {
      Out += "\n[" + Name + "]\n";
      printTable(Name + ".", Reflection->GetMessage(Msg, &Field), Out);
      continue;
    }
    for (int J = 0; J < Reflection->FieldSize(Msg, &Field); ++J) {
      Out += "\n[[" + Name + "]]\n";
      printTable(Name + ".", Reflection->GetRepeatedMessage(Msg, &Field, J),
                 Out);
    }
  }
}

} // namespace

std::string formatDiagnostics(const std::vector<Diagnostic> &Diagnostics) {
  std::string Text;
  for (const Diagnostic &Diag : Diagnostics)
    Text += Diag.m_File + ":" + std::to_string(Diag.m_Line) + ": " +
            (Diag.m_Key.empty() ? "" : Diag.m_Key + ": ") + Diag.m_Message +
            "\n";
  return Text;
}

std::vector<Diagnostic> parseToml(const std::string &File,
                                  const std::string &Text, Message &Msg) {
  std::vector<Diagnostic> Diagnostics;
  try {
    const toml::table Table = toml::parse(Text, File);
    Reader(Diagnostics).readTable({File, 1, ""}, Table, Msg);
  } catch (const toml::parse_error &Err) {
    Diagnostics.push_back(
        {File, Err.source().begin.line, "", std::string(Err.description())});
  }
  std::stable_sort(Diagnostics.begin(), Diagnostics.end(),
                   [](const Diagnostic &A, const Diagnostic &B) {
                     return A.m_Line < B.m_Line;
                   });
  return Diagnostics;
}

std::string printToml(const Message &Msg) {
  std::string Out;
  printTable("", Msg, Out);
  return Out;
}

std::string setFieldFromText(Message &Msg, const std::string &Key,
                             const std::string &Text) {
  const FieldDescriptor &Field = *Msg.GetDescriptor()->FindFieldByName(Key);
  const auto *Reflection = Msg.GetReflection();
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_STRING:
    Reflection->SetString(&Msg, &Field, Text);
    return Text.empty() && checkOptions(Field).required()
               ? "allowed: text that is not empty"
               : "";
  case FieldDescriptor::CPPTYPE_BOOL:
    if (Text != "true" && Text != "false")
      return "allowed: true, false";
    Reflection->SetBool(&Msg, &Field, Text == "true");
    return "";
  case FieldDescriptor::CPPTYPE_ENUM:
    return setEnum(Msg, Field, Text);
  default:
    double Value = 0;
    if (!parseNumber(Text, Value))
      return "allowed: " + allowedNumbers(Field);
    return setNumber(Msg, Field, Value);
  }
}

} // namespace mimosadale::schema
