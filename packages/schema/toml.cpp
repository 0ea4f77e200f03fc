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

// Where a value stands, for faults.
struct Place {
  std::string m_File;
  unsigned m_Line;
  std::string m_Key;
};

// Collects faults while a file is read.
class Reader {
public:
  explicit Reader(std::vector<Fault> &Faults) : m_Faults(Faults) {}

  void readTable(const Place &At, const toml::table &Table, Message &Into);

private:
  void readField(const Place &At, const toml::node &Node,
                 const FieldDescriptor &Field, Message &Into);
  void readScalar(const Place &At, const toml::node &Node,
                  const FieldDescriptor &Field, Message &Into);
  void readArray(const Place &At, const toml::array &Array,
                 const FieldDescriptor &Field, Message &Into);
  void fillAbsent(const Place &At, const FieldDescriptor &Field, Message &Into);
  void fault(const Place &At, std::string What) {
    m_Faults.push_back({At.m_File, At.m_Line, At.m_Key, std::move(What)});
  }

  std::vector<Fault> &m_Faults;
};

const Check &checkOf(const FieldDescriptor &Field) {
  return Field.options().GetExtension(check);
}

std::string lower(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(),
                 [](unsigned char Char) { return std::tolower(Char); });
  return Text;
}

// The values of an enumeration as operators write them; the zero value, which
// stands for "not set", is left out.
std::string allowedValues(const EnumDescriptor &Enum) {
  std::string Text = "allowed: ";
  for (int I = 1; I < Enum.value_count(); ++I)
    Text += (I > 1 ? ", " : "") + lower(Enum.value(I)->name());
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
  const Check &Rule = checkOf(Field);
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
  const Check &Rule = checkOf(Field);
  return !hasBounds(Rule) || (Value >= Rule.min() && Value <= Rule.max());
}

// Sets or adds an integer or a floating number after its bounds are checked.
std::string setNumber(Message &Into, const FieldDescriptor &Field,
                      double Value) {
  if (!withinBounds(Field, Value))
    return "allowed: " + allowedNumbers(Field);
  const auto *Access = Into.GetReflection();
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_DOUBLE:
    Access->SetDouble(&Into, &Field, Value);
    return "";
  case FieldDescriptor::CPPTYPE_UINT32:
    if (Value < 0 || Value > 4294967295.0 || Value != std::floor(Value))
      return "allowed: " + allowedNumbers(Field);
    Access->SetUInt32(&Into, &Field, static_cast<std::uint32_t>(Value));
    return "";
  default:
    return "allowed: another type";
  }
}

std::string setEnum(Message &Into, const FieldDescriptor &Field,
                    const std::string &Text) {
  std::string Name = Text;
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char Char) { return std::toupper(Char); });
  const auto *Value = Field.enum_type()->FindValueByName(Name);
  if (!Value || Value->number() == 0)
    return allowedValues(*Field.enum_type());
  Into.GetReflection()->SetEnum(&Into, &Field, Value);
  return "";
}

void Reader::readTable(const Place &At, const toml::table &Table,
                       Message &Into) {
  const Descriptor &Type = *Into.GetDescriptor();
  const std::string Prefix = At.m_Key.empty() ? "" : At.m_Key + ".";
  for (const auto &[Key, Node] : Table) {
    const std::string Name(Key.str());
    const Place Here{At.m_File, Node.source().begin.line, Prefix + Name};
    const FieldDescriptor *Field = Type.FindFieldByName(Name);
    if (Field)
      readField(Here, Node, *Field, Into);
    else
      fault(Here, "unknown key; " + allowedKeys(Type));
  }
  for (int I = 0; I < Type.field_count(); ++I) {
    const FieldDescriptor &Field = *Type.field(I);
    if (!Table.contains(Field.name()))
      fillAbsent({At.m_File, At.m_Line, Prefix + Field.name()}, Field, Into);
  }
}

// Applies the fallback of an absent key, or reports a required one.
void Reader::fillAbsent(const Place &At, const FieldDescriptor &Field,
                        Message &Into) {
  const Check &Rule = checkOf(Field);
  if (Rule.required())
    fault(At, "required key is missing");
  else if (!Rule.fallback().empty())
    setFromText(Into, Field.name(), Rule.fallback());
  else if (!Field.is_repeated() && Field.message_type())
    readTable(At, toml::table(),
              *Into.GetReflection()->MutableMessage(&Into, &Field));
}

void Reader::readField(const Place &At, const toml::node &Node,
                       const FieldDescriptor &Field, Message &Into) {
  if (Field.is_repeated()) {
    if (const auto *Array = Node.as_array())
      readArray(At, *Array, Field, Into);
    else
      fault(At, "allowed: an array");
    return;
  }
  if (!Field.message_type()) {
    readScalar(At, Node, Field, Into);
    return;
  }
  if (const auto *Table = Node.as_table())
    readTable(At, *Table, *Into.GetReflection()->MutableMessage(&Into, &Field));
  else
    fault(At, "allowed: a table");
}

void Reader::readArray(const Place &At, const toml::array &Array,
                       const FieldDescriptor &Field, Message &Into) {
  std::set<std::string> Names;
  for (const auto &Node : Array) {
    const Place Here{At.m_File, Node.source().begin.line, At.m_Key};
    if (!Field.message_type()) {
      if (auto Text = Node.value_exact<std::string>())
        Into.GetReflection()->AddString(&Into, &Field, *Text);
      else
        fault(Here, "allowed: text");
      continue;
    }
    const auto *Table = Node.as_table();
    if (!Table) {
      fault(Here, "allowed: a table");
      continue;
    }
    readTable(Here, *Table, *Into.GetReflection()->AddMessage(&Into, &Field));
    if (auto Name = (*Table)["name"].value<std::string>())
      if (!Names.insert(*Name).second)
        fault(Here, "name \"" + *Name + "\" stands twice");
  }
}

void Reader::readScalar(const Place &At, const toml::node &Node,
                        const FieldDescriptor &Field, Message &Into) {
  std::string Wrong;
  const auto *Access = Into.GetReflection();
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_STRING:
    if (auto Text = Node.value_exact<std::string>())
      Access->SetString(&Into, &Field, *Text);
    else
      Wrong = "allowed: text";
    if (Wrong.empty() && checkOf(Field).required() &&
        Access->GetString(Into, &Field).empty())
      Wrong = "allowed: text that is not empty";
    break;
  case FieldDescriptor::CPPTYPE_BOOL:
    if (auto Value = Node.value_exact<bool>())
      Access->SetBool(&Into, &Field, *Value);
    else
      Wrong = "allowed: true, false";
    break;
  case FieldDescriptor::CPPTYPE_ENUM:
    if (auto Text = Node.value_exact<std::string>())
      Wrong = setEnum(Into, Field, *Text);
    else
      Wrong = allowedValues(*Field.enum_type());
    break;
  default:
    if (Node.is_number())
      Wrong = setNumber(Into, Field, *Node.value<double>());
    else
      Wrong = "allowed: " + allowedNumbers(Field);
  }
  if (!Wrong.empty())
    fault(At, Wrong);
}

std::string quoted(const std::string &Text) {
  std::ostringstream Out;
  Out << toml::value<std::string>(Text);
  return Out.str();
}

// One scalar as TOML spells it.
std::string printScalar(const Message &From, const FieldDescriptor &Field) {
  const auto *Access = From.GetReflection();
  if (checkOf(Field).secret())
    return "\"***\"";
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_STRING:
    return quoted(Access->GetString(From, &Field));
  case FieldDescriptor::CPPTYPE_BOOL:
    return Access->GetBool(From, &Field) ? "true" : "false";
  case FieldDescriptor::CPPTYPE_ENUM:
    return quoted(lower(Access->GetEnum(From, &Field)->name()));
  case FieldDescriptor::CPPTYPE_DOUBLE: {
    std::ostringstream Out;
    Out << Access->GetDouble(From, &Field);
    return Out.str();
  }
  default:
    return std::to_string(Access->GetUInt32(From, &Field));
  }
}

std::string printStrings(const Message &From, const FieldDescriptor &Field) {
  const auto *Access = From.GetReflection();
  std::string Text = "[";
  for (int I = 0; I < Access->FieldSize(From, &Field); ++I)
    Text +=
        (I ? ", " : "") + quoted(Access->GetRepeatedString(From, &Field, I));
  return Text + "]";
}

void printTable(const std::string &Prefix, const Message &From,
                std::string &Out) {
  const Descriptor &Type = *From.GetDescriptor();
  const auto *Access = From.GetReflection();
  for (int I = 0; I < Type.field_count(); ++I) {
    const FieldDescriptor &Field = *Type.field(I);
    if (Field.message_type())
      continue;
    Out += Field.name() + " = " +
           (Field.is_repeated() ? printStrings(From, Field)
                                : printScalar(From, Field)) +
           "\n";
  }
  for (int I = 0; I < Type.field_count(); ++I) {
    const FieldDescriptor &Field = *Type.field(I);
    if (!Field.message_type())
      continue;
    const std::string Name = Prefix + Field.name();
    if (!Field.is_repeated()) {
      Out += "\n[" + Name + "]\n";
      printTable(Name + ".", Access->GetMessage(From, &Field), Out);
      continue;
    }
    for (int J = 0; J < Access->FieldSize(From, &Field); ++J) {
      Out += "\n[[" + Name + "]]\n";
      printTable(Name + ".", Access->GetRepeatedMessage(From, &Field, J), Out);
    }
  }
}

} // namespace

std::string describeFaults(const std::vector<Fault> &Faults) {
  std::string Text;
  for (const Fault &Each : Faults)
    Text += Each.m_File + ":" + std::to_string(Each.m_Line) + ": " +
            (Each.m_Key.empty() ? "" : Each.m_Key + ": ") + Each.m_What + "\n";
  return Text;
}

std::vector<Fault> parseToml(const std::string &File, const std::string &Text,
                             Message &Into) {
  std::vector<Fault> Faults;
  try {
    const toml::table Table = toml::parse(Text, File);
    Reader(Faults).readTable({File, 1, ""}, Table, Into);
  } catch (const toml::parse_error &Wrong) {
    Faults.push_back({File, Wrong.source().begin.line, "",
                      std::string(Wrong.description())});
  }
  std::stable_sort(
      Faults.begin(), Faults.end(),
      [](const Fault &A, const Fault &B) { return A.m_Line < B.m_Line; });
  return Faults;
}

std::string printToml(const Message &From) {
  std::string Out;
  printTable("", From, Out);
  return Out;
}

std::string setFromText(Message &Into, const std::string &Key,
                        const std::string &Text) {
  const FieldDescriptor &Field = *Into.GetDescriptor()->FindFieldByName(Key);
  const auto *Access = Into.GetReflection();
  switch (Field.cpp_type()) {
  case FieldDescriptor::CPPTYPE_STRING:
    Access->SetString(&Into, &Field, Text);
    return Text.empty() && checkOf(Field).required()
               ? "allowed: text that is not empty"
               : "";
  case FieldDescriptor::CPPTYPE_BOOL:
    if (Text != "true" && Text != "false")
      return "allowed: true, false";
    Access->SetBool(&Into, &Field, Text == "true");
    return "";
  case FieldDescriptor::CPPTYPE_ENUM:
    return setEnum(Into, Field, Text);
  default:
    double Value = 0;
    if (!parseNumber(Text, Value))
      return "allowed: " + allowedNumbers(Field);
    return setNumber(Into, Field, Value);
  }
}

} // namespace mimosadale::schema
