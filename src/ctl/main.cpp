/// \file
/// ebonyvalectl: command-line tool for operators.
#include "ctl/commands.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

namespace {

using namespace ebonyvale;
namespace options = boost::program_options;

void printHelp(const options::options_description &Description) {
  std::cout << "ebonyvalectl COMMAND [options]\n\nCommands\n";
  for (const ctl_command &Command : ctlCommands())
    std::cout << "  " << Command.Name << " " << Command.Arguments << "\n      "
              << Command.Help << "\n";
  std::cout << "\nExamples\n"
               "  ebonyvalectl --admin 127.0.0.1:8081 status\n"
               "  ebonyvalectl note apply note.toml --wait 10\n"
               "  ebonyvalectl refusals --team tintworks "
               "--from 2026-01-31T12:00:00Z\n"
               "  ebonyvalectl log request 9c41d07be2a35f68 --log a.log "
               "--log b.log\n"
               "  ebonyvalectl key new --key-secret s1\n\n"
               "Exit codes: 0 done, 1 refused, 2 wrong usage, 3 unreachable\n\n"
            << Description;
}

} // namespace

int main(int Count, char **Arguments) {
  const char *TokenVariable = std::getenv("EBONYVALE_ADMIN_TOKEN");
  ctl_options Given;
  std::vector<std::string> Words;
  options::options_description Visible("Options");
  Visible.add_options()("help", "show this text")(
      "admin",
      options::value(&Given.Admins)
          ->default_value({"127.0.0.1:8081"}, "127.0.0.1:8081"),
      "admin listener, address:port; may be repeated")(
      "token",
      options::value(&Given.Token)
          ->default_value(TokenVariable ? TokenVariable : "", ""),
      "admin credential; default: EBONYVALE_ADMIN_TOKEN")(
      "json", options::bool_switch(&Given.Json),
      "print JSON")("team", options::value(&Given.Team), "show only this team")(
      "from", options::value(&Given.From), "start of the time range")(
      "to", options::value(&Given.To), "end of the time range")(
      "wait", options::value(&Given.WaitSeconds)->default_value(5),
      "seconds to wait for a note to be in force")(
      "log", options::value(&Given.Logs)->composing(),
      "log file of gateways; may be repeated, - for standard input")(
      "interval", options::value(&Given.IntervalSeconds)->default_value(2),
      "seconds covered by one row of log table")(
      "key-secret", options::value(&Given.KeySecret),
      "value of secrets.key_secret of the daemons")(
      "key", options::value(&Given.Key), "key to hash");
  options::options_description All;
  All.add(Visible).add_options()("words", options::value(&Words));
  options::positional_options_description Positions;
  Positions.add("words", -1);
  options::variables_map Values;
  try {
    options::store(options::command_line_parser(Count, Arguments)
                       .options(All)
                       .positional(Positions)
                       .run(),
                   Values);
    options::notify(Values);
  } catch (const options::error &Error) {
    std::cerr << "ebonyvalectl: " << Error.what() << "\n";
    return static_cast<int>(exit_code::Usage);
  }
  if (Values.count("help") != 0) {
    printHelp(Visible);
    return 0;
  }
  return static_cast<int>(runCtl(Given, Words, std::cout, std::cerr));
}
