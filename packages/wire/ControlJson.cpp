#include "wire/ControlJson.h"

#include "model/Number.h"
#include "wire/ControlMembers.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/JSON/Stringifier.h>
#include <algorithm>
#include <limits>
#include <sstream>
#include <type_traits>
#include <utility>

namespace fulmarway {

namespace {

using Poco::Dynamic::Var;
using Poco::JSON::Array;
using Poco::JSON::Object;

/** Above the nesting of the deepest document, services[].kinds[]. */
constexpr std::size_t kMaxJsonDepth = 8;

// Writing.

template<typename Doc>
Object::Ptr
WriteObject(const Doc& aDoc);

Var
Write(bool aValue)
{
  return aValue;
}

Var
Write(const std::string& aValue)
{
  return aValue;
}

Var
Write(Duration aValue)
{
  return Poco::Int64{ std::chrono::duration_cast<std::chrono::milliseconds>(aValue).count() };
}

template<typename Tag>
Var
Write(const Id<Tag>& aValue)
{
  return ToHex(aValue.value_);
}

template<typename T>
Var
Write(const T& aValue)
{
  if constexpr (std::is_enum_v<T>) {
    return std::string(ToString(aValue));
  } else if constexpr (std::is_unsigned_v<T>) {
    return Poco::UInt64{ aValue };
  } else {
    return WriteObject(aValue);
  }
}

template<typename T>
Var
Write(const std::vector<T>& aValues)
{
  Array::Ptr array = new Array;
  for (const T& value : aValues) {
    array->add(Write(value));
  }
  return array;
}

Var
Write(const std::map<std::string, KindSpec>& aKinds)
{
  Array::Ptr array = new Array;
  for (const auto& [name, kind] : aKinds) {
    array->add(WriteObject(kind));
  }
  return array;
}

template<typename Doc>
Object::Ptr
WriteObject(const Doc& aDoc)
{
  Object::Ptr object = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  auto visit = [&object](const char* aName, const auto& aMember) {
    object->set(aName, Write(aMember));
  };
  VisitMembers(visit, aDoc);
  return object;
}

template<typename Doc>
std::string
WriteText(const Doc& aDoc)
{
  std::ostringstream text;
  WriteObject(aDoc)->stringify(text);
  return text.str();
}

// Reading.

/** Visitor that reads the members of a document from a JSON object. Stops at the first error. */
class Reader
{
public:
  explicit Reader(Object::Ptr aObject, std::string aPath = {})
    : object_(std::move(aObject))
    , path_(std::move(aPath))
  {
  }

  template<typename Member>
  void operator()(const char* aName, Member& aMember)
  {
    if (error_) {
      return;
    }
    const std::string path = path_.empty() ? aName : path_ + '.' + aName;
    if (!object_->has(aName)) {
      error_ = UserError{ path, "is missing" };
      return;
    }
    Read(path, object_->get(aName), aMember);
  }

  const std::optional<UserError>& Error() const { return error_; }

private:
  void Fail(const std::string& aPath, std::string aMessage)
  {
    error_ = UserError{ aPath, std::move(aMessage) };
  }

  void Read(const std::string& aPath, const Var& aVar, bool& aValue)
  {
    if (!aVar.isBoolean()) {
      return Fail(aPath, "must be true or false");
    }
    aValue = aVar.extract<bool>();
  }

  void Read(const std::string& aPath, const Var& aVar, std::string& aValue)
  {
    if (!aVar.isString()) {
      return Fail(aPath, "must be a string");
    }
    aValue = aVar.extract<std::string>();
  }

  void Read(const std::string& aPath, const Var& aVar, Duration& aValue)
  {
    constexpr std::uint64_t kMaxDurationMs = std::numeric_limits<std::int64_t>::max() / 1000;
    std::uint64_t milliseconds = 0;
    Read(aPath, aVar, milliseconds);
    if (milliseconds > kMaxDurationMs) {
      return Fail(aPath, "is too large");
    }
    aValue = std::chrono::milliseconds(milliseconds);
  }

  template<typename Tag>
  void Read(const std::string& aPath, const Var& aVar, Id<Tag>& aValue)
  {
    const auto id =
      aVar.isString() ? ParseHex64(aVar.extract<std::string>()) : std::optional<std::uint64_t>{};
    if (!id) {
      return Fail(aPath, "must be a string of 1 to 16 hexadecimal digits");
    }
    aValue = Id<Tag>{ *id };
  }

  template<typename T>
  void Read(const std::string& aPath, const Var& aVar, T& aValue)
  {
    if constexpr (std::is_enum_v<T>) {
      ReadEnum(aPath, aVar, aValue);
    } else if constexpr (std::is_unsigned_v<T>) {
      ReadNumber(aPath, aVar, aValue);
    } else {
      ReadObject(aPath, aVar, aValue);
    }
  }

  template<typename T>
  void Read(const std::string& aPath, const Var& aVar, std::vector<T>& aValues)
  {
    if (aVar.type() != typeid(Array::Ptr)) {
      return Fail(aPath, "must be an array");
    }
    const auto& array = aVar.extract<Array::Ptr>();
    for (std::size_t i = 0; i < array->size() && !error_; ++i) {
      Read(aPath + '[' + std::to_string(i) + ']', array->get(i), aValues.emplace_back());
    }
  }

  void Read(const std::string& aPath, const Var& aVar, std::map<std::string, KindSpec>& aKinds)
  {
    std::vector<KindSpec> kinds;
    Read(aPath, aVar, kinds);
    for (KindSpec& kind : kinds) {
      std::string name = kind.name_;
      aKinds.insert_or_assign(std::move(name), std::move(kind));
    }
  }

  template<typename E>
  void ReadEnum(const std::string& aPath, const Var& aVar, E& aValue)
  {
    static_assert(kEnumValueCount<E> > 0);
    std::string allowed;
    for (std::uint8_t i = 0; i < kEnumValueCount<E>; ++i) {
      const auto candidate = static_cast<E>(i);
      if (aVar.isString() && aVar.extract<std::string>() == ToString(candidate)) {
        aValue = candidate;
        return;
      }
      allowed += (i == 0 ? "" : ", ") + std::string(ToString(candidate));
    }
    Fail(aPath, "must be one of " + allowed);
  }

  template<typename T>
  void ReadNumber(const std::string& aPath, const Var& aVar, T& aValue)
  {
    const auto number = WholeNumber(aVar);
    if (!number || *number > std::numeric_limits<T>::max()) {
      return Fail(
        aPath, "must be a whole number from 0 to " + std::to_string(std::numeric_limits<T>::max()));
    }
    aValue = static_cast<T>(*number);
  }

  /** POCO parses a number as Int64, or as UInt64 when it is too large for that. */
  static std::optional<std::uint64_t> WholeNumber(const Var& aVar)
  {
    if (aVar.isBoolean() || !aVar.isInteger()) {
      return std::nullopt;
    }
    return ParseNumber(aVar.convert<std::string>());
  }

  template<typename Doc>
  void ReadObject(const std::string& aPath, const Var& aVar, Doc& aDoc)
  {
    if (aVar.type() != typeid(Object::Ptr)) {
      return Fail(aPath, "must be an object");
    }
    Reader reader(aVar.extract<Object::Ptr>(), aPath);
    VisitMembers(reader, aDoc);
    error_ = reader.error_;
  }

  Object::Ptr object_;
  std::string path_;
  std::optional<UserError> error_;
};

/** Whether a number outside of strings is above the unsigned 64-bit range. POCO 1.11 reads
 * 18446744073709551616 to 18446744073709551619 as 0 to 3, and fails for larger numbers. */
bool
HasNumberAboveUInt64(std::string_view aJson)
{
  constexpr std::string_view kMaxUInt64 = "18446744073709551615";
  bool inString = false;
  for (std::size_t i = 0; i < aJson.size(); ++i) {
    if (inString && aJson[i] == '\\') {
      ++i;
    } else if (aJson[i] == '"') {
      inString = !inString;
    } else if (!inString && aJson[i] >= '0' && aJson[i] <= '9') {
      const std::size_t end = std::min(aJson.find_first_not_of("0123456789", i), aJson.size());
      const std::string_view digits = aJson.substr(i, end - i);
      if (digits.size() == kMaxUInt64.size() && digits > kMaxUInt64) {
        return true;
      }
      i = end - 1;
    }
  }
  return false;
}

template<typename Doc>
tl::expected<Doc, UserError>
ParseText(std::string_view aJson)
{
  if (HasNumberAboveUInt64(aJson)) {
    return tl::unexpected(UserError{ "document", "has a number above 18446744073709551615" });
  }
  if (aJson.size() > kMaxControlJsonBytes) {
    return tl::unexpected(
      UserError{ "document", "has more than " + std::to_string(kMaxControlJsonBytes) + " bytes" });
  }
  try {
    Poco::JSON::Parser parser;
    parser.setDepth(kMaxJsonDepth);
    const Var root = parser.parse(std::string(aJson));
    if (root.type() != typeid(Object::Ptr)) {
      return tl::unexpected(UserError{ "document", "must be a JSON object" });
    }
    Doc doc;
    Reader reader(root.extract<Object::Ptr>());
    VisitMembers(reader, doc);
    if (reader.Error()) {
      return tl::unexpected(*reader.Error());
    }
    return doc;
  } catch (const Poco::Exception& failure) {
    return tl::unexpected(UserError{ "document", "is not valid JSON: " + failure.message() });
  }
}

} // namespace

std::string
ToJson(const CommandRequest& aDocument)
{
  return WriteText(aDocument);
}

std::string
ToJson(const CommandReply& aDocument)
{
  return WriteText(aDocument);
}

std::string
ToJson(const ServicesDocument& aDocument)
{
  return WriteText(aDocument);
}

std::string
ToJson(const MembersDocument& aDocument)
{
  return WriteText(aDocument);
}

std::string
ToJson(const ConfigDocument& aDocument)
{
  return WriteText(aDocument);
}

std::string
ToJson(const ShedDocument& aDocument)
{
  return WriteText(aDocument);
}

std::string
ToJson(const LoadDocument& aDocument)
{
  return WriteText(aDocument);
}

std::string
ToJson(const SpillDocument& aDocument)
{
  return WriteText(aDocument);
}

std::string
ToJson(const AuditDocument& aDocument)
{
  return WriteText(aDocument);
}

std::string
ToJson(const WhyDocument& aDocument)
{
  return WriteText(aDocument);
}

std::string
ToJson(const InForceDocument& aDocument)
{
  return WriteText(aDocument);
}

std::string
ToJson(const ErrorDocument& aDocument)
{
  return WriteText(aDocument);
}

tl::expected<CommandRequest, UserError>
ParseCommandRequest(std::string_view aJson)
{
  return ParseText<CommandRequest>(aJson);
}

tl::expected<CommandReply, UserError>
ParseCommandReply(std::string_view aJson)
{
  return ParseText<CommandReply>(aJson);
}

tl::expected<ServicesDocument, UserError>
ParseServicesDocument(std::string_view aJson)
{
  return ParseText<ServicesDocument>(aJson);
}

tl::expected<MembersDocument, UserError>
ParseMembersDocument(std::string_view aJson)
{
  return ParseText<MembersDocument>(aJson);
}

tl::expected<ConfigDocument, UserError>
ParseConfigDocument(std::string_view aJson)
{
  return ParseText<ConfigDocument>(aJson);
}

tl::expected<ShedDocument, UserError>
ParseShedDocument(std::string_view aJson)
{
  return ParseText<ShedDocument>(aJson);
}

tl::expected<LoadDocument, UserError>
ParseLoadDocument(std::string_view aJson)
{
  return ParseText<LoadDocument>(aJson);
}

tl::expected<SpillDocument, UserError>
ParseSpillDocument(std::string_view aJson)
{
  return ParseText<SpillDocument>(aJson);
}

tl::expected<AuditDocument, UserError>
ParseAuditDocument(std::string_view aJson)
{
  return ParseText<AuditDocument>(aJson);
}

tl::expected<WhyDocument, UserError>
ParseWhyDocument(std::string_view aJson)
{
  return ParseText<WhyDocument>(aJson);
}

tl::expected<InForceDocument, UserError>
ParseInForceDocument(std::string_view aJson)
{
  return ParseText<InForceDocument>(aJson);
}

tl::expected<ErrorDocument, UserError>
ParseErrorDocument(std::string_view aJson)
{
  return ParseText<ErrorDocument>(aJson);
}

} // namespace fulmarway
