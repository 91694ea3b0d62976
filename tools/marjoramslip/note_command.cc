// Applies, shows and compares release notes.

#include <Poco/UUIDGenerator.h>

#include <charconv>
#include <iostream>
#include <optional>

#include "arguments.h"
#include "commands.h"
#include "files.h"
#include "marjoramslip/base/attempt.h"
#include "marjoramslip/json/document.h"
#include "marjoramslip/kv/note_store.h"
#include "store_access.h"

namespace marjoramslip::cli {
namespace {

constexpr duration kSettlePatience = std::chrono::seconds(10);
constexpr unsigned kIndent = 2;

std::optional<std::uint64_t> ReadRevision(const std::string& text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

/// The catalogue at a revision; the newest if none is named.
result<catalogue> Find(const kv::note_store& notes,
                       std::optional<std::uint64_t> revision) {
  if (revision) {
    return notes.CatalogueAt(*revision);
  }
  BOOST_LEAF_AUTO(loaded, notes.Load());
  return std::move(loaded.value);
}

int Apply(const kv::note_store& notes, const std::string& file,
          const std::string& token) {
  auto note = ReadNoteFile(file);
  if (!note) {
    return kBadInput;
  }
  if (!token.empty()) {
    note->token = token;
  } else if (note->token.empty()) {
    note->token =
        Poco::UUIDGenerator::defaultGenerator().createRandom().toString();
  }
  const auto done =
      Attempt([&] { return notes.Accept(*note, kSettlePatience); });
  if (done) {
    std::cout << "accepted as revision " << *done << "\n";
    return kDone;
  }
  const int code = Explain(done.failure);
  if (code == kUnknown) {
    std::cerr << "apply it again with --token " << note->token
              << "; it is not accepted twice\n";
  }
  if (done.Failed(error_kind::kConflict)) {
    const auto newest = Attempt([&] { return notes.Load(); });
    if (newest) {
      std::cerr << "the newest revision is " << newest->value.revision
                << "; see: marjoramslip note diff " << note->base << " "
                << newest->value.revision << "\n";
    }
  }
  return code;
}

int Show(const kv::note_store& notes, std::optional<std::uint64_t> revision) {
  const auto found = Attempt([&] { return Find(notes, revision); });
  if (!found) {
    return Explain(found.failure);
  }
  std::cout << "// revision " << found->revision << "\n";
  for (const auto& [name, service] : found->services) {
    std::vector<json::problem> problems;
    std::cout << json::FormatDocument(
                     json::ParseDocument(FormatService(service), problems),
                     kIndent)
              << "\n";
  }
  return kDone;
}

int Print(const std::vector<std::string>& lines) {
  for (const std::string& line : lines) {
    std::cout << line << "\n";
  }
  return kDone;
}

int DiffFile(const kv::note_store& notes, const std::string& file) {
  const auto note = ReadNoteFile(file);
  if (!note) {
    return kBadInput;
  }
  const auto lines = Attempt([&]() -> result<std::vector<std::string>> {
    BOOST_LEAF_AUTO(newest, Find(notes, std::nullopt));
    BOOST_LEAF_AUTO(next, ApplyNote(newest, *note));
    return DescribeChanges(newest, next);
  });
  return lines ? Print(*lines) : Explain(lines.failure);
}

int DiffRevisions(const kv::note_store& notes, std::uint64_t from,
                  std::uint64_t to) {
  const auto lines = Attempt([&]() -> result<std::vector<std::string>> {
    BOOST_LEAF_AUTO(older, Find(notes, from));
    BOOST_LEAF_AUTO(newer, Find(notes, to));
    return DescribeChanges(older, newer);
  });
  return lines ? Print(*lines) : Explain(lines.failure);
}

int History(const kv::note_store& notes) {
  const auto found = Attempt([&] { return notes.History(); });
  if (!found) {
    return Explain(found.failure);
  }
  for (const kv::accepted_note& one : *found) {
    std::cout << one.revision << "  " << one.note.author << ": "
              << one.note.summary << "  (token " << one.note.token << ")\n";
  }
  return kDone;
}

int Diff(const kv::note_store& notes, const std::vector<std::string>& words) {
  if (words.size() == 1) {
    return DiffFile(notes, words[0]);
  }
  const auto from = ReadRevision(words[0]);
  const auto to = ReadRevision(words[1]);
  if (!from || !to) {
    return Complain(kBadInput, "note diff needs a file or two revisions");
  }
  return DiffRevisions(notes, *from, *to);
}

int Dispatch(const kv::note_store& notes, std::vector<std::string> words,
             const std::string& token) {
  const std::string verb = words[0];
  words.erase(words.begin());
  if (verb == "apply" && words.size() == 1) {
    return Apply(notes, words[0], token);
  }
  if (verb == "diff" && (words.size() == 1 || words.size() == 2)) {
    return Diff(notes, words);
  }
  if (verb == "history" && words.empty()) {
    return History(notes);
  }
  if (verb == "show" && words.empty()) {
    return Show(notes, std::nullopt);
  }
  if (verb == "show" && words.size() == 1 && ReadRevision(words[0])) {
    return Show(notes, ReadRevision(words[0]));
  }
  std::cerr << HelpFor("note");
  return kBadInput;
}

}  // namespace

int RunNote(const command_words& words) {
  store_access access;
  std::string token;
  std::vector<option> options = access.Options();
  options.push_back({.name = "token", .help = "TEXT", .text = &token});
  const arguments read = ReadArguments(words, options);
  if (!read.sound) {
    return kBadInput;
  }
  if (read.words.empty()) {
    std::cerr << HelpFor("note");
    return kBadInput;
  }
  if (!access.Open()) {
    return kBadInput;
  }
  const kv::note_store notes(access.Store(), access.Keys());
  return Dispatch(notes, read.words, token);
}

}  // namespace marjoramslip::cli
