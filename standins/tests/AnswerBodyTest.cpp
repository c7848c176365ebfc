/** \file
 * Guards against an answer check that accepts partial answers or answers to other requests.
 */
#include "support/AnswerBody.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace fulmarway::standins;

namespace {

const AnswerStamp kStamp{ "c-17", "enrolments/confirm", 42 };

AnswerCheck
Check(std::string_view aBody)
{
  return CheckAnswerBody(aBody, "c-17", "enrolments/confirm");
}

} // namespace

Test(answer_body, whole_own_answer_passes)
{
  for (const std::size_t bytes : { 0, 1, 60, 99, 100, 101, 1000, 40000 }) {
    const std::string body = MakeAnswerBody(kStamp, bytes);
    cr_assert_geq(body.size(), bytes);
    cr_assert(Check(body) == AnswerCheck::kWhole, "%zu bytes", bytes);
  }
}

Test(answer_body, length_is_as_asked_for)
{
  cr_assert_eq(MakeAnswerBody(kStamp, 5000).size(), 5000);
}

Test(answer_body, answer_to_another_request_is_foreign)
{
  const std::string body = MakeAnswerBody(kStamp, 500);
  cr_assert(CheckAnswerBody(body, "c-18", kStamp.path_) == AnswerCheck::kForeign);
  cr_assert(CheckAnswerBody(body, "c-17", "enrolments/list") == AnswerCheck::kForeign);
}

Test(answer_body, texts_without_a_stamp_are_damaged)
{
  for (const std::string text : { "", "\n", "ready\n", "answer c-17 enrolments/confirm" }) {
    cr_assert(Check(text) == AnswerCheck::kDamaged, "accepted '%s'", text.c_str());
  }
}

Test(answer_body, any_cut_or_changed_byte_is_damaged)
{
  const bool holds = rc::check([] {
    const std::string body =
      MakeAnswerBody(kStamp, static_cast<std::size_t>(*rc::gen::inRange(0, 3000)));
    const auto position =
      static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(body.size())));
    RC_ASSERT(Check(body.substr(0, position)) == AnswerCheck::kDamaged);
    RC_ASSERT(Check(body + body.substr(position)) == AnswerCheck::kDamaged);
    std::string changed = body;
    changed[position] = static_cast<char>(changed[position] ^ (1 << *rc::gen::inRange(0, 8)));
    RC_ASSERT(Check(changed) == AnswerCheck::kDamaged);
  });
  cr_assert(holds);
}

Test(answer_body, halves_of_two_answers_are_damaged)
{
  const std::string first = MakeAnswerBody(kStamp, 2000);
  const std::string second = MakeAnswerBody({ "c-17", kStamp.path_, 43 }, 2000);
  cr_assert(Check(first.substr(0, 1000) + second.substr(1000)) == AnswerCheck::kDamaged);
}
