#include "ctl/Render.h"

#include <array>
#include <utility>

namespace fulmarway {

namespace {

constexpr std::string_view kOverview =
  R"(Statements that change the configuration:
  declare service NAME slots N connections N [long-share P]
  declare kind SERVICE/KIND importance CLASS repeatable|once
          [attempts N] [deadline 500ms|2s] [long]
  set priority SERVICE/KIND CLASS
  set limit SERVICE N|none
  drain IP:PORT
  undrain IP:PORT
Statements that read:
  show services|members|config|shed|load|spill
  why CLICK-ID
  audit [last N]
  wait version N [timeout 4s]
  outcome COMMAND-ID
  help [TOPIC]
CLASS is critical, high, normal or low. Statements end with the line or with ";".
"#" at the start of a word begins a comment. "help declare" explains "declare", and so on.
)";

constexpr std::array<std::pair<std::string_view, std::string_view>, 10> kTopics = { {
  { "declare",
    R"(declare service NAME slots N connections N [long-share P]
  Declares a service or changes its capacity; an existing service keeps its kinds and limit.
  slots: maximum number of concurrent requests on one backend server, 1 to 10000.
  connections: maximum number of caller connections to one node, 1 to 100000.
  long-share: maximum share of the slots for long requests, in percent; 25 by default.
declare kind SERVICE/KIND importance CLASS repeatable|once
        [attempts N] [deadline 500ms|2s] [long]
  Declares a request kind or replaces its declaration.
  repeatable: idempotent. once: executes at most once and needs a ticket.
  attempts: extra attempts of one root request over its call chain, 0 to 16; 2 by default.
  deadline: used when the caller sends none, at most 600s; 2s by default.
  long: requests of this kind may occupy only the long share of the slots.
)" },
  { "set",
    R"(set priority SERVICE/KIND CLASS
  Changes the importance of a kind: critical, high, normal or low.
set limit SERVICE N|none
  Sets an upper bound for the concurrency limit of each backend server, at most the slots of the
  service; none removes the bound.
)" },
  { "drain",
    R"(drain IP:PORT
  The node with this peer address takes no new work until "undrain".
)" },
  { "undrain",
    R"(undrain IP:PORT
  The node accepts new work again.
)" },
  { "show",
    R"(show services   declared services and kinds
show members    nodes in the member list of this node
show config     configuration version, next log offset to read, and drained nodes
show shed       requests that this node refused since its start, by kind and reason
show load       concurrency limit, queue and connections of this node
show spill      requests that this node sent to other failure domains, where to and why
)" },
  { "why",
    R"(why CLICK-ID
  Lists the latest refused and failed calls of a root request on this node, with verdict and
  reason. CLICK-ID is the id of the root request, as in the header Fulmarway-Click.
)" },
  { "audit",
    R"(audit [last N]
  Lists the latest N commands with their outcomes; 20 by default, at most 1000.
)" },
  { "wait",
    R"(wait version N [timeout 4s]
  Waits until version N is in effect in every reachable failure domain. Unreachable domains are
  listed, but not waited for. The exit status is 3 after a timeout.
)" },
  { "outcome",
    R"(outcome COMMAND-ID
  Shows the outcome of an earlier command, for example after the reply to it was lost.
)" },
  { "help",
    R"(help [TOPIC]
  Lists all statements, or explains the statement whose first word is TOPIC.
)" },
} };

} // namespace

std::string_view
HelpText(std::string_view aTopic)
{
  for (const auto& [topic, text] : kTopics) {
    if (topic == aTopic) {
      return text;
    }
  }
  return kOverview;
}

} // namespace fulmarway
