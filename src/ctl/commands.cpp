#include "ctl/commands.h"

#include "ctl/admin_client.h"
#include "ctl/log_commands.h"
#include "ctl/timestamp.h"
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

/// Response of one instance, or the reason why there is none.
struct instance_result {
  std::string Admin; ///< "address:port"
  exit_code Code = exit_code::Done;
  json Body;
  bool IsCutOff = false; ///< a part of the response was received
};

instance_result sendRequest(const ctl_options &Options,
                            const std::string &Admin, const std::string &Method,
                            const std::string &Target,
                            std::string_view Body = {}) {
  instance_result Result{Admin, exit_code::Unreachable, nullptr};
  const auto Server = parseEndpoint(Admin);
  if (!Server) {
    Result.Code = exit_code::Usage;
    return Result;
  }
  admin_client Client(*Server, Options.Token);
  const auto Response = Client.call(Method, Target, Body);
  Result.IsCutOff = Response && !Response->IsWhole;
  if (!Response || Result.IsCutOff)
    return Result;
  Result.Body = json::parse(Response->Body, nullptr, false);
  Result.Code = Response->Status >= FirstErrorStatus || !Result.Body.is_object()
                    ? exit_code::Refused
                    : exit_code::Done;
  return Result;
}

/// Returns the object "error" of a response, or an empty object if the response
/// has none.
json errorOf(const json &Body) {
  const auto Error = Body.is_object() ? Body.find("error") : Body.end();
  return Error != Body.end() && Error->is_object() ? *Error : json::object();
}

/// Prints why a request failed and returns its exit code.
exit_code reportError(const instance_result &Result, std::ostream &Err) {
  if (Result.Code == exit_code::Usage)
    Err << Result.Admin << ": expected address:port\n";
  if (Result.Code == exit_code::Unreachable)
    Err << Result.Admin
        << (Result.IsCutOff ? ": the response was cut off; whether the request "
                              "was carried out is not known\n"
                            : ": cannot be reached\n");
  if (Result.Code == exit_code::Refused) {
    const json Error = errorOf(Result.Body);
    Err << Result.Admin << ": " << Error.value("kind", "unreadable response")
        << ": " << Error.value("message", "") << "\n";
    const std::string Detail = Error.value("detail", "");
    if (!Detail.empty())
      Err << Detail << "\n";
  }
  return Result.Code;
}

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return std::nullopt;
  return std::string{std::istreambuf_iterator<char>(File), {}};
}

/// Sends a release note to the first instance that can be reached.
instance_result sendNote(const ctl_options &Options, const std::string &Target,
                         std::string_view Note) {
  instance_result Result;
  for (const std::string &Admin : Options.Admins) {
    Result = sendRequest(Options, Admin, "POST", Target, Note);
    if (Result.Code != exit_code::Unreachable)
      break;
  }
  return Result;
}

exit_code noteCheck(const ctl_options &Options, const arguments &Arguments,
                    std::ostream &Out, std::ostream &Err) {
  const auto Note = readFile(Arguments[0]);
  if (!Note) {
    Err << "cannot read " << Arguments[0] << "\n";
    return exit_code::Usage;
  }
  const instance_result Result = sendNote(Options, "/note/check", *Note);
  if (Result.Code != exit_code::Done)
    return reportError(Result, Err);
  if (Options.Json)
    Out << Result.Body.dump() << "\n";
  else
    Out << fmt::format("note '{}' is valid and would make version {}\n",
                       Result.Body.value("note", ""),
                       Result.Body.value("would_make_version", 0));
  return exit_code::Done;
}

/// Sorts the instances into those that run \p Version or a later one, those
/// that run an earlier one and those that do not return their status.
json groupByVersion(const ctl_options &Options, std::uint64_t Version) {
  json Instances{{"in_force", json::array()},
                 {"behind", json::array()},
                 {"not_reached", json::array()}};
  for (const std::string &Admin : Options.Admins) {
    const instance_result Result =
        sendRequest(Options, Admin, "GET", "/status");
    if (Result.Code != exit_code::Done)
      Instances["not_reached"].push_back(Admin);
    else if (Result.Body.value("version", std::uint64_t{0}) >= Version)
      Instances["in_force"].push_back(Admin);
    else
      Instances["behind"].push_back(Admin);
  }
  return Instances;
}

exit_code noteApply(const ctl_options &Options, const arguments &Arguments,
                    std::ostream &Out, std::ostream &Err) {
  const auto Note = readFile(Arguments[0]);
  if (!Note) {
    Err << "cannot read " << Arguments[0] << "\n";
    return exit_code::Usage;
  }
  const instance_result Result = sendNote(Options, "/note/apply", *Note);
  if (Result.Code != exit_code::Done)
    return reportError(Result, Err);
  const auto Version = Result.Body.value("version", std::uint64_t{0});
  const auto Deadline = std::chrono::steady_clock::now() +
                        std::chrono::seconds(Options.WaitSeconds);
  json Instances = groupByVersion(Options, Version);
  while (Instances["in_force"].size() < Options.Admins.size() &&
         std::chrono::steady_clock::now() < Deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Instances = groupByVersion(Options, Version);
  }
  json Outcome = Result.Body;
  Outcome.update(Instances);
  if (Options.Json) {
    Out << Outcome.dump() << "\n";
    return exit_code::Done;
  }
  Out << fmt::format("accepted as version {}{}\n", Version,
                     Result.Body.value("repeated", false)
                         ? " (already accepted earlier)"
                         : "");
  for (const char *Group : {"in_force", "behind", "not_reached"})
    if (!Instances[Group].empty())
      Out << fmt::format("{}: {}\n", Group, Instances[Group].dump());
  return exit_code::Done;
}

/// Sends a GET request to every instance and passes each response body to
/// \p Print. Returns the code of the last failure.
template <typename Printer>
exit_code queryAll(const ctl_options &Options, const std::string &Target,
                   std::ostream &Out, std::ostream &Err, Printer Print) {
  exit_code LastFailure = exit_code::Done;
  for (const std::string &Admin : Options.Admins) {
    const instance_result Result = sendRequest(Options, Admin, "GET", Target);
    if (Result.Code != exit_code::Done)
      LastFailure = reportError(Result, Err);
    else if (Options.Json)
      Out << Result.Body.dump() << "\n";
    else
      Print(Result.Body);
  }
  return LastFailure;
}

exit_code status(const ctl_options &Options, const arguments &,
                 std::ostream &Out, std::ostream &Err) {
  return queryAll(Options, "/status", Out, Err, [&Out](const json &Body) {
    Out << fmt::format("{}  domain {}  version {} ({})  {}  {} open requests\n",
                       Body.value("instance", ""), Body.value("domain", ""),
                       Body.value("version", 0), Body.value("note", ""),
                       Body.value("ready", false) ? "ready" : "not ready",
                       Body.value("open_requests", 0));
    // Reported by gateways only.
    if (Body.contains("evidence_age_ms"))
      Out << fmt::format(
          "  configuration confirmed {:.0f} ms ago  limits divided "
          "by {}  weights issued by '{}'\n",
          Body.value("evidence_age_ms", -1.0),
          Body.value("limits_divided_by", 0), Body.value("weights_issuer", ""));
    for (const json &Field : Body.value("unknown_fields", json::array()))
      Out << fmt::format("  field '{}' of {} is not known, seen {} times\n",
                         Field.value("name", ""), Field.value("source", ""),
                         Field.value("count", std::uint64_t{0}));
  });
}

/// Prints the tokens that each instance could spend now. Lent tokens count at
/// the borrower.
exit_code limits(const ctl_options &Options, const arguments &,
                 std::ostream &Out, std::ostream &Err) {
  return queryAll(Options, "/status", Out, Err, [&](const json &Body) {
    const json Teams = Body.value("teams", json::object());
    for (const auto &[Name, Team] : Teams.items()) {
      if (!Options.Team.empty() && Options.Team != Name)
        continue;
      Out << fmt::format(
          "{:<20} team '{}'  {:.0f} tokens available of a burst of {:.0f}, "
          "{:.0f} a second in total\n",
          Body.value("instance", ""), Name,
          Team.value("available_here_tokens", 0.0),
          Team.value("burst_tokens", 0.0),
          Team.value("rate_tokens_per_second", 0.0));
    }
  });
}

exit_code upstreams(const ctl_options &Options, const arguments &,
                    std::ostream &Out, std::ostream &Err) {
  return queryAll(Options, "/upstreams", Out, Err, [&Out](const json &Body) {
    for (const json &Entry : Body.at("upstreams")) {
      Out << fmt::format("{:<20} {}:{}  {}  {}  {} in flight, {:.0f} ms "
                         "queued",
                         Entry.value("name", ""), Entry.value("address", ""),
                         Entry.value("port", 0), Entry.value("nearness", ""),
                         Entry.value("usable", false) ? "usable" : "not usable",
                         Entry.value("in_flight", 0),
                         Entry.value("backlog_ms", 0.0));
      // Named by an upstream in need, for all instances together.
      constexpr double NoLimit = -1;
      if (const double Limit = Entry.value("limit_per_second", NoLimit);
          Limit >= 0)
        Out << fmt::format(", takes {:g} a second", Limit);
      if (const double Pause = Entry.value("pause_ms", 0.0); Pause > 0)
        Out << fmt::format(", asked for a pause that lasts {:.0f} ms", Pause);
      Out << "\n";
    }
  });
}

void printRefusal(std::ostream &Out, const json &Entry) {
  Out << fmt::format("{}  {}  {}  team '{}'  route '{}'  ran {}  {}",
                     Entry.value("instant", ""), Entry.value("reference", ""),
                     Entry.value("kind", ""), Entry.value("team", ""),
                     Entry.value("route", ""), Entry.value("ran", ""),
                     Entry.value("detail", ""));
  // The platform's store keeps one row for all refusals of a team and kind
  // within one second.
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
    const auto Timestamp = parseTimestamp(*Text);
    if (!Timestamp) {
      Err << *Text
          << ": not a timestamp, expected for example 2026-01-31T12:00:00Z\n";
      return exit_code::Usage;
    }
    Target +=
        fmt::format("&{}={}", Name, Timestamp->time_since_epoch().count());
  }
  return queryAll(Options, Target, Out, Err, [&Out](const json &Body) {
    for (const json &Entry : Body.at("refusals"))
      printRefusal(Out, Entry);
    for (const json &Count : Body.at("counts"))
      if (Count.value("total", 0) != Count.value("kept", 0))
        Out << fmt::format(
            "minute {} team '{}' {}: {} in total, {} with details\n",
            Count.value("minute", ""), Count.value("team", ""),
            Count.value("kind", ""), Count.value("total", 0),
            Count.value("kept", 0));
  });
}

exit_code explain(const ctl_options &Options, const arguments &Arguments,
                  std::ostream &Out, std::ostream &Err) {
  instance_result Result;
  for (const std::string &Admin : Options.Admins) {
    Result = sendRequest(Options, Admin, "GET",
                         "/explain?reference=" + Arguments[0]);
    if (Result.Code == exit_code::Done)
      break;
  }
  if (Result.Code != exit_code::Done)
    return reportError(Result, Err);
  if (Options.Json) {
    Out << Result.Body.dump() << "\n";
    return exit_code::Done;
  }
  printRefusal(Out, Result.Body);
  Out << Result.Body.value("message", "") << "\n"
      << fmt::format("{:.0f} tokens requested, {:.0f} available of a quota "
                     "share of {:.0f}; version {}\n",
                     Result.Body.value("asked_tokens", 0.0),
                     Result.Body.value("level_tokens", 0.0),
                     Result.Body.value("part_tokens", 0.0),
                     Result.Body.value("version", 0));
  return exit_code::Done;
}

exit_code printKey(const ctl_options &Options, const std::string &Key,
                   std::ostream &Out, std::ostream &Err) {
  if (Options.KeySecret.empty()) {
    Err << "--key-secret is required; its value is secrets.key_secret of the "
           "daemons\n";
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
    Err << "cannot generate random bytes\n";
    return exit_code::Refused;
  }
  return printKey(Options, "ev-" + toHex(Bytes), Out, Err);
}

exit_code keyHash(const ctl_options &Options, const arguments &,
                  std::ostream &Out, std::ostream &Err) {
  if (Options.Key.empty()) {
    Err << "--key is required\n";
    return exit_code::Usage;
  }
  return printKey(Options, Options.Key, Out, Err);
}

exit_code completion(const ctl_options &, const arguments &Arguments,
                     std::ostream &Out, std::ostream &Err) {
  if (Arguments[0] != "bash") {
    Err << "only bash is supported\n";
    return exit_code::Usage;
  }
  std::string Words;
  for (const ctl_command &Command : ctlCommands())
    Words += std::string(Command.Name) + " ";
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
    {"upstreams", "", "state of the upstreams at each instance", &upstreams},
    {"limits", "", "tokens available at each instance, of one --team or of all",
     &limits},
    {"refusals", "", "refusals by --team, --from and --to", &refusals},
    {"explain", "REFERENCE", "details of one refusal", &explain},
    {"log request", "ID", "history of a request, from --log files",
     &logRequest},
    {"log changes", "",
     "state changes between --from and --to, from --log files", &logChanges},
    {"log holders", "",
     "versions, weights claims and limits at --to, from --log files",
     &logHolders},
    {"log table", "",
     "request outcomes by --interval and instance, from --log files",
     &logTable},
    {"key new", "", "create a key; it is printed once and not stored", &keyNew},
    {"key hash", "", "print the hash of the key given with --key", &keyHash},
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
    const arguments NameWords = splitWords(Command.Name);
    const std::size_t ArgumentCount = splitWords(Command.Arguments).size();
    if (Words.size() != NameWords.size() + ArgumentCount ||
        !std::ranges::equal(NameWords,
                            std::span(Words).first(NameWords.size())))
      continue;
    try {
      return Command.Run(
          Options,
          {std::next(Words.begin(), std::ssize(NameWords)), Words.end()}, Out,
          Err);
    } catch (const json::exception &Problem) {
      Err << "unexpected response: " << Problem.what() << "\n";
      return exit_code::Refused;
    }
  }
  Err << "unknown command; see ebonyvalectl --help\n";
  return exit_code::Usage;
}

} // namespace ebonyvale
