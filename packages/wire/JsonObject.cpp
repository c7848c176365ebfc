#include "wire/JsonObject.h"

#include <Poco/JSON/Parser.h>
#include <cmath>

namespace fulmarway {

namespace {

using Poco::Dynamic::Var;

[[noreturn]] void
Fail(const std::string& aName, const char* aExpected)
{
  throw JsonError{ { aName, std::string("expected ") + aExpected } };
}

/** Messages in use nest at most 6 levels deep. */
constexpr int kMaxNestingDepth = 16;

} // namespace

JsonObject
ParseObject(std::string_view aText)
{
  Poco::JSON::Parser parser;
  parser.setDepth(kMaxNestingDepth);
  const Var value = parser.parse(std::string(aText));
  if (value.type() != typeid(JsonObject)) {
    Fail("body", "an object");
  }
  return value.extract<JsonObject>();
}

JsonObject
ObjectAt(const JsonObject& aObject, const std::string& aName)
{
  JsonObject object = aObject->getObject(aName);
  if (object.isNull()) {
    Fail(aName, "an object");
  }
  return object;
}

JsonArray
OptionalArrayAt(const JsonObject& aObject, const std::string& aName)
{
  if (!aObject->has(aName) || aObject->isNull(aName)) {
    return {};
  }
  return ArrayAt(aObject, aName);
}

JsonArray
ArrayAt(const JsonObject& aObject, const std::string& aName)
{
  JsonArray array = aObject->getArray(aName);
  if (array.isNull()) {
    Fail(aName, "an array");
  }
  return array;
}

JsonObject
ElementAt(const JsonArray& aArray, unsigned aIndex)
{
  JsonObject object = aArray->getObject(aIndex);
  if (object.isNull()) {
    Fail("list", "objects");
  }
  return object;
}

std::string
StringAt(const JsonObject& aObject, const std::string& aName)
{
  const Var value = aObject->get(aName);
  if (value.isEmpty() || !value.isString()) {
    Fail(aName, "a string");
  }
  return value.extract<std::string>();
}

std::uint64_t
UnsignedAt(const JsonObject& aObject, const std::string& aName)
{
  const Var value = aObject->get(aName);
  if (value.isEmpty() || value.isBoolean() || !value.isInteger() ||
      (value.isSigned() && value.convert<std::int64_t>() < 0)) {
    Fail(aName, "a non-negative integer");
  }
  return value.convert<std::uint64_t>();
}

std::uint64_t
UnsignedAt(const JsonObject& aObject, const std::string& aName, std::uint64_t aDefault)
{
  return aObject->has(aName) ? UnsignedAt(aObject, aName) : aDefault;
}

double
DoubleAt(const JsonObject& aObject, const std::string& aName)
{
  const Var value = aObject->get(aName);
  if (value.isEmpty() || value.isBoolean() || !value.isNumeric()) {
    Fail(aName, "a number");
  }
  const auto number = value.convert<double>();
  if (!std::isfinite(number) || number < 0) {
    Fail(aName, "a finite, non-negative number");
  }
  return number;
}

bool
BoolAt(const JsonObject& aObject, const std::string& aName)
{
  const Var value = aObject->get(aName);
  if (value.isEmpty() || !value.isBoolean()) {
    Fail(aName, "true or false");
  }
  return value.convert<bool>();
}

} // namespace fulmarway
