#include "ctl/commands.h"

#include "ctl/admin_client.h"
#include "ctl/instant_text.h"
#include "ctl/log_commands.h"
#include "decisions/version/key_hash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <thread>

#include <nlohmann/json.hpp>
#include <openssl/rand.h>
#include <spdlog/fmt/fmt.h>

namespace ebonyvale {
namespace {

using nlohmann::json;
using arguments = std::vector<std::string>;

constexpr int FirstErrorStatus = 400;

/// What one instance said.
struct instance_answer {
  std::string Admin;
  exit_code Code = exit_code::Done;
  json Body;
};

instance_answer ask(const ctl_options &Options, const std::string &Admin,
                    const std::string &Method, const std::string &Target,
                    std::string_view Body = {}) {
  instance_answer Said{Admin, exit_code::Unreachable, nullptr};
  const auto Server = parseEndpoint(Admin);
  if (!Server) {
    Said.Code = exit_code::Usage;
    return Said;
  }
  admin_client Client(*Server, Options.Token);
  const auto Answer = Client.call(Method, Target, Body);
  if (!Answer)
    return Said;
  Said.Body = json::parse(Answer->Body, nullptr, false);
  Said.Code = Answer->Status >= FirstErrorStatus || !Said.Body.is_object()
                  ? exit_code::Refused
                  : exit_code::Done;
  return Said;
}

exit_code report(const instance_answer &Said, std::ostream &Err) {
  if (Said.Code == exit_code::Usage)
    Err << Said.Admin << ": must be written address:port\n";
  if (Said.Code == exit_code::Unreachable)
    Err << Said.Admin << ": does not answer\n";
  if (Said.Code == exit_code::Refused) {
    const json Error = Said.Body.is_object()
                           ? Said.Body.value("error", json::object())
                           : json::object();
    Err << Said.Admin << ": " << Error.value("kind", "bad answer") << ": "
        << Error.value("message", "") << "\n";
    const std::string Detail = Error.value("detail", "");
    if (!Detail.empty())
      Err << Detail << "\n";
  }
  return Said.Code;
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  return std::string{std::istreambuf_iterator<char>(File), {}};
}

/// Sends a note to the first instance that answers.
instance_answer sendNote(const ctl_options &Options, const std::string &Target,
                         std::string_view Note) {
  instance_answer Said;
  for (const std::string &Admin : Options.Admins) {
    Said = ask(Options, Admin, "POST", Target, Note);
    if (Said.Code != exit_code::Unreachable)
      break;
  }
  return Said;
}

exit_code noteCheck(const ctl_options &Options, const arguments &Arguments,
                    std::ostream &Out, std::ostream &Err) {
  const auto Note = readFile(Arguments[0]);
  if (!Note) {
    Err << "cannot read " << Arguments[0] << "\n";
    return exit_code::Usage;
  }
  const instance_answer Said = sendNote(Options, "/note/check", *Note);
  if (Said.Code != exit_code::Done)
    return report(Said, Err);
  if (Options.Json)
    Out << Said.Body.dump() << "\n";
  else
    Out << fmt::format("note '{}' is valid and would make version {}\n",
                       Said.Body.value("note", ""),
                       Said.Body.value("would_make_version", 0));
  return exit_code::Done;
}

/// Instances at or past \p Version, and the others with what they run.
json inForce(const ctl_options &Options, std::uint64_t Version) {
  json State{{"in_force", json::array()},
             {"behind", json::array()},
             {"not_reached", json::array()}};
  for (const std::string &Admin : Options.Admins) {
    const instance_answer Said = ask(Options, Admin, "GET", "/status");
    if (Said.Code != exit_code::Done)
      State["not_reached"].push_back(Admin);
    else if (Said.Body.value("version", std::uint64_t{0}) >= Version)
      State["in_force"].push_back(Admin);
    else
      State["behind"].push_back(Admin);
  }
  return State;
}

exit_code noteApply(const ctl_options &Options, const arguments &Arguments,
                    std::ostream &Out, std::ostream &Err) {
  const auto Note = readFile(Arguments[0]);
  if (!Note) {
    Err << "cannot read " << Arguments[0] << "\n";
    return exit_code::Usage;
  }
  const instance_answer Said = sendNote(Options, "/note/apply", *Note);
  if (Said.Code != exit_code::Done)
    return report(Said, Err);
  const auto Version = Said.Body.value("version", std::uint64_t{0});
  const auto Deadline = std::chrono::steady_clock::now() +
                        std::chrono::seconds(Options.WaitSeconds);
  json State = inForce(Options, Version);
  while (State["in_force"].size() < Options.Admins.size() &&
         std::chrono::steady_clock::now() < Deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    State = inForce(Options, Version);
  }
  json Outcome = Said.Body;
  Outcome.update(State);
  if (Options.Json) {
    Out << Outcome.dump() << "\n";
    return exit_code::Done;
  }
  Out << fmt::format("accepted as version {}{}\n", Version,
                     Said.Body.value("repeated", false)
                         ? " (it had been accepted before)"
                         : "");
  for (const char *Group : {"in_force", "behind", "not_reached"})
    if (!State[Group].empty())
      Out << fmt::format("{}: {}\n", Group, State[Group].dump());
  return exit_code::Done;
}

/// Asks all instances, prints what \p Print makes of each answer.
template <typename Printer>
exit_code askAll(const ctl_options &Options, const std::string &Target,
                 std::ostream &Out, std::ostream &Err, Printer Print) {
  exit_code Worst = exit_code::Done;
  for (const std::string &Admin : Options.Admins) {
    const instance_answer Said = ask(Options, Admin, "GET", Target);
    if (Said.Code != exit_code::Done)
      Worst = report(Said, Err);
    else if (Options.Json)
      Out << Said.Body.dump() << "\n";
    else
      Print(Said.Body);
  }
  return Worst;
}

exit_code status(const ctl_options &Options, const arguments &,
                 std::ostream &Out, std::ostream &Err) {
  return askAll(Options, "/status", Out, Err, [&Out](const json &Body) {
    Out << fmt::format("{}  domain {}  version {} ({})  {}  {} open requests\n",
                       Body.value("instance", ""), Body.value("domain", ""),
                       Body.value("version", 0), Body.value("note", ""),
                       Body.value("ready", false) ? "ready" : "not ready",
                       Body.value("open_requests", 0));
    // Of a gateway only.
    if (Body.contains("evidence_age_ms"))
      Out << fmt::format("  configuration proved {:.0f} ms ago  limits divided "
                         "by {}  weights issued by '{}'\n",
                         Body.value("evidence_age_ms", -1.0),
                         Body.value("limits_divided_by", 0),
                         Body.value("weights_issuer", ""));
  });
}

/// What each instance could spend now; lent tokens are counted where they are.
exit_code limits(const ctl_options &Options, const arguments &,
                 std::ostream &Out, std::ostream &Err) {
  return askAll(Options, "/status", Out, Err, [&](const json &Body) {
    for (const auto &[Name, Team] :
         Body.value("teams", json::object()).items()) {
      if (!Options.Team.empty() && Options.Team != Name)
        continue;
      Out << fmt::format(
          "{:<20} team '{}'  {:.0f} tokens available of a burst of {:.0f}, "
          "{:.0f} a second in all\n",
          Body.value("instance", ""), Name,
          Team.value("available_here_tokens", 0.0),
          Team.value("burst_tokens", 0.0),
          Team.value("rate_tokens_per_second", 0.0));
    }
  });
}

exit_code upstreams(const ctl_options &Options, const arguments &,
                    std::ostream &Out, std::ostream &Err) {
  return askAll(Options, "/upstreams", Out, Err, [&Out](const json &Body) {
    for (const json &Entry : Body["upstreams"])
      Out << fmt::format("{:<20} {}:{}  {}  {}  {} in flight, {:.0f} ms "
                         "queued\n",
                         Entry.value("name", ""), Entry.value("address", ""),
                         Entry.value("port", 0), Entry.value("nearness", ""),
                         Entry.value("usable", false) ? "usable" : "not usable",
                         Entry.value("in_flight", 0),
                         Entry.value("backlog_ms", 0.0));
  });
}

void printRefusal(std::ostream &Out, const json &Entry) {
  Out << fmt::format("{}  {}  {}  team '{}'  route '{}'  ran {}  {}",
                     Entry.value("instant", ""), Entry.value("reference", ""),
                     Entry.value("kind", ""), Entry.value("team", ""),
                     Entry.value("route", ""), Entry.value("ran", ""),
                     Entry.value("detail", ""));
  // Rows of the platform's store stand for all of a second.
  if (const auto Count = Entry.value("count", 1); Count > 1)
    Out << fmt::format("  (the last of {} in this second)", Count);
  Out << "\n";
}

exit_code refusals(const ctl_options &Options, const arguments &,
                   std::ostream &Out, std::ostream &Err) {
  std::string Target = "/refusals?team=" + Options.Team;
  for (const auto &[Name, Text] :
       {std::pair("from", &Options.From), std::pair("to", &Options.To)}) {
    if (Text->empty())
      continue;
    const auto Instant = parseInstant(*Text);
    if (!Instant) {
      Err << *Text << ": not an instant, write 2026-01-31T12:00:00Z\n";
      return exit_code::Usage;
    }
    Target += fmt::format("&{}={}", Name, Instant->time_since_epoch().count());
  }
  return askAll(Options, Target, Out, Err, [&Out](const json &Body) {
    for (const json &Entry : Body["refusals"])
      printRefusal(Out, Entry);
    for (const json &Count : Body["counts"])
      if (Count.value("total", 0) != Count.value("kept", 0))
        Out << fmt::format("minute {} team '{}' {}: {} in all, {} in full\n",
                           Count.value("minute", ""), Count.value("team", ""),
                           Count.value("kind", ""), Count.value("total", 0),
                           Count.value("kept", 0));
  });
}

exit_code explain(const ctl_options &Options, const arguments &Arguments,
                  std::ostream &Out, std::ostream &Err) {
  instance_answer Said;
  for (const std::string &Admin : Options.Admins) {
    Said = ask(Options, Admin, "GET", "/explain?reference=" + Arguments[0]);
    if (Said.Code == exit_code::Done)
      break;
  }
  if (Said.Code != exit_code::Done)
    return report(Said, Err);
  if (Options.Json) {
    Out << Said.Body.dump() << "\n";
    return exit_code::Done;
  }
  printRefusal(Out, Said.Body);
  Out << Said.Body.value("message", "") << "\n"
      << fmt::format("asked {:.0f} tokens, {:.0f} available of a part of "
                     "{:.0f}; version {}\n",
                     Said.Body.value("asked_tokens", 0.0),
                     Said.Body.value("level_tokens", 0.0),
                     Said.Body.value("part_tokens", 0.0),
                     Said.Body.value("version", 0));
  return exit_code::Done;
}

exit_code printKey(const ctl_options &Options, const std::string &Key,
                   std::ostream &Out, std::ostream &Err) {
  if (Options.KeySecret.empty()) {
    Err << "--key-secret is needed, the daemons' secrets.key_secret\n";
    return exit_code::Usage;
  }
  const std::string Hash = toHex(hashKey(Options.KeySecret, Key));
  if (Options.Json)
    Out << json{{"key", Key}, {"hash", Hash}}.dump() << "\n";
  else
    Out << fmt::format("key  {}\nhash {}\n", Key, Hash);
  return exit_code::Done;
}

exit_code keyNew(const ctl_options &Options, const arguments &,
                 std::ostream &Out, std::ostream &Err) {
  digest Bytes{};
  if (RAND_bytes(Bytes.data(), static_cast<int>(Bytes.size())) != 1) {
    Err << "no random bytes\n";
    return exit_code::Refused;
  }
  return printKey(Options, "ev-" + toHex(Bytes), Out, Err);
}

exit_code keyHash(const ctl_options &Options, const arguments &,
                  std::ostream &Out, std::ostream &Err) {
  if (Options.Key.empty()) {
    Err << "--key is needed\n";
    return exit_code::Usage;
  }
  return printKey(Options, Options.Key, Out, Err);
}

exit_code completion(const ctl_options &, const arguments &Arguments,
                     std::ostream &Out, std::ostream &Err) {
  if (Arguments[0] != "bash") {
    Err << "only bash is known\n";
    return exit_code::Usage;
  }
  std::string Words;
  for (const ctl_command &Command : ctlCommands())
    Words += std::string(Command.Words) + " ";
  Out << "complete -W '" << Words
      << "--admin --token --json --team --from --to --wait --key-secret "
         "--log --interval' "
         "ebonyvalectl\n";
  return exit_code::Done;
}

constexpr std::array<ctl_command, 14> Commands{{
    {"note check", "FILE", "check a release note without applying it",
     &noteCheck},
    {"note apply", "FILE", "apply a release note and show where it is in force",
     &noteApply},
    {"status", "", "version, readiness and open requests of each instance",
     &status},
    {"upstreams", "", "what each instance knows of its upstreams", &upstreams},
    {"limits", "", "what each instance can spend of a --team's limit, or all",
     &limits},
    {"refusals", "", "refusals by --team, --from and --to", &refusals},
    {"explain", "REFERENCE", "one refusal with the numbers behind it",
     &explain},
    {"log request", "ID", "what happened to a request, from --log files",
     &logRequest},
    {"log changes", "",
     "what changed between --from and --to, from --log files", &logChanges},
    {"log holders", "", "versions, claims and limits at --to, from --log files",
     &logHolders},
    {"log table", "", "outcomes by --interval and instance, from --log files",
     &logTable},
    {"key new", "", "make a key; it is printed only here", &keyNew},
    {"key hash", "", "the hash of a key given with --key", &keyHash},
    {"completion", "bash", "print the completion script", &completion},
}};

arguments splitWords(std::string_view Text) {
  arguments Words;
  while (!Text.empty()) {
    const std::size_t Space = Text.find(' ');
    Words.emplace_back(Text.substr(0, Space));
    Text.remove_prefix(Space == std::string_view::npos ? Text.size()
                                                       : Space + 1);
  }
  return Words;
}

} // namespace

std::span<const ctl_command> ctlCommands() { return Commands; }

exit_code runCtl(const ctl_options &Options, const arguments &Words,
                 std::ostream &Out, std::ostream &Err) {
  for (const ctl_command &Command : Commands) {
    const arguments Name = splitWords(Command.Words);
    const std::size_t Wanted = splitWords(Command.Arguments).size();
    if (Words.size() != Name.size() + Wanted ||
        !std::ranges::equal(Name, std::span(Words).first(Name.size())))
      continue;
    return Command.Run(
        Options, {std::next(Words.begin(), std::ssize(Name)), Words.end()}, Out,
        Err);
  }
  Err << "unknown command; see ebonyvalectl --help\n";
  return exit_code::Usage;
}

} // namespace ebonyvale
