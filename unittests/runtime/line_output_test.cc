// Tests output whose reader does not read.

#include "line_output.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>
#include <string>
#include <vector>

#include "story.h"

namespace marjoramslip::shell {
namespace {

constexpr int kLines = 20'000;

/// Both ends of a pipe or of a connection.
struct channel {
  explicit channel(bool is_pipe) {
    std::array<int, 2> ends{};
    REQUIRE((is_pipe ? pipe(ends.data())
                     : socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data())) == 0);
    reader = ends[0];
    writer = ends[1];
  }
  ~channel() {
    close(reader);
    close(writer);
  }
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;

  /// Returns the lines that can be read without waiting.
  std::vector<std::string> ReadLines() {
    REQUIRE(fcntl(reader, F_SETFL, O_NONBLOCK) == 0);
    std::array<char, 4096> buffer{};
    ssize_t got = 0;
    while ((got = read(reader, buffer.data(), buffer.size())) > 0) {
      text.append(buffer.data(), static_cast<std::size_t>(got));
    }
    std::vector<std::string> lines;
    std::size_t end = 0;
    while ((end = text.find('\n')) != std::string::npos) {
      lines.push_back(text.substr(0, end));
      text.erase(0, end + 1);
    }
    return lines;
  }

  int reader = -1;
  int writer = -1;
  std::string text;
};

std::string Line(int number) {
  return std::to_string(number) + std::string(100, '.');
}

}  // namespace

// Guards against an instance that stops when nobody reads its log.
Test(line_output, never_waits_for_its_reader, .timeout = 20) {
  for (const bool is_pipe : {true, false}) {
    channel to(is_pipe);
    std::uint64_t dropped = 0;
    {
      line_output output(to.writer);
      for (int i = 0; i < kLines; ++i) {
        output.Write(Line(i));
      }
      SECTION("lines beyond its limit are dropped and counted") {
        dropped = output.TakeDropped();
        EXPECT(dropped > 0 && dropped < kLines);
      }
      SECTION("the descriptor stays as others that share it need it") {
        EXPECT((fcntl(to.writer, F_GETFL) & O_NONBLOCK) == 0);
      }
      SECTION("the others come whole and in order once it reads") {
        std::vector<std::string> lines;
        std::vector<std::string> more = to.ReadLines();
        while (!more.empty()) {
          lines.insert(lines.end(), more.begin(), more.end());
          output.Flush();
          more = to.ReadLines();
        }
        EXPECT(lines.size() + dropped == kLines);
        for (std::size_t i = 0; i < lines.size(); ++i) {
          EXPECT(lines[i] == Line(static_cast<int>(i)));
        }
      }
      SECTION("and so does the next one") {
        EXPECT(output.Write("next"));
        EXPECT(to.ReadLines() == std::vector<std::string>{"next"});
      }
      for (int i = 0; i < kLines; ++i) {
        output.Write(Line(i));
      }
    }
    SECTION("nor when it ends") { EXPECT(!to.ReadLines().empty()); }
  }
}

Test(line_output, a_closed_reader_is_no_failure) {
  std::signal(SIGPIPE, SIG_IGN);
  channel to(true);
  line_output output(to.writer);
  close(to.reader);
  to.reader = open("/dev/null", O_RDONLY);
  for (int i = 0; i < kLines; ++i) {
    output.Write(Line(i));
  }
  EXPECT(output.TakeDropped() == 0);
}

}  // namespace marjoramslip::shell
