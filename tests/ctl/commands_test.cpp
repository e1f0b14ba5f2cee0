// Commands against an admin listener, with the responses of daemons and
// gateways and with responses that are neither.
#include "ctl/commands.h"
#include "net/scripted_server.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <cstdio>
#include <sstream>
#include <thread>

#include <unistd.h>

using namespace ebonyvale;

namespace {

/// What follows a response.
enum class response_end { Open, Closed, Reset };

/// Serves one response to every request, on a thread of its own.
class admin_stand_in {
public:
  admin_stand_in(int Status, const std::string &Body)
      : admin_stand_in("HTTP/1.1 " + std::to_string(Status) +
                           " x\r\nConnection: close\r\nContent-Length: " +
                           std::to_string(Body.size()) + "\r\n\r\n" + Body,
                       response_end::Open) {}
  /// Sends \p Response to every request, and then \p End.
  admin_stand_in(const std::string &Response, response_end End)
      : Base(event_base_new()),
        Server(Base.get(),
               [Response, End](scripted_server::peer &Peer) {
                 if (Peer.Received.find("\r\n\r\n") == std::string::npos)
                   return;
                 Peer.Received.clear();
                 Peer.send(Response);
                 if (End == response_end::Closed)
                   Peer.close();
                 if (End == response_end::Reset)
                   Peer.reset();
               }),
        Stop(event_new(
            Base.get(), Pipe.Ends[0], EV_READ,
            [](evutil_socket_t, short, void *Self) {
              event_base_loopbreak(
                  static_cast<admin_stand_in *>(Self)->Base.get());
            },
            this)),
        Thread(
            [this] { event_base_loop(Base.get(), EVLOOP_NO_EXIT_ON_EMPTY); }) {
    event_add(Stop.get(), nullptr);
  }
  ~admin_stand_in() {
    cr_assert(write(Pipe.Ends[1], "x", 1) == 1);
    Thread.join();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server.address().Port);
  }

private:
  struct pipe_pair {
    pipe_pair() { cr_assert(pipe(Ends) == 0); }
    ~pipe_pair() {
      close(Ends[0]);
      close(Ends[1]);
    }
    int Ends[2];
  };

  pipe_pair Pipe;
  event_base_ptr Base;
  scripted_server Server;
  event_ptr Stop;
  std::thread Thread;
};

struct command_row {
  char Command[24];
  int Status;
  char Body[224];
  exit_code Code;
  char Output[64]; ///< part of the output, or of the error if `Code` is one
};

struct cut_row {
  char Command[24];
  char Response[112];
  response_end End;
  bool IsSent; ///< whether a part of the response has been sent
};

#define OK_HEAD "HTTP/1.1 200 OK\r\n"

/// Runs \p Words against \p Admin.
exit_code runAgainst(const admin_stand_in &Admin, const std::string &Words,
                     std::ostream &Out, std::ostream &Err) {
  char Note[] = "/tmp/ebonyvale-note-XXXXXX";
  close(mkstemp(Note));
  ctl_options Options;
  Options.Admins = {Admin.address()};
  std::vector<std::string> Arguments;
  std::istringstream Command(Words);
  for (std::string Word; Command >> Word;)
    Arguments.push_back(Word == "FILE" ? Note : Word);
  const exit_code Code = runCtl(Options, Arguments, Out, Err);
  std::remove(Note);
  return Code;
}

} // namespace

ParameterizedTestParameters(ctl_commands, a_cut_response_is_no_success) {
  static cut_row Rows[] = {
      {"status", OK_HEAD "Content-Length: 40\r\n\r\n{\"version\":7}",
       response_end::Closed, true},
      {"status", OK_HEAD "Content-Length: 40\r\n\r\n{\"version\":7}",
       response_end::Reset, true},
      {"note apply FILE", OK_HEAD "Content-Length: 40\r\n\r\n{\"version\":7}",
       response_end::Closed, true},
      {"status",
       OK_HEAD "Transfer-Encoding: chunked\r\n\r\nd\r\n{\"version\":7}\r\n",
       response_end::Closed, true},
      {"status", OK_HEAD "\r\n{\"version\":7}", response_end::Closed, true},
      {"note apply FILE", OK_HEAD "Connection: close\r\n\r\n{\"version\":7}",
       response_end::Closed, true},
      {"status", OK_HEAD "\r\n{\"version\":7}", response_end::Reset, true},
      {"note check FILE", OK_HEAD "\r\n{\"would_make_ver", response_end::Closed,
       true},
      {"status", OK_HEAD "Content-Len", response_end::Closed, false},
      {"status", "", response_end::Reset, false},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(cut_row *Row, ctl_commands, a_cut_response_is_no_success) {
  const admin_stand_in Admin(Row->Response, Row->End);
  std::ostringstream Out;
  std::ostringstream Err;
  const exit_code Code = runAgainst(Admin, Row->Command, Out, Err);
  cr_assert(Code == exit_code::Unreachable, "%d: '%s' '%s'",
            static_cast<int>(Code), Out.str().c_str(), Err.str().c_str());
  const std::string Expected =
      Admin.address() +
      (Row->IsSent ? ": the response was cut off" : ": cannot be reached");
  cr_assert(Err.str().starts_with(Expected), "%s", Err.str().c_str());
}

ParameterizedTestParameters(ctl_commands, responses) {
  static command_row Rows[] = {
      {"status", 200,
       R"({"instance":"i-1","domain":"d","version":7,"note":"n","ready":true})",
       exit_code::Done, "i-1  domain d  version 7 (n)  ready"},
      {"status", 200,
       R"({"instance":"i-1","evidence_age_ms":12.0,"limits_divided_by":8})",
       exit_code::Done, "confirmed 12 ms ago  limits divided by 8"},
      {"status", 200,
       R"({"instance":"i-1","evidence_age_ms":12.0,"unknown_fields":)"
       R"([{"source":"upstream","name":"Mood","count":3}]})",
       exit_code::Done, "field 'Mood' of upstream is not known, seen 3 times"},
      {"limits", 200,
       R"({"instance":"i-1","teams":{"t":{"available_here_tokens":9.0,)"
       R"("burst_tokens":20.0,"rate_tokens_per_second":5.0}}})",
       exit_code::Done, "team 't'  9 tokens available of a burst of 20"},
      {"limits", 200, R"({"instance":"i-1"})", exit_code::Done, ""},
      {"upstreams", 200,
       R"({"upstreams":[{"name":"u-1","address":"10.0.0.1","port":80}]})",
       exit_code::Done, "u-1                  10.0.0.1:80"},
      {"upstreams", 200,
       R"({"upstreams":[{"name":"u-1","limit_per_second":1.8}]})",
       exit_code::Done, "queued, takes 1.8 a second"},
      {"upstreams", 200,
       R"({"upstreams":[{"name":"u-1","limit_per_second":-1.0}]})",
       exit_code::Done, "ms queued\n"},
      {"upstreams", 200, R"({"upstreams":[{"name":"u-1","pause_ms":1500.0}]})",
       exit_code::Done, "asked for a pause that lasts 1500 ms"},
      {"refusals", 200,
       R"({"refusals":[{"reference":"r-1","kind":"overloaded","count":3}],)"
       R"("counts":[]})",
       exit_code::Done, "(the last of 3 in this second)"},
      {"explain r-1", 200,
       R"({"reference":"r-1","message":"no room","asked_tokens":5.0})",
       exit_code::Done, "no room"},
      {"note apply FILE", 200, R"({"version":7})", exit_code::Done,
       "accepted as version 7"},
      {"note check FILE", 200, R"({"note":"n","would_make_version":8})",
       exit_code::Done, "would make version 8"},
      {"status", 401, R"({"error":{"kind":"forbidden","message":"no token"}})",
       exit_code::Refused, "forbidden: no token"},
      {"status", 500, R"({"error":"broken"})", exit_code::Refused,
       "unreadable response"},
      {"status", 200, "not JSON", exit_code::Refused, "unreadable response"},
      {"status", 200, R"({"version":"seven"})", exit_code::Refused,
       "unexpected response"},
      {"limits", 200, R"({"teams":[1]})", exit_code::Refused,
       "unexpected response"},
      {"upstreams", 200, "{}", exit_code::Refused, "unexpected response"},
      {"refusals", 200, R"({"refusals":[]})", exit_code::Refused,
       "unexpected response"},
  };
  return criterion_test_params(Rows);
}

ParameterizedTest(command_row *Row, ctl_commands, responses) {
  const admin_stand_in Admin(Row->Status, Row->Body);
  std::ostringstream Out;
  std::ostringstream Err;
  const exit_code Code = runAgainst(Admin, Row->Command, Out, Err);
  cr_assert(Code == Row->Code, "%d: %s", static_cast<int>(Code),
            Err.str().c_str());
  const std::string Printed = Code == exit_code::Done ? Out.str() : Err.str();
  cr_assert(Printed.find(Row->Output) != std::string::npos, "%s",
            Printed.c_str());
}

Test(ctl_commands, an_instance_that_cannot_be_reached) {
  ctl_options Options;
  Options.Admins = {"127.0.0.1:1"};
  std::ostringstream Out;
  std::ostringstream Err;
  cr_assert(runCtl(Options, {"status"}, Out, Err) == exit_code::Unreachable);
  cr_assert(Err.str() == "127.0.0.1:1: cannot be reached\n");
  Options.Admins = {"nowhere"};
  cr_assert(runCtl(Options, {"status"}, Out, Err) == exit_code::Usage);
}
