#include "ctl/Parser.h"

#include "ctl/Text.h"
#include "model/Address.h"

#include <array>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace fulmarway {

namespace {

constexpr std::size_t kMaxRootRequestIdBytes = 64;
constexpr std::uint32_t kMaxAuditEntries = 1000;
constexpr Duration kMaxWaitTimeout = std::chrono::hours(1);

constexpr std::array<std::pair<std::string_view, ShowTopic>, 6> kShowTopics = { {
  { "services", ShowTopic::kServices },
  { "members", ShowTopic::kMembers },
  { "config", ShowTopic::kConfig },
  { "shed", ShowTopic::kShed },
  { "load", ShowTopic::kLoad },
  { "spill", ShowTopic::kSpill },
} };

struct KindPath
{
  std::string service_;
  std::string kind_;
};

/** Reads the words of one statement. After the first error, every read returns a default value, so
 * that parse functions need no check after each word; the caller checks Error() at the end. */
class Cursor
{
public:
  explicit Cursor(const WordList& aWords)
    : words_(aWords)
  {
  }

  const std::optional<SyntaxError>& Error() const { return error_; }

  bool AtEnd() const { return nextWord_ == words_.words_.size(); }

  /** Consumes the next word if it is aKeyword. */
  bool Accept(std::string_view aKeyword)
  {
    if (error_ || AtEnd() || words_.words_[nextWord_].text_ != aKeyword) {
      return false;
    }
    ++nextWord_;
    return true;
  }

  void Expect(std::string_view aKeyword)
  {
    if (!Accept(aKeyword)) {
      Fail("expected \"" + std::string(aKeyword) + '"');
    }
  }

  /** Consumes and returns the next word. aWhat names the expected value in the error message. */
  std::string_view ReadWord(std::string_view aWhat)
  {
    if (error_ || AtEnd()) {
      Fail("expected " + std::string(aWhat));
      return {};
    }
    return words_.words_[nextWord_++].text_;
  }

  /** Records an error at the next word, or at the end of the statement. */
  void Fail(const std::string& aExpected)
  {
    if (error_) {
      return;
    }
    if (AtEnd()) {
      error_ = SyntaxError{ words_.end_, 0, aExpected + ", found the end of the statement", {} };
      return;
    }
    const Word& word = words_.words_[nextWord_];
    error_ = SyntaxError{ word.position_,
                          CountCharacters(word.text_),
                          aExpected + ", found \"" + Printable(word.text_) + '"',
                          {} };
  }

  /** Records an error at the word that was consumed last. */
  void FailAtPreviousWord(const std::string& aExpected)
  {
    if (!error_) {
      --nextWord_;
      Fail(aExpected);
    }
  }

  void ExpectEnd(std::string_view aAlternatives = {})
  {
    if (!error_ && !AtEnd()) {
      Fail("expected " + std::string(aAlternatives) + (aAlternatives.empty() ? "" : " or ") +
           "the end of the statement");
    }
  }

private:
  const WordList& words_;
  std::size_t nextWord_ = 0;
  std::optional<SyntaxError> error_;
};

template<typename Number>
Number
ReadNumber(Cursor& aCursor,
           std::string_view aWhat,
           Number aLow = 0,
           Number aHigh = std::numeric_limits<Number>::max())
{
  const std::string_view text = aCursor.ReadWord(aWhat);
  Number number = 0;
  const auto [parsedTo, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || parsedTo != text.data() + text.size() || number < aLow ||
      number > aHigh) {
    aCursor.FailAtPreviousWord("expected " + std::string(aWhat) + " from " + std::to_string(aLow) +
                               " to " + std::to_string(aHigh));
    return 0;
  }
  return number;
}

Duration
ReadDuration(Cursor& aCursor, std::string_view aWhat)
{
  const auto duration = ParseDuration(aCursor.ReadWord(aWhat));
  if (!duration) {
    aCursor.FailAtPreviousWord("expected " + std::string(aWhat) + " such as 500ms or 2s");
    return {};
  }
  return *duration;
}

std::string
ReadServiceName(Cursor& aCursor)
{
  const std::string_view text = aCursor.ReadWord("the name of a service");
  if (!IsName(text)) {
    aCursor.FailAtPreviousWord("expected the name of a service, at most 64 of a-z, 0-9 and -");
  }
  return std::string(text);
}

KindPath
ReadKindPath(Cursor& aCursor)
{
  const std::string_view text = aCursor.ReadWord("SERVICE/KIND");
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos || !IsName(text.substr(0, slash)) ||
      !IsName(text.substr(slash + 1))) {
    aCursor.FailAtPreviousWord("expected SERVICE/KIND, each at most 64 of a-z, 0-9 and -");
    return {};
  }
  return { std::string(text.substr(0, slash)), std::string(text.substr(slash + 1)) };
}

Importance
ReadImportance(Cursor& aCursor)
{
  const auto importance = ParseImportance(aCursor.ReadWord("critical, high, normal or low"));
  if (!importance) {
    aCursor.FailAtPreviousWord("expected critical, high, normal or low");
    return {};
  }
  return *importance;
}

std::string
ReadAddress(Cursor& aCursor)
{
  const std::string_view text = aCursor.ReadWord("an address IP:PORT");
  if (!IsNumericAddress(text)) {
    aCursor.FailAtPreviousWord(
      "expected an address IP:PORT such as 10.0.0.1:7000 or [fd00::1]:7000");
  }
  return std::string(text);
}

Command
ParseDeclareService(Cursor& aCursor)
{
  DeclareService command;
  command.service_ = ReadServiceName(aCursor);
  aCursor.Expect("slots");
  command.slots_ = ReadNumber<std::uint32_t>(aCursor, "a number of slots");
  aCursor.Expect("connections");
  command.connections_ = ReadNumber<std::uint32_t>(aCursor, "a number of connections");
  command.longSharePercent_ = ServiceSpec{}.longSharePercent_;
  if (aCursor.Accept("long-share")) {
    command.longSharePercent_ = ReadNumber<std::uint32_t>(aCursor, "a percentage");
  } else {
    aCursor.ExpectEnd("\"long-share\"");
  }
  return command;
}

Command
ParseDeclareKind(Cursor& aCursor)
{
  DeclareKind command;
  KindPath path = ReadKindPath(aCursor);
  command.service_ = std::move(path.service_);
  command.kind_.name_ = std::move(path.kind_);
  aCursor.Expect("importance");
  command.kind_.importance_ = ReadImportance(aCursor);
  command.kind_.idempotent_ = aCursor.Accept("repeatable");
  if (!command.kind_.idempotent_ && !aCursor.Accept("once")) {
    aCursor.Fail("expected \"repeatable\" or \"once\"");
  }
  bool hasAttempts = false;
  bool hasDeadline = false;
  while (!aCursor.Error() && !aCursor.AtEnd()) {
    if (!hasAttempts && aCursor.Accept("attempts")) {
      hasAttempts = true;
      command.kind_.extraAttempts_ = ReadNumber<std::uint32_t>(aCursor, "a number of attempts");
    } else if (!hasDeadline && aCursor.Accept("deadline")) {
      hasDeadline = true;
      command.kind_.deadline_ = ReadDuration(aCursor, "a duration");
    } else if (!command.kind_.longRunning_ && aCursor.Accept("long")) {
      command.kind_.longRunning_ = true;
    } else {
      aCursor.ExpectEnd("\"attempts\", \"deadline\", \"long\"");
    }
  }
  return command;
}

Statement
ParseDeclare(Cursor& aCursor)
{
  if (aCursor.Accept("service")) {
    return ParseDeclareService(aCursor);
  }
  if (aCursor.Accept("kind")) {
    return ParseDeclareKind(aCursor);
  }
  aCursor.Fail("expected \"service\" or \"kind\"");
  return {};
}

Statement
ParseSet(Cursor& aCursor)
{
  if (aCursor.Accept("priority")) {
    KindPath path = ReadKindPath(aCursor);
    return Command{ SetPriority{
      std::move(path.service_), std::move(path.kind_), ReadImportance(aCursor) } };
  }
  if (aCursor.Accept("limit")) {
    SetLimit command{ ReadServiceName(aCursor), 0 };
    if (!aCursor.Accept("none")) {
      command.limit_ = ReadNumber<std::uint32_t>(aCursor, "\"none\" or a number of requests", 1);
    }
    return Command{ std::move(command) };
  }
  aCursor.Fail("expected \"priority\" or \"limit\"");
  return {};
}

Statement
ParseDrain(Cursor& aCursor)
{
  return Command{ SetDrain{ ReadAddress(aCursor), true } };
}

Statement
ParseUndrain(Cursor& aCursor)
{
  return Command{ SetDrain{ ReadAddress(aCursor), false } };
}

Statement
ParseShow(Cursor& aCursor)
{
  for (const auto& [name, topic] : kShowTopics) {
    if (aCursor.Accept(name)) {
      return ShowStatement{ topic };
    }
  }
  aCursor.Fail("expected services, members, config, shed, load or spill");
  return {};
}

Statement
ParseWhy(Cursor& aCursor)
{
  const std::string_view rootRequestId = aCursor.ReadWord("the id of a root request");
  if (rootRequestId.size() > kMaxRootRequestIdBytes) {
    aCursor.FailAtPreviousWord("expected the id of a root request, at most 64 bytes");
  }
  return WhyStatement{ std::string(rootRequestId) };
}

Statement
ParseAudit(Cursor& aCursor)
{
  AuditStatement statement;
  if (aCursor.Accept("last")) {
    statement.last_ =
      ReadNumber<std::uint32_t>(aCursor, "a number of commands", 1, kMaxAuditEntries);
  } else {
    aCursor.ExpectEnd("\"last\"");
  }
  return statement;
}

Statement
ParseWait(Cursor& aCursor)
{
  WaitStatement statement;
  aCursor.Expect("version");
  statement.version_ = ReadNumber<std::uint64_t>(aCursor, "a version");
  if (aCursor.Accept("timeout")) {
    statement.timeout_ = ReadDuration(aCursor, "a duration");
    if (statement.timeout_ > kMaxWaitTimeout) {
      aCursor.FailAtPreviousWord("expected a duration of at most 3600s");
    }
  } else {
    aCursor.ExpectEnd("\"timeout\"");
  }
  return statement;
}

Statement
ParseOutcome(Cursor& aCursor)
{
  const auto id = ParseHex64(aCursor.ReadWord("the id of a command"));
  if (!id) {
    aCursor.FailAtPreviousWord("expected the id of a command, 1 to 16 hexadecimal digits");
    return {};
  }
  return OutcomeStatement{ { *id } };
}

Statement
ParseHelp(Cursor& aCursor);

struct StatementRule
{
  std::string_view keyword_;
  Statement (*parse_)(Cursor&);
};

constexpr std::array<StatementRule, 10> kStatementRules = { {
  { "declare", ParseDeclare },
  { "set", ParseSet },
  { "drain", ParseDrain },
  { "undrain", ParseUndrain },
  { "show", ParseShow },
  { "why", ParseWhy },
  { "audit", ParseAudit },
  { "wait", ParseWait },
  { "outcome", ParseOutcome },
  { "help", ParseHelp },
} };

std::string
StatementKeywords()
{
  std::string keywords;
  for (const StatementRule& rule : kStatementRules) {
    keywords += (keywords.empty() ? "" : ", ") + std::string(rule.keyword_);
  }
  return keywords;
}

Statement
ParseHelp(Cursor& aCursor)
{
  if (aCursor.AtEnd()) {
    return HelpStatement{};
  }
  for (const StatementRule& rule : kStatementRules) {
    if (aCursor.Accept(rule.keyword_)) {
      return HelpStatement{ std::string(rule.keyword_) };
    }
  }
  aCursor.Fail("expected a topic: " + StatementKeywords());
  return {};
}

Statement
ParseStatement(Cursor& aCursor)
{
  for (const StatementRule& rule : kStatementRules) {
    if (aCursor.Accept(rule.keyword_)) {
      Statement statement = rule.parse_(aCursor);
      aCursor.ExpectEnd();
      return statement;
    }
  }
  aCursor.Fail("expected a statement: " + StatementKeywords());
  return {};
}

std::string
LineAt(std::string_view aText, std::size_t aLine)
{
  for (; aLine > 1; --aLine) {
    aText.remove_prefix(aText.find('\n') + 1);
  }
  return std::string(aText.substr(0, aText.find('\n')));
}

} // namespace

tl::expected<Script, SyntaxError>
ParseScript(std::string_view aText)
{
  if (aText.size() > kMaxScriptBytes) {
    return tl::unexpected(SyntaxError{
      {}, 0, "expected a script of at most " + std::to_string(kMaxScriptBytes) + " bytes", {} });
  }
  Script script;
  for (const WordList& words : SplitWords(aText)) {
    Cursor cursor(words);
    script.push_back(ParseStatement(cursor));
    if (cursor.Error()) {
      SyntaxError error = *cursor.Error();
      error.lineText_ = LineAt(aText, error.position_.line_);
      return tl::unexpected(std::move(error));
    }
  }
  return script;
}

tl::expected<Command, SyntaxError>
ParseCommand(std::string_view aText)
{
  auto script = ParseScript(aText);
  if (!script) {
    return tl::unexpected(std::move(script.error()));
  }
  if (script->size() != 1 || !std::holds_alternative<Command>(script->front())) {
    return tl::unexpected(
      SyntaxError{ {}, 0, "expected one statement: declare, set, drain or undrain", {} });
  }
  return std::get<Command>(std::move(script->front()));
}

std::optional<Duration>
ParseDuration(std::string_view aText)
{
  std::uint32_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [parsedTo, error] = std::from_chars(aText.data(), end, number);
  const std::string_view unit(parsedTo, static_cast<std::size_t>(end - parsedTo));
  if (error == std::errc{} && unit == "ms") {
    return std::chrono::milliseconds(number);
  }
  if (error == std::errc{} && unit == "s") {
    return std::chrono::seconds(number);
  }
  return std::nullopt;
}

std::string
RenderSyntaxError(const SyntaxError& aError, std::string_view aSource)
{
  const auto& [line, column] = aError.position_;
  std::string text = std::string(aSource) + ':' + std::to_string(line) + ':' +
                     std::to_string(column) + ": " + aError.message_ + '\n';
  if (!aError.lineText_.empty()) {
    const std::size_t tildeCount = aError.length_ > 1 ? aError.length_ - 1 : 0;
    text += "  " + Printable(aError.lineText_) + "\n  " + std::string(column - 1, ' ') + '^' +
            std::string(tildeCount, '~') + '\n';
  }
  return text;
}

} // namespace fulmarway
