// Tests of line splitting and of applying session state to connections.

#include <string>
#include <vector>

#include "line_splitter.h"
#include "marjoramslip/base/ids.h"
#include "marjoramslip/lines/session_state.h"
#include "plain_codec.h"
#include "story.h"

namespace marjoramslip::lines {
namespace {

std::vector<std::string> Lines(line_splitter& splitter) {
  std::vector<std::string> lines;
  while (const auto line = splitter.Next()) {
    lines.emplace_back(*line);
  }
  return lines;
}

}  // namespace

Test(lines, splits_bytes_into_lines) {
  using line_list = std::vector<std::string>;
  SECTION("received one byte at a time") {
    line_splitter splitter(100);
    line_list received;
    for (const char byte : std::string("ab c\r\n\r\nd\r\n")) {
      splitter.Add(std::span(&byte, 1));
      for (std::string& line : Lines(splitter)) {
        received.push_back(std::move(line));
      }
    }
    EXPECT((received == line_list{"ab c", "", "d"}));
    EXPECT(splitter.BufferedBytes() == 0);
  }
  SECTION("several lines at once, the last one incomplete") {
    line_splitter splitter(100);
    splitter.Add(std::string_view("a\r\nb\r\nc"));
    EXPECT((Lines(splitter) == line_list{"a", "b"}));
    splitter.Add(std::string_view("d\r\n"));
    EXPECT((Lines(splitter) == line_list{"cd"}));
  }
  SECTION("a statement or row with line feeds is not cut at them") {
    line_splitter splitter(100);
    splitter.Add(std::string_view("WRITE a b\nQUERY 2 WRITE c d\r\n\n\r\n"));
    EXPECT(
        (Lines(splitter) == line_list{"WRITE a b\nQUERY 2 WRITE c d", "\n"}));
    splitter.Add(std::string_view("\r\n\re\r\r\n\n\r\r\n"));
    EXPECT((Lines(splitter) == line_list{"", "\re\r", "\n\r"}));
    splitter.Add(std::string_view("f\n"));
    EXPECT(Lines(splitter).empty());
    EXPECT(splitter.BufferedBytes() == 2);
  }
  SECTION("a line of the maximum length may arrive with half of its end") {
    line_splitter splitter(4);
    splitter.Add(std::string_view("abcd\r"));
    EXPECT(Lines(splitter).empty());
    EXPECT(!splitter.Overflowed());
    splitter.Add(std::string_view("\n"));
    EXPECT((Lines(splitter) == line_list{"abcd"}));
    splitter.Add(std::string_view("abcd\re"));
    EXPECT(Lines(splitter).empty());
    EXPECT(splitter.Overflowed());
  }
  SECTION("no lines are returned after one that is too long") {
    line_splitter splitter(4);
    splitter.Add(std::string_view("abcd\r\nabcde"));
    EXPECT((Lines(splitter) == line_list{"abcd"}));
    EXPECT(splitter.Overflowed());
    splitter.Add(std::string_view("\r\na\r\n"));
    EXPECT(Lines(splitter).empty());
  }
  SECTION("consumed lines do not accumulate in the buffer") {
    line_splitter splitter(100);
    for (int i = 0; i < 100000; ++i) {
      splitter.Add(std::string_view("0123456789\r\n0123"));
      REQUIRE(Lines(splitter).size() == 1);
      splitter.Add(std::string_view("456789\r\n"));
      REQUIRE(Lines(splitter).size() == 1);
    }
    EXPECT(splitter.BufferedBytes() == 0);
  }
}

Test(lines, applies_session_state_to_connections) {
  const plain_codec codec;
  connection_session_state connection;
  std::string out;
  session_state first;
  session_state second;
  SECTION("an empty session sends no statements") {
    EXPECT(connection.ApplySession(first, nullptr, codec, out) == 0);
    EXPECT(out.empty());
  }
  SECTION("unchanged values are not set again") {
    first.values = {{"a", "1"}, {"b", "2"}};
    EXPECT(connection.ApplySession(first, nullptr, codec, out) == 2);
    EXPECT(out == "set a=1;set b=2;");
    out.clear();
    EXPECT(connection.ApplySession(first, nullptr, codec, out) == 0);
  }
  SECTION("a session with the same value names needs no reset") {
    second.values = {{"a", "1"}, {"b", "3"}};
    EXPECT(connection.ApplySession(second, nullptr, codec, out) == 1);
    EXPECT(out == "set b=3;");
    out.clear();
  }
  SECTION("values that the next session has not set are reset") {
    second.values = {{"b", "3"}};
    EXPECT(connection.ApplySession(second, nullptr, codec, out) == 2);
    EXPECT(out == "reset;set b=3;");
    out.clear();
  }
  SECTION("statements of the same shape are prepared once") {
    const prepared_statement read{false, "q1"};
    const prepared_statement same_read{false, "q1"};
    const prepared_statement write{true, "q1"};
    EXPECT(connection.ApplySession(second, &read, codec, out) == 1);
    EXPECT(connection.ApplySession(second, &same_read, codec, out) == 0);
    EXPECT(connection.ApplySession(second, &write, codec, out) == 1);
    EXPECT(read.SharedName() == same_read.SharedName());
    EXPECT(read.SharedName() != write.SharedName());
    // These two have the same 64-bit xxHash.
    const prepared_statement one{false, "q1 alphaof beta."};
    const prepared_statement other{false, "pgk6dykbC1XqGn{9"};
    REQUIRE(HashName(one.shape) == HashName(other.shape));
    EXPECT(one.SharedName() != other.SharedName());
    out.clear();
    SECTION("a reset requires preparing again") {
      EXPECT(connection.ApplySession(session_state{}, &read, codec, out) == 2);
      EXPECT(out == "reset;prepare " + read.SharedName() + " q1;");
    }
  }
}

}  // namespace marjoramslip::lines
