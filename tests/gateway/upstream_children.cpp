#include "gateway/upstream_children.h"

#include <criterion/criterion.h>

#include <array>
#include <csignal>

#include <fcntl.h>
#include <netinet/in.h>
#include <spdlog/fmt/fmt.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ebonyvale {

using namespace std::chrono_literals;

namespace {

/// Limits the connections that the system accepts for the listeners of this
/// process.
void setBacklog(int Backlog) {
  constexpr int MaxDescriptor = 256;
  for (int Descriptor = 0; Descriptor < MaxDescriptor; ++Descriptor) {
    int Listens = 0;
    socklen_t Length = sizeof(Listens);
    if (getsockopt(Descriptor, SOL_SOCKET, SO_ACCEPTCONN, &Listens, &Length) ==
            0 &&
        Listens != 0)
      listen(Descriptor, Backlog);
  }
}

} // namespace

child_upstream::child_upstream(const std::string &Id,
                               const upstream_pace &Pace) {
  std::array<int, 2> Ends{};
  cr_assert(pipe(Ends.data()) == 0);
  Child = fork();
  cr_assert(Child >= 0);
  if (Child == 0) {
    close(Ends[0]);
    serve(Id, Pace, Ends[1]);
  }
  close(Ends[1]);
  Reports = Ends[0];
  cr_assert(read(Reports, &Port, sizeof(Port)) == sizeof(Port));
  fcntl(Reports, F_SETFL, O_NONBLOCK);
}

child_upstream::~child_upstream() {
  kill();
  close(Reports);
}

void child_upstream::stop() const {
  ::kill(Child, SIGSTOP);
  waitpid(Child, nullptr, WUNTRACED);
}

void child_upstream::resume() const { ::kill(Child, SIGCONT); }

void child_upstream::kill() {
  if (Child <= 0)
    return;
  ::kill(Child, SIGKILL);
  waitpid(Child, nullptr, 0);
  Child = -1;
}

std::ptrdiff_t child_upstream::runsOf(std::string_view Id) {
  std::array<char, 4096> Part{};
  for (ssize_t Length = 0;
       (Length = read(Reports, Part.data(), Part.size())) > 0;)
    Lines.append(Part.data(), static_cast<std::size_t>(Length));
  std::ptrdiff_t Runs = 0;
  const std::string Line = fmt::format("{}\n", Id);
  for (std::size_t At = 0; (At = Lines.find(Line, At)) != std::string::npos;
       At += Line.size())
    ++Runs;
  return Runs;
}

void child_upstream::serve(const std::string &Id, const upstream_pace &Pace,
                           int Reports) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::signal(SIGPIPE, SIG_IGN);
  const event_base_ptr Base(event_base_new());
  fake_upstream Upstream(Base.get(), Id);
  Upstream.Delay = Pace.Delay;
  Upstream.EventInterval = Pace.EventInterval;
  Upstream.CloseDelimitedEvery = Pace.CloseDelimitedEvery;
  Upstream.OnRun = [Reports](const http_request &Request) {
    const std::string Line = fmt::format(
        "{}\n", Request.Head.Headers.find("Ebonyvale-Request-Id").value());
    (void)!write(Reports, Line.data(), Line.size());
  };
  if (Pace.Backlog > 0)
    setBacklog(Pace.Backlog);
  const std::uint16_t Port = Upstream.port();
  (void)!write(Reports, &Port, sizeof(Port));
  event_base_loop(Base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
  _exit(0);
}

child_fleet::child_fleet(const upstream_pace &Pace, upstream_links Links)
    : Fleet(makeChildren(Pace), Links) {
  list();
  // A request that reaches one of the replaced upstreams may still do so.
  runLoopFor(Fleet.Gateway.Base.get(), 500ms);
}

std::size_t child_fleet::makeChildren(const upstream_pace &Pace) {
  for (const char *Id : {"u-1", "u-2"})
    Children.push_back(std::make_unique<child_upstream>(Id, Pace));
  return Children.size();
}

void child_fleet::stopAll() const {
  for (const auto &Child : Children)
    Child->stop();
}

void child_fleet::resumeAll() const {
  for (const auto &Child : Children)
    Child->resume();
}

std::ptrdiff_t child_fleet::runsOf(std::string_view Id) const {
  std::ptrdiff_t Runs = 0;
  for (const auto &Child : Children)
    Runs += Child->runsOf(Id);
  return Runs;
}

void child_fleet::list() {
  for (std::size_t Index = 0; Index < Children.size(); ++Index) {
    const fake_upstream &Listed = *Fleet.Gateway.Upstreams[Index];
    Fleet.Gateway.Store.put(
        Listed.key(),
        Listed.entryAt(Children[Index]->port(), "s", /*Draining=*/false));
  }
}

void child_fleet::unlist() {
  for (const auto &Listed : Fleet.Gateway.Upstreams)
    Fleet.Gateway.Store.erase(Listed->key());
}

void child_fleet::useRelay() {
  Fleet.links(0).setFault(proxy_fault::RefuseNew);
  for (int Sent = 0; Sent < 10; ++Sent)
    Fleet.requestTo(0, "/read/1");
  cr_assert(Fleet.requestTo(0, "/read/1").Status == 200);
}

} // namespace ebonyvale
