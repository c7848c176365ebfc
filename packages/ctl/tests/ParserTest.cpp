/** \file
 * Guards against statements that are parsed with another meaning, errors that point at the wrong
 * word, and input that crashes the parser.
 */
#include "ctl/Parser.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;

namespace {

rc::Gen<std::string>
AnyName()
{
  return rc::gen::suchThat(
    rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("abcdefghijklmnopqrstuvwxyz0123456789-"))),
    [](const std::string& aName) { return !aName.empty() && aName.size() <= 64; });
}

Command
AnyCommand()
{
  const auto number = [] { return *rc::gen::arbitrary<std::uint32_t>(); };
  const auto importance = static_cast<Importance>(*rc::gen::inRange(0, 4));
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return DeclareService{ *AnyName(), number(), number(), number() };
    case 1:
      return DeclareKind{ *AnyName(),
                          { *AnyName(),
                            importance,
                            *rc::gen::arbitrary<bool>(),
                            number(),
                            std::chrono::milliseconds(number()),
                            *rc::gen::arbitrary<bool>() } };
    case 2:
      return SetPriority{ *AnyName(), *AnyName(), importance };
    case 3:
      // A small range, so that 0 is frequent: it is written as "none".
      return SetLimit{ *AnyName(), *rc::gen::inRange<std::uint32_t>(0, 4) };
    default:
      return SetDrain{ *rc::gen::element<std::string>(
                         "10.0.0.1:7000", "[fd00::1]:1", "255.255.255.255:65535"),
                       *rc::gen::arbitrary<bool>() };
  }
}

Statement
ParseOne(std::string_view aText)
{
  const auto script = ParseScript(aText);
  cr_assert(
    script.has_value(), "%s", script ? "" : RenderSyntaxError(script.error(), "test").c_str());
  cr_assert_eq(script->size(), 1);
  return script->front();
}

} // namespace

Test(parser, statements)
{
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  struct Case
  {
    const char* text_;
    Statement statement_;
  };
  const Case cases[] = {
    { "declare service pricing slots 110 connections 800",
      Command{ DeclareService{ "pricing", 110, 800, 25 } } },
    { "declare service pricing slots 110 connections 800 long-share 0",
      Command{ DeclareService{ "pricing", 110, 800, 0 } } },
    { "declare kind a/b importance high once",
      Command{ DeclareKind{ "a", { "b", Importance::kHigh, false, 2, seconds(2), false } } } },
    { "declare kind a/b importance low repeatable long deadline 500ms attempts 0",
      Command{ DeclareKind{ "a", { "b", Importance::kLow, true, 0, milliseconds(500), true } } } },
    { "set priority a/b critical", Command{ SetPriority{ "a", "b", Importance::kCritical } } },
    { "set limit a 7", Command{ SetLimit{ "a", 7 } } },
    { "set limit a none", Command{ SetLimit{ "a", 0 } } },
    { "drain 10.0.0.1:7000", Command{ SetDrain{ "10.0.0.1:7000", true } } },
    { "undrain [fd00::1]:7000", Command{ SetDrain{ "[fd00::1]:7000", false } } },
    { "show services", ShowStatement{ ShowTopic::kServices } },
    { "show members", ShowStatement{ ShowTopic::kMembers } },
    { "show config", ShowStatement{ ShowTopic::kConfig } },
    { "show shed", ShowStatement{ ShowTopic::kShed } },
    { "\tshow   load\r", ShowStatement{ ShowTopic::kLoad } },
    { "why 4f#2,9", WhyStatement{ "4f#2,9" } },
    { "audit", AuditStatement{ 20 } },
    { "audit last 5", AuditStatement{ 5 } },
    { "wait version 7", WaitStatement{ 7, seconds(4) } },
    { "wait version 7 timeout 500ms", WaitStatement{ 7, milliseconds(500) } },
    { "outcome 00ab", OutcomeStatement{ { 0xab } } },
    { "help", HelpStatement{} },
    { "help set # a comment", HelpStatement{ "set" } },
    { "show spill", ShowStatement{ ShowTopic::kSpill } },
    { "; # only separators\n;;show load;\n", ShowStatement{ ShowTopic::kLoad } },
  };
  for (const Case& test : cases) {
    cr_assert(ParseOne(test.text_) == test.statement_, "%s", test.text_);
  }
}

Test(parser, errors_point_at_the_word)
{
  struct Case
  {
    const char* text_;
    std::size_t line_;
    std::size_t column_;
    std::size_t length_;
    const char* messagePart_;
  };
  const Case cases[] = {
    { "declaer service", 1, 1, 7, "expected a statement: declare, set" },
    { "declare thing", 1, 9, 5, "\"service\" or \"kind\", found \"thing\"" },
    { "declare service pricing slots ten connections 8", 1, 31, 3, "a number of slots from 0" },
    { "declare service Pricing slots 1 connections 8", 1, 17, 7, "the name of a service" },
    { "declare service p slots 4294967296 connections 8", 1, 25, 10, "to 4294967295" },
    { "declare service p slots -1 connections 8", 1, 25, 2, "a number of slots" },
    { "declare service p slots 1 connections 8 long", 1, 41, 4, "\"long-share\" or the end" },
    { "declare service p slots 1", 1, 26, 0, "\"connections\", found the end" },
    { "declare kind a importance low once", 1, 14, 1, "SERVICE/KIND" },
    { "declare kind a/b/c importance low once", 1, 14, 5, "SERVICE/KIND" },
    { "declare kind a/b importance urgent once", 1, 29, 6, "critical, high, normal or low" },
    { "declare kind a/b importance low twice", 1, 33, 5, "\"repeatable\" or \"once\"" },
    { "declare kind a/b importance low once long long", 1, 43, 4, "the end of the statement" },
    { "declare kind a/b importance low once deadline 2", 1, 47, 1, "500ms or 2s" },
    { "set limit a 0", 1, 13, 1, "\"none\" or a number of requests from 1" },
    { "drain localhost:7000", 1, 7, 14, "IP:PORT" },
    { "drain 10.0.0.01:7000", 1, 7, 14, "IP:PORT" },
    { "drain 10.0.0.1:65536", 1, 7, 14, "IP:PORT" },
    { "undrain 10.0.0.1:7000 now", 1, 23, 3, "expected the end" },
    { "show load\n  show\tlaod", 2, 8, 4, "services, members, config, shed, load or spill" },
    { "show load; audit last 1001", 1, 23, 4, "from 1 to 1000" },
    { "wait version 1 timeout 3601s", 1, 24, 5, "at most 3600s" },
    { "why \xc3\xa9t\xc3\xa9 x", 1, 9, 1, "expected the end" },
    { "outcome xyz", 1, 9, 3, "hexadecimal" },
    { "help me", 1, 6, 2, "expected a topic" },
  };
  for (const Case& test : cases) {
    const auto script = ParseScript(test.text_);
    cr_assert_not(script.has_value(), "accepted: %s", test.text_);
    const SyntaxError& error = script.error();
    cr_assert_eq(error.position_.line_, test.line_, "%s", test.text_);
    cr_assert_eq(
      error.position_.column_, test.column_, "%s: %zu", test.text_, error.position_.column_);
    cr_assert_eq(error.length_, test.length_, "%s", test.text_);
    cr_assert_neq(error.message_.find(test.messagePart_),
                  std::string::npos,
                  "%s: %s",
                  test.text_,
                  error.message_.c_str());
  }
}

Test(parser, error_is_rendered_with_a_caret)
{
  const auto script = ParseScript("show load\n\xc3\xa9\tshow laod # x\nshow load");
  cr_assert_not(script.has_value());
  cr_assert_eq(
    RenderSyntaxError(script.error(), "a.fulmar"),
    "a.fulmar:2:1: expected a statement: declare, set, drain, undrain, show, why, audit, "
    "wait, outcome, help, found \"\xc3\xa9\"\n"
    "  \xc3\xa9 show laod # x\n"
    "  ^\n");
  const auto missing = ParseScript("\tshow ");
  cr_assert_not(missing.has_value());
  cr_assert_eq(RenderSyntaxError(missing.error(), "input"),
               "input:1:6: expected services, members, config, shed, load or spill, found the end of the "
               "statement\n"
               "   show \n"
               "       ^\n");
}

Test(parser, nothing_of_a_wrong_script_is_returned)
{
  cr_assert_not(ParseScript("drain 10.0.0.1:7000\ndrian 10.0.0.1:7000").has_value());
}

Test(parser, a_command_is_exactly_one_changing_statement)
{
  cr_assert(ParseCommand("drain 10.0.0.1:7000").has_value());
  for (const char* text :
       { "", "show load", "drain 10.0.0.1:7000; drain 10.0.0.2:7000", "drain" }) {
    cr_assert_not(ParseCommand(text).has_value(), "accepted: %s", text);
  }
}

Test(parser, descriptions_parse_back_to_the_same_command)
{
  cr_assert(rc::check("parsing the text of a command returns the same command", [] {
    const Command command = AnyCommand();
    const auto parsed = ParseCommand(FormatCommand(command));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(*parsed == command);
  }));
}

Test(parser, arbitrary_text_never_crashes)
{
  const auto check = [](const std::string& aText) {
    const auto script = ParseScript(aText);
    if (!script) {
      const std::string text = RenderSyntaxError(script.error(), "input");
      RC_ASSERT(text.starts_with("input:"));
    }
  };
  cr_assert(rc::check("any bytes", check));
  cr_assert(rc::check("shuffled words", [check] {
    const auto words =
      *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("declare",
                                                                                  "service",
                                                                                  "kind",
                                                                                  "a",
                                                                                  "a/b",
                                                                                  "slots",
                                                                                  "7",
                                                                                  "set",
                                                                                  "limit",
                                                                                  "none",
                                                                                  "priority",
                                                                                  "importance",
                                                                                  "high",
                                                                                  "once",
                                                                                  "long",
                                                                                  "deadline",
                                                                                  "2s",
                                                                                  "wait",
                                                                                  "version",
                                                                                  "\n",
                                                                                  ";",
                                                                                  "#",
                                                                                  "\xff",
                                                                                  "/",
                                                                                  "drain",
                                                                                  "10.0.0.1:1",
                                                                                  "audit",
                                                                                  "last"));
    std::string text;
    for (const std::string& word : words) {
      text += word + ' ';
    }
    check(text);
  }));
  cr_assert(rc::check("damaged commands", [check] {
    std::string text = FormatCommand(AnyCommand());
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text.replace(at, *rc::gen::inRange(0, 4), *rc::gen::arbitrary<std::string>());
    check(text + '\n' + text);
    (void)ParseCommand(text);
  }));
}

Test(parser, too_long_texts_are_refused)
{
  cr_assert_not(ParseScript(std::string(kMaxScriptBytes + 1, '\n')).has_value());
}
