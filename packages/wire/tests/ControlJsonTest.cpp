/** \file
 * Guards against documents of the admin interface that decode to other values than were encoded,
 * and against input that crashes a node or a client.
 */
#include "wire/ControlJson.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;

namespace {

// ASCII text, including control characters, quotes and NUL.
rc::Gen<std::string>
AnyAscii()
{
  return rc::gen::container<std::string>(
    rc::gen::map(rc::gen::inRange(0, 128), [](int aByte) { return static_cast<char>(aByte); }));
}

template<typename T>
T
AnyNumber()
{
  return *rc::gen::arbitrary<T>();
}

template<typename E>
E
AnyEnumValue(int aCount)
{
  return static_cast<E>(*rc::gen::inRange(0, aCount));
}

template<typename T, typename Make>
std::vector<T>
AnyVector(Make aMake)
{
  std::vector<T> values(*rc::gen::inRange(0, 4));
  for (T& value : values) {
    value = aMake();
  }
  return values;
}

ServiceSpec
AnyService()
{
  ServiceSpec service{ *AnyAscii(),
                       AnyNumber<std::uint32_t>(),
                       AnyNumber<std::uint32_t>(),
                       AnyNumber<std::uint32_t>(),
                       AnyNumber<std::uint32_t>(),
                       {} };
  for (const std::string& name : AnyVector<std::string>([] { return *AnyAscii(); })) {
    service.kinds_[name] = KindSpec{ name,
                                     AnyEnumValue<Importance>(4),
                                     AnyNumber<bool>(),
                                     AnyNumber<std::uint32_t>(),
                                     std::chrono::milliseconds(AnyNumber<std::uint32_t>()),
                                     AnyNumber<bool>() };
  }
  return service;
}

AuditLine
AnyAuditLine()
{
  return { AnyNumber<std::uint64_t>(),
           { AnyNumber<std::uint64_t>() },
           *AnyAscii(),
           *AnyAscii(),
           AnyEnumValue<CommandOutcome>(3),
           AnyNumber<std::uint64_t>(),
           AnyNumber<std::uint64_t>(),
           *AnyAscii() };
}

template<typename Doc, typename Parse>
void
ExpectRoundTrip(const Doc& aDoc, Parse aParse)
{
  const auto parsed = aParse(ToJson(aDoc));
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(*parsed == aDoc);
}

} // namespace

Test(control_json, commands_round_trip)
{
  cr_assert(rc::check("CommandRequest and CommandReply", [] {
    ExpectRoundTrip(
      CommandRequest{
        { AnyNumber<std::uint64_t>() }, *AnyAscii(), AnyNumber<std::uint64_t>(), *AnyAscii() },
      ParseCommandRequest);
    ExpectRoundTrip(CommandReply{ AnyEnumValue<ReplyOutcome>(kReplyOutcomeCount),
                                  AnyNumber<std::uint64_t>(),
                                  AnyNumber<std::uint64_t>(),
                                  *AnyAscii() },
                    ParseCommandReply);
    ExpectRoundTrip(ErrorDocument{ *AnyAscii() }, ParseErrorDocument);
  }));
}

Test(control_json, configuration_documents_round_trip)
{
  cr_assert(rc::check("services, members, config, audit, inforce", [] {
    ExpectRoundTrip(
      ServicesDocument{ AnyNumber<std::uint64_t>(), AnyVector<ServiceSpec>(AnyService) },
      ParseServicesDocument);
    ExpectRoundTrip(MembersDocument{ AnyVector<MemberView>([] {
                      return MemberView{ { AnyNumber<std::uint64_t>() },
                                         *AnyAscii(),
                                         *AnyAscii(),
                                         *AnyAscii(),
                                         *AnyAscii(),
                                         AnyEnumValue<MemberState>(6),
                                         AnyNumber<std::uint64_t>() };
                    }) },
                    ParseMembersDocument);
    ExpectRoundTrip(ConfigDocument{ AnyNumber<std::uint64_t>(),
                                    AnyNumber<std::uint64_t>(),
                                    AnyNumber<bool>(),
                                    AnyVector<std::string>([] { return *AnyAscii(); }) },
                    ParseConfigDocument);
    ExpectRoundTrip(AuditDocument{ AnyVector<AuditLine>(AnyAuditLine) }, ParseAuditDocument);
    ExpectRoundTrip(InForceDocument{ AnyNumber<std::uint64_t>(), AnyVector<DomainInForce>([] {
                                       return DomainInForce{ *AnyAscii(),
                                                             AnyNumber<std::uint32_t>(),
                                                             AnyNumber<std::uint32_t>(),
                                                             AnyNumber<bool>() };
                                     }) },
                    ParseInForceDocument);
  }));
}

Test(control_json, load_documents_round_trip)
{
  cr_assert(rc::check("shed, load, why", [] {
    ExpectRoundTrip(ShedDocument{ { AnyNumber<std::uint16_t>() },
                                  AnyNumber<std::uint32_t>(),
                                  AnyVector<ShedCount>([] {
                                    return ShedCount{ *AnyAscii(),
                                                      *AnyAscii(),
                                                      AnyEnumValue<Importance>(4),
                                                      AnyEnumValue<Reason>(kReasonCount),
                                                      AnyNumber<std::uint64_t>() };
                                  }) },
                    ParseShedDocument);
    ExpectRoundTrip(LoadDocument{ AnyNumber<std::uint32_t>(),
                                  AnyNumber<std::uint32_t>(),
                                  AnyNumber<std::uint32_t>(),
                                  { AnyNumber<std::uint16_t>() },
                                  AnyNumber<std::uint32_t>(),
                                  AnyNumber<std::uint32_t>() },
                    ParseLoadDocument);
    ExpectRoundTrip(SpillDocument{ *AnyAscii(),
                                   AnyVector<SpillShare>([] {
                                     return SpillShare{ *AnyAscii(),
                                                        *AnyAscii(),
                                                        AnyNumber<std::uint32_t>(),
                                                        AnyNumber<std::uint64_t>() };
                                   }),
                                   AnyVector<SpillView>([] {
                                     return SpillView{ *AnyAscii(),
                                                       *AnyAscii(),
                                                       *AnyAscii(),
                                                       AnyNumber<std::uint64_t>(),
                                                       AnyNumber<std::uint64_t>() };
                                   }) },
                    ParseSpillDocument);
    ExpectRoundTrip(WhyDocument{ *AnyAscii(), AnyVector<RootRequestDecision>([] {
                                  return RootRequestDecision{ AnyNumber<std::uint64_t>(),
                                                              *AnyAscii(),
                                                              *AnyAscii(),
                                                              AnyEnumValue<Verdict>(3),
                                                              AnyEnumValue<Reason>(kReasonCount),
                                                              *AnyAscii() };
                                }) },
                    ParseWhyDocument);
  }));
}

Test(control_json, form_is_stable)
{
  cr_assert_eq(ToJson(CommandRequest{ { 0xab }, "ann", 3, "drain 10.0.0.1:7000" }),
               R"({"commandId":"00000000000000ab","operator":"ann","baseVersion":3,)"
               R"("text":"drain 10.0.0.1:7000"})");
  cr_assert_eq(ToJson(CommandReply{ ReplyOutcome::kConflict, 4, 17, "kind a/b changed" }),
               R"({"outcome":"conflict","version":4,"offset":17,"detail":"kind a/b changed"})");
  cr_assert_eq(ToJson(InForceDocument{ 4, { { "colombo-a", 3, 3, true } } }),
               R"({"version":4,"domains":[{"domain":"colombo-a","members":3,"inForce":3,)"
               R"("reachable":true}]})");
}

Test(control_json, faults_are_named_by_path)
{
  struct Case
  {
    const char* json_;
    const char* subject_;
  };
  const Case cases[] = {
    { "", "document" },
    { "[]", "document" },
    { "{", "document" },
    { "{}", "version" },
    { R"({"version":-1,"domains":[]})", "version" },
    { R"({"version":1.5,"domains":[]})", "version" },
    { R"({"version":"1","domains":[]})", "version" },
    { R"({"version":true,"domains":[]})", "version" },
    { R"({"version":18446744073709551616,"domains":[]})", "document" },
    { R"({"version":1,"domains":{}})", "domains" },
    { R"({"version":1,"domains":[7]})", "domains[0]" },
    { R"({"version":1,"domains":[{"domain":"a","members":4294967296}]})", "domains[0].members" },
    { R"({"version":1,"domains":[{"domain":"a","members":1,"inForce":1,"reachable":1}]})",
      "domains[0].reachable" },
    { R"({"version":1,"domains":[{"domain":"a","members":1,"inForce":1,"reachable":true},{}]})",
      "domains[1].domain" },
  };
  for (const Case& test : cases) {
    const auto parsed = ParseInForceDocument(test.json_);
    cr_assert_not(parsed.has_value(), "accepted %s", test.json_);
    cr_assert_eq(parsed.error().subject_,
                 test.subject_,
                 "%s: %s: %s",
                 test.json_,
                 parsed.error().subject_.c_str(),
                 parsed.error().message_.c_str());
  }
}

Test(control_json, unknown_members_are_ignored)
{
  const auto parsed = ParseErrorDocument(R"({"error":"e","added":{"later":[1]}})");
  cr_assert(parsed.has_value());
  cr_assert_eq(parsed->error_, "e");
}

Test(control_json, deep_nesting_is_refused)
{
  const std::string nested = std::string(20, '[') + std::string(20, ']');
  cr_assert_not(ParseErrorDocument(R"({"error":"e","added":)" + nested + '}').has_value());
  cr_assert_not(ParseErrorDocument(std::string(100000, '[')).has_value());
  std::string objects;
  for (int i = 0; i < 100000; ++i) {
    objects += R"({"a":)";
  }
  cr_assert_not(ParseErrorDocument(objects).has_value());
}

Test(control_json, arbitrary_bytes_never_crash)
{
  cr_assert(rc::check("parsers are total", [](const std::string& aText) {
    (void)ParseCommandRequest(aText);
    (void)ParseServicesDocument(aText);
  }));
  cr_assert(rc::check("cut and changed documents", [] {
    std::string text = ToJson(AuditDocument{ { AnyAuditLine() } });
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    if (AnyNumber<bool>()) {
      text.resize(at);
    } else {
      text[at] = AnyNumber<char>();
    }
    (void)ParseAuditDocument(text);
  }));
  // Bytes that are not UTF-8 may come from an operator's command line.
  cr_assert(rc::check("writer is total",
                      [](const std::string& aText) { (void)ToJson(ErrorDocument{ aText }); }));
}
