/** \file
 * Guards against a process that ends, and a list that is lost, because of one odd element.
 */
#include "wire/JsonText.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway;

Test(json_text, parts_are_split_without_descending)
{
  const auto members = SplitMembers(R"( {"a" : [1,{"b":"]},"}] , "c":"x\"y","d":1e400 } )");
  cr_assert_eq(members.size(), 3U);
  cr_expect(members.at("a") == R"([1,{"b":"]},"}])");
  cr_expect(members.at("c") == R"("x\"y")");
  cr_expect(members.at("d") == "1e400");
  const auto elements = SplitElements(members.at("a"));
  cr_assert_eq(elements.size(), 2U);
  cr_expect(elements[0] == "1" && elements[1] == R"({"b":"]},"})");
  cr_expect(SplitElements("[]").empty() && SplitMembers(" { } ").empty());
}

Test(json_text, deep_nesting_needs_no_stack)
{
  const std::string deep = std::string(1'000'000, '[') + std::string(1'000'000, ']');
  const std::string text = "[" + deep + ",7]";
  cr_expect_eq(SplitElements(text).size(), 2U);
}

/** The second text also needs a closing bracket of its own kind. */
Test(json_text, texts_without_an_end_are_errors)
{
  for (const char* text : { "", "[", "[1", "[1,", "[\"", "[\"\\", "[1}", "{}", "7", "[[1]" }) {
    cr_expect_throw(SplitElements(text), JsonTextError, "%s", text);
  }
  for (const char* text : { "", "{", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\"}", "{a:1}", "[]" }) {
    cr_expect_throw(SplitMembers(text), JsonTextError, "%s", text);
  }
}

Test(json_text, any_text_is_split_or_an_error)
{
  const auto outcome = rc::check("no other exception, no part outside the text", [] {
    const auto text =
      *rc::gen::container<std::string>(rc::gen::elementOf(std::string("[]{}\",:\\ 1a")));
    try {
      for (const std::string_view part : SplitElements("[" + text)) {
        RC_ASSERT(part.size() <= text.size());
      }
      (void)SplitMembers("{" + text);
    } catch (const JsonTextError&) {
      RC_SUCCEED();
    }
  });
  cr_assert(outcome);
}
