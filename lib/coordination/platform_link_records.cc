// Writes group records by compare-and-swap and resolves lost responses.

#include "platform_link_records.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "marjoramslip/core/record_codec.h"

namespace marjoramslip::shell {
namespace {

/// How long a write is retried before its outcome is reported as unknown.
constexpr duration kWriteTimeout = std::chrono::seconds(2);
constexpr duration kMinRetryPause = std::chrono::milliseconds(10);
constexpr duration kMaxRetryPause = std::chrono::milliseconds(200);

}  // namespace

std::optional<versioned_record> ParseStoredRecord(
    const kv::range_result& range) {
  if (range.entries.empty()) {
    return versioned_record{};
  }
  const kv::entry& stored = range.entries[0];
  auto record = Attempt([&] { return ParseRecord(stored.value); });
  if (!record) {
    return std::nullopt;
  }
  return versioned_record{std::move(*record.got), stored.mod_revision};
}

platform_records::platform_records(platform_context& context)
    : context_(context) {}

void platform_records::Write(const write_record& request) {
  worker& writer = writers_[request.group];
  writer.Post([this, &writer, request] { RunWrite(request, writer); });
}

void platform_records::Read(const read_record& request) {
  reader_.Post([this, request] { RunRead(request); });
}

platform_records::write_result platform_records::TryWrite(
    const write_record& request, const std::string& key) {
  const auto written = Attempt([&] {
    return context_.Store().Transact(
        {{key, request.expected_revision}},
        {{key, FormatRecord(request.record), false, 0}});
  });
  context_.RecordCallResult(written);
  if (written) {
    return record_written{request.operation, request.group,
                          write_outcome::kApplied, *written};
  }
  return ResolveByRead(request, key);
}

platform_records::write_result platform_records::ResolveByRead(
    const write_record& request, const std::string& key) {
  const auto range_read =
      Attempt([&] { return context_.Store().Range(key, true); });
  if (!range_read) {
    return std::nullopt;
  }
  const std::optional<versioned_record> stored = ParseStoredRecord(*range_read);
  if (stored && stored->revision != 0 &&
      stored->record.writer == request.record.writer) {
    return record_written{request.operation, request.group,
                          write_outcome::kApplied, stored->revision};
  }
  const std::uint64_t revision =
      range_read->entries.empty() ? 0 : range_read->entries[0].mod_revision;
  if (revision == request.expected_revision) {
    return std::nullopt;
  }
  if (stored) {
    context_.Post(record_seen{request.group, *stored});
  }
  return record_written{request.operation, request.group,
                        write_outcome::kConflict, 0};
}

void platform_records::RunWrite(const write_record& request, worker& writer) {
  const std::optional<std::string> name = context_.GroupName(request.group);
  if (!name) {
    // Nothing was written, because no catalogue names this group yet.
    context_.Post(record_written{request.operation, request.group,
                                 write_outcome::kConflict, 0});
    return;
  }
  const std::string key = context_.Keys().Group(*name);
  const auto deadline = std::chrono::steady_clock::now() + kWriteTimeout;
  duration pause = kMinRetryPause;
  while (true) {
    // A retry is safe, because the condition on the revision lets the write
    // take effect only once.
    const write_result outcome = TryWrite(request, key);
    if (outcome) {
      context_.Post(*outcome);
      return;
    }
    const bool expired = std::chrono::steady_clock::now() + pause > deadline;
    if (expired || !writer.Pause(pause)) {
      break;
    }
    pause = std::min(pause * 2, kMaxRetryPause);
  }
  context_.Post(record_written{request.operation, request.group,
                               write_outcome::kUnknown, 0});
}

void platform_records::RunRead(const read_record& request) {
  const std::optional<std::string> name = context_.GroupName(request.group);
  if (!name) {
    return;
  }
  const auto range_read = Attempt([&] {
    return context_.Store().Range(context_.Keys().Group(*name), true);
  });
  context_.RecordCallResult(range_read);
  if (!range_read) {
    return;
  }
  const std::optional<versioned_record> record = ParseStoredRecord(*range_read);
  if (record) {
    context_.Post(record_seen{request.group, *record});
  }
}

}  // namespace marjoramslip::shell
