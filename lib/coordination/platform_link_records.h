// Reads and writes group records for the core.

#ifndef MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_RECORDS_H_
#define MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_RECORDS_H_

#include <map>
#include <optional>
#include <string>

#include "marjoramslip/coordination/worker.h"
#include "marjoramslip/core/effects.h"
#include "marjoramslip/core/group_record.h"
#include "platform_link_context.h"

namespace marjoramslip::shell {

/// Executes reads and writes of group records and posts record_written and
/// record_seen. Reads and writes do not wait for each other, nor do writes of
/// different groups. Used on the loop's thread.
class platform_records {
 public:
  explicit platform_records(platform_context& context);

  void Write(const write_record& request);
  void Read(const read_record& request);

 private:
  /// The result of a write; empty while its outcome is unknown.
  using write_result = std::optional<record_written>;

  void RunWrite(const write_record& request, worker& writer);
  void RunRead(const read_record& request);
  write_result TryWrite(const write_record& request, const std::string& key);
  /// Determines the outcome of a write from the stored record.
  write_result ResolveByRead(const write_record& request,
                             const std::string& key);

  platform_context& context_;
  worker reader_;
  /// One worker for each group, so that a write with an unknown outcome delays
  /// only the writes of its own group.
  std::map<group_id, worker> writers_;
};

/// Parses the record in the result of reading one exact key. Returns revision 0
/// if the key is absent, and nothing if the record is malformed.
std::optional<versioned_record> ParseStoredRecord(
    const kv::range_result& range);

}  // namespace marjoramslip::shell

#endif  // MARJORAMSLIP_LIB_COORDINATION_PLATFORM_LINK_RECORDS_H_
