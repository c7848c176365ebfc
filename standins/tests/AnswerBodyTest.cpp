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

Test(answer_body, complete_answer_of_the_request_passes)
{
  for (const std::size_t bytes : { 0, 1, 60, 99, 100, 101, 1000, 40000 }) {
    const std::string body = MakeAnswerBody(kStamp, bytes);
    cr_assert_geq(body.size(), bytes);
    cr_assert(Check(body) == AnswerCheck::kComplete, "%zu bytes", bytes);
  }
}

Test(answer_body, body_has_the_requested_length)
{
  cr_assert_eq(MakeAnswerBody(kStamp, 5000).size(), 5000);
}

Test(answer_body, answer_to_another_request_is_detected)
{
  const std::string body = MakeAnswerBody(kStamp, 500);
  cr_assert(CheckAnswerBody(body, "c-18", kStamp.path_) == AnswerCheck::kOtherRequest);
  cr_assert(CheckAnswerBody(body, "c-17", "enrolments/list") == AnswerCheck::kOtherRequest);
}

Test(answer_body, texts_without_a_stamp_are_corrupted)
{
  for (const std::string text : { "", "\n", "ready\n", "answer c-17 enrolments/confirm" }) {
    cr_assert(Check(text) == AnswerCheck::kCorrupted, "accepted '%s'", text.c_str());
  }
}

Test(answer_body, any_missing_added_or_changed_byte_is_corrupted)
{
  const bool holds = rc::check([] {
    const std::string body =
      MakeAnswerBody(kStamp, static_cast<std::size_t>(*rc::gen::inRange(0, 3000)));
    const auto position =
      static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(body.size())));
    RC_ASSERT(Check(body.substr(0, position)) == AnswerCheck::kCorrupted);
    RC_ASSERT(Check(body + body.substr(position)) == AnswerCheck::kCorrupted);
    std::string changed = body;
    changed[position] = static_cast<char>(changed[position] ^ (1 << *rc::gen::inRange(0, 8)));
    RC_ASSERT(Check(changed) == AnswerCheck::kCorrupted);
  });
  cr_assert(holds);
}

Test(answer_body, halves_of_two_answers_are_corrupted)
{
  const std::string first = MakeAnswerBody(kStamp, 2000);
  const std::string second = MakeAnswerBody({ "c-17", kStamp.path_, 43 }, 2000);
  cr_assert(Check(first.substr(0, 1000) + second.substr(1000)) == AnswerCheck::kCorrupted);
}
