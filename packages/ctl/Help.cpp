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
  show services|members|config|shed|load
  why CLICK-ID
  audit [last N]
  wait version N [timeout 4s]
  outcome COMMAND-ID
  help [TOPIC]
CLASS is critical, high, normal or low. Statements end with the line or with ";".
"#" at the start of a word begins a comment. "help declare" and so on tell more.
)";

constexpr std::array<std::pair<std::string_view, std::string_view>, 10> kTopics = { {
  { "declare",
    R"(declare service NAME slots N connections N [long-share P]
  Declares a service or changes its sizes; its kinds and limit are kept.
  slots: requests that one backend server works on at the same time, 1 to 10000.
  connections: caller connections that one node holds, 1 to 100000.
  long-share: largest share of the slots for long requests, percent; 25 when left out.
declare kind SERVICE/KIND importance CLASS repeatable|once
        [attempts N] [deadline 500ms|2s] [long]
  Declares a kind of request or replaces its declaration.
  repeatable: idempotent. once: runs at most once and needs a ticket.
  attempts: extra attempts of one click over the whole call chain, 0 to 16; 2 when left out.
  deadline: used when the caller sends none, at most 600s; 2s when left out.
  long: requests of this kind share a part of the slots.
)" },
  { "set",
    R"(set priority SERVICE/KIND CLASS
  Changes the class of a kind: critical, high, normal or low.
set limit SERVICE N|none
  Bounds the concurrency limit of each backend server; at most the slots of the service.
)" },
  { "drain",
    R"(drain IP:PORT
  The node with this peer address takes no new work until "undrain".
)" },
  { "undrain",
    R"(undrain IP:PORT
  The node takes work again.
)" },
  { "show",
    R"(show services   declared services and kinds
show members    nodes that this node knows
show config     version, read position and drained nodes
show shed       requests that this node refused since its start, by kind and reason
show load       concurrency limit, queue and connections of this node
)" },
  { "why",
    R"(why CLICK-ID
  Lists what this node decided about the requests of a click.
)" },
  { "audit",
    R"(audit [last N]
  Lists the latest commands with their outcome; 20 when N is left out, at most 1000.
)" },
  { "wait",
    R"(wait version N [timeout 4s]
  Waits until every reachable failure domain has version N in effect. Unreachable domains are
  named and not counted. The exit status is 3 when the time is over before.
)" },
  { "outcome",
    R"(outcome COMMAND-ID
  Asks for the outcome of an earlier command, for example after the answer was lost.
)" },
  { "help",
    R"(help [TOPIC]
  Shows all statements, or explains one by its first word.
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
