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

constexpr std::size_t kMaxClickIdBytes = 64;
constexpr std::uint32_t kMaxAuditLines = 1000;
constexpr Duration kMaxWait = std::chrono::hours(1);

constexpr std::array<std::pair<std::string_view, ShowTopic>, 5> kShowTopics = { {
  { "services", ShowTopic::kServices },
  { "members", ShowTopic::kMembers },
  { "config", ShowTopic::kConfig },
  { "shed", ShowTopic::kShed },
  { "load", ShowTopic::kLoad },
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

  bool AtEnd() const { return next_ == words_.words_.size(); }

  /** Consumes the next word if it is aKeyword. */
  bool Accept(std::string_view aKeyword)
  {
    if (error_ || AtEnd() || words_.words_[next_].text_ != aKeyword) {
      return false;
    }
    ++next_;
    return true;
  }

  void Expect(std::string_view aKeyword)
  {
    if (!Accept(aKeyword)) {
      Fail("expected \"" + std::string(aKeyword) + '"');
    }
  }

  /** Consumes and returns the next word. aWhat names the expected value in the error message. */
  std::string_view Take(std::string_view aWhat)
  {
    if (error_ || AtEnd()) {
      Fail("expected " + std::string(aWhat));
      return {};
    }
    return words_.words_[next_++].text_;
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
    const Word& word = words_.words_[next_];
    error_ = SyntaxError{ word.position_,
                          CountCharacters(word.text_),
                          aExpected + ", found \"" + Printable(word.text_) + '"',
                          {} };
  }

  /** Records an error at the word that was consumed last. */
  void FailAtTaken(const std::string& aExpected)
  {
    if (!error_) {
      --next_;
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
  std::size_t next_ = 0;
  std::optional<SyntaxError> error_;
};

template<typename Number>
Number
TakeNumber(Cursor& aCursor,
           std::string_view aWhat,
           Number aLow = 0,
           Number aHigh = std::numeric_limits<Number>::max())
{
  const std::string_view text = aCursor.Take(aWhat);
  Number number = 0;
  const auto [parsedTo, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || parsedTo != text.data() + text.size() || number < aLow ||
      number > aHigh) {
    aCursor.FailAtTaken("expected " + std::string(aWhat) + " from " + std::to_string(aLow) +
                        " to " + std::to_string(aHigh));
    return 0;
  }
  return number;
}

Duration
TakeDuration(Cursor& aCursor, std::string_view aWhat)
{
  const auto duration = ParseDuration(aCursor.Take(aWhat));
  if (!duration) {
    aCursor.FailAtTaken("expected " + std::string(aWhat) + " such as 500ms or 2s");
    return {};
  }
  return *duration;
}

std::string
TakeService(Cursor& aCursor)
{
  const std::string_view text = aCursor.Take("the name of a service");
  if (!IsName(text)) {
    aCursor.FailAtTaken("expected the name of a service, at most 64 of a-z, 0-9 and -");
  }
  return std::string(text);
}

KindPath
TakeKindPath(Cursor& aCursor)
{
  const std::string_view text = aCursor.Take("SERVICE/KIND");
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos || !IsName(text.substr(0, slash)) ||
      !IsName(text.substr(slash + 1))) {
    aCursor.FailAtTaken("expected SERVICE/KIND, each at most 64 of a-z, 0-9 and -");
    return {};
  }
  return { std::string(text.substr(0, slash)), std::string(text.substr(slash + 1)) };
}

Importance
TakeImportance(Cursor& aCursor)
{
  const auto importance = ParseImportance(aCursor.Take("critical, high, normal or low"));
  if (!importance) {
    aCursor.FailAtTaken("expected critical, high, normal or low");
    return {};
  }
  return *importance;
}

std::string
TakeAddress(Cursor& aCursor)
{
  const std::string_view text = aCursor.Take("an address IP:PORT");
  if (!IsNumericAddress(text)) {
    aCursor.FailAtTaken("expected an address IP:PORT such as 10.0.0.1:7000 or [fd00::1]:7000");
  }
  return std::string(text);
}

Command
ParseDeclareService(Cursor& aCursor)
{
  DeclareService command;
  command.service_ = TakeService(aCursor);
  aCursor.Expect("slots");
  command.slots_ = TakeNumber<std::uint32_t>(aCursor, "a number of slots");
  aCursor.Expect("connections");
  command.connections_ = TakeNumber<std::uint32_t>(aCursor, "a number of connections");
  command.longSharePercent_ = ServiceSpec{}.longSharePercent_;
  if (aCursor.Accept("long-share")) {
    command.longSharePercent_ = TakeNumber<std::uint32_t>(aCursor, "a percentage");
  } else {
    aCursor.ExpectEnd("\"long-share\"");
  }
  return command;
}

Command
ParseDeclareKind(Cursor& aCursor)
{
  DeclareKind command;
  KindPath path = TakeKindPath(aCursor);
  command.service_ = std::move(path.service_);
  command.kind_.name_ = std::move(path.kind_);
  aCursor.Expect("importance");
  command.kind_.importance_ = TakeImportance(aCursor);
  command.kind_.idempotent_ = aCursor.Accept("repeatable");
  if (!command.kind_.idempotent_ && !aCursor.Accept("once")) {
    aCursor.Fail("expected \"repeatable\" or \"once\"");
  }
  bool attempts = false;
  bool deadline = false;
  while (!aCursor.Error() && !aCursor.AtEnd()) {
    if (!attempts && aCursor.Accept("attempts")) {
      attempts = true;
      command.kind_.extraAttempts_ = TakeNumber<std::uint32_t>(aCursor, "a number of attempts");
    } else if (!deadline && aCursor.Accept("deadline")) {
      deadline = true;
      command.kind_.deadline_ = TakeDuration(aCursor, "a duration");
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
    KindPath path = TakeKindPath(aCursor);
    return Command{ SetPriority{
      std::move(path.service_), std::move(path.kind_), TakeImportance(aCursor) } };
  }
  if (aCursor.Accept("limit")) {
    SetLimit command{ TakeService(aCursor), 0 };
    if (!aCursor.Accept("none")) {
      command.limit_ = TakeNumber<std::uint32_t>(aCursor, "\"none\" or a number of requests", 1);
    }
    return Command{ std::move(command) };
  }
  aCursor.Fail("expected \"priority\" or \"limit\"");
  return {};
}

Statement
ParseDrain(Cursor& aCursor)
{
  return Command{ SetDrain{ TakeAddress(aCursor), true } };
}

Statement
ParseUndrain(Cursor& aCursor)
{
  return Command{ SetDrain{ TakeAddress(aCursor), false } };
}

Statement
ParseShow(Cursor& aCursor)
{
  for (const auto& [name, topic] : kShowTopics) {
    if (aCursor.Accept(name)) {
      return ShowStatement{ topic };
    }
  }
  aCursor.Fail("expected services, members, config, shed or load");
  return {};
}

Statement
ParseWhy(Cursor& aCursor)
{
  const std::string_view click = aCursor.Take("the id of a root request");
  if (click.size() > kMaxClickIdBytes) {
    aCursor.FailAtTaken("expected the id of a root request, at most 64 bytes");
  }
  return WhyStatement{ std::string(click) };
}

Statement
ParseAudit(Cursor& aCursor)
{
  AuditStatement statement;
  if (aCursor.Accept("last")) {
    statement.last_ = TakeNumber<std::uint32_t>(aCursor, "a number of commands", 1, kMaxAuditLines);
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
  statement.version_ = TakeNumber<std::uint64_t>(aCursor, "a version");
  if (aCursor.Accept("timeout")) {
    statement.timeout_ = TakeDuration(aCursor, "a duration");
    if (statement.timeout_ > kMaxWait) {
      aCursor.FailAtTaken("expected a duration of at most 3600s");
    }
  } else {
    aCursor.ExpectEnd("\"timeout\"");
  }
  return statement;
}

Statement
ParseOutcome(Cursor& aCursor)
{
  const auto id = ParseHex64(aCursor.Take("the id of a command"));
  if (!id) {
    aCursor.FailAtTaken("expected the id of a command, 1 to 16 hexadecimal digits");
    return {};
  }
  return OutcomeStatement{ { *id } };
}

Statement
ParseHelp(Cursor& aCursor);

struct Rule
{
  std::string_view keyword_;
  Statement (*parse_)(Cursor&);
};

constexpr std::array<Rule, 10> kRules = { {
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
RuleNames()
{
  std::string names;
  for (const Rule& rule : kRules) {
    names += (names.empty() ? "" : ", ") + std::string(rule.keyword_);
  }
  return names;
}

Statement
ParseHelp(Cursor& aCursor)
{
  if (aCursor.AtEnd()) {
    return HelpStatement{};
  }
  for (const Rule& rule : kRules) {
    if (aCursor.Accept(rule.keyword_)) {
      return HelpStatement{ std::string(rule.keyword_) };
    }
  }
  aCursor.Fail("expected a topic: " + RuleNames());
  return {};
}

Statement
ParseWords(Cursor& aCursor)
{
  for (const Rule& rule : kRules) {
    if (aCursor.Accept(rule.keyword_)) {
      Statement statement = rule.parse_(aCursor);
      aCursor.ExpectEnd();
      return statement;
    }
  }
  aCursor.Fail("expected a statement: " + RuleNames());
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
    script.push_back(ParseWords(cursor));
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
    const std::size_t tail = aError.length_ > 1 ? aError.length_ - 1 : 0;
    text += "  " + Printable(aError.lineText_) + "\n  " + std::string(column - 1, ' ') + '^' +
            std::string(tail, '~') + '\n';
  }
  return text;
}

} // namespace fulmarway
