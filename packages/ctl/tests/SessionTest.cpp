/** \file
 * Compares operator sessions with golden files, to guard against unintended changes of tables, JSON
 * and exit statuses. Set FULMARWAY_UPDATE_GOLDEN=1 to regenerate the files.
 */
#include "FakeNode.h"

#include "ctl/Session.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>

using namespace fulmarway;
using namespace fulmarway::test;

namespace {

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

/** Runs each line like the interactive prompt. Lines with "@" inject faults or changes by another
 * operator. */
std::string
RunSession(const std::string& aInput, OutputFormat aFormat)
{
  FakeCluster cluster;
  Client client(ClientSettings{ { "10.0.1.1:7002", "10.0.2.1:7002" }, "ann" },
                MakeEnvironment(cluster));
  std::ostringstream out;
  Session session(client, aFormat, out, out);
  std::istringstream input(aInput);
  for (std::string line; std::getline(input, line);) {
    out << "> " << line << '\n';
    if (line == "@ silent") {
      cluster.silentNodes_ = { "10.0.1.1:7002", "10.0.2.1:7002" };
    } else if (line == "@ gone") {
      cluster.refusingNodes_ = { "10.0.1.1:7002", "10.0.2.1:7002" };
    } else if (line == "@ back") {
      cluster.silentNodes_.clear();
      cluster.refusingNodes_.clear();
    } else if (line == "@ another operator changes dispatch/list") {
      const CommandRecord other{ CommandId{ 7 },
                                 "bob",
                                 cluster.state_.config_.version_,
                                 1796000000000,
                                 SetPriority{ "dispatch", "list", Importance::kHigh } };
      cluster.state_ =
        ApplyRecord(std::move(cluster.state_), { cluster.state_.nextOffset_, other }).state_;
    } else if (const auto script = ParseScript(line); script) {
      const ExitStatus status = session.Run(*script);
      out << "exit " << static_cast<int>(status) << '\n';
    } else {
      out << RenderSyntaxError(script.error(), "input") << "exit 2\n";
    }
  }
  return out.str();
}

void
ExpectGolden(const std::string& aName, OutputFormat aFormat, const std::string& aSuffix)
{
  const std::string folder = FULMARWAY_TEST_DATA "/golden/";
  const std::string input = ReadFile(folder + aName + ".in");
  cr_assert_not(input.empty(), "%s.in is missing", aName.c_str());
  const std::string output = RunSession(input, aFormat);
  const std::string path = folder + aName + aSuffix;
  if (std::getenv("FULMARWAY_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path, std::ios::binary) << output;
  }
  cr_assert_eq(output, ReadFile(path), "%s differs:\n%s", path.c_str(), output.c_str());
}

} // namespace

Test(session, configuration)
{
  ExpectGolden("configuration", OutputFormat::kTable, ".table");
  ExpectGolden("configuration", OutputFormat::kJson, ".json");
}

Test(session, queries)
{
  ExpectGolden("queries", OutputFormat::kTable, ".table");
  ExpectGolden("queries", OutputFormat::kJson, ".json");
}

Test(session, faults)
{
  ExpectGolden("faults", OutputFormat::kTable, ".table");
  ExpectGolden("faults", OutputFormat::kJson, ".json");
}

Test(session, samples_are_accepted_whole)
{
  for (const char* name : { "roastery", "clubhouse" }) {
    const auto script = ParseScript(
      ReadFile(std::string(FULMARWAY_TEST_DATA "/../../../samples/") + name + ".fulmar"));
    cr_assert(script.has_value(), "%s", name);
    FakeCluster cluster;
    Client client(ClientSettings{ { "10.0.1.1:7002" }, "ann" }, MakeEnvironment(cluster));
    std::ostringstream out;
    Session session(client, OutputFormat::kTable, out, out);
    cr_assert_eq(session.Run(*script), ExitStatus::kDone, "%s: %s", name, out.str().c_str());
    cr_assert_eq(cluster.state_.config_.services_.size(), 4, "%s", name);
    cr_assert_eq(cluster.state_.config_.version_, script->size(), "%s", name);
  }
}

Test(session, terminal_control_characters_are_replaced)
{
  const CommandReply reply{ ReplyOutcome::kRejected,
                            1,
                            2,
                            "a\x1b[2J\x07\xc2\x9b"
                            "b\tc" };
  cr_assert_eq(Render(reply, OutputFormat::kTable), "rejected: version 1, offset 2; a?[2J??b c\n");
}
