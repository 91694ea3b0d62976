// Tests the conversion of group records to and from JSON.

#include "marjoramslip/core/record_codec.h"

#include <rapidcheck.h>

#include "story.h"

namespace marjoramslip {

Test(record_codec, any_record_round_trips) {
  const bool holds = rc::check("round trip", [] {
    group_record record;
    record.term = *rc::gen::arbitrary<term_number>();
    record.primary.value = *rc::gen::arbitrary<std::uint64_t>();
    record.phase = *rc::gen::element(group_phase::kOpen, group_phase::kDraining,
                                     group_phase::kSealed);
    record.candidate.value = *rc::gen::arbitrary<std::uint64_t>();
    record.candidate_chosen = *rc::gen::arbitrary<bool>();
    record.candidate_point = {*rc::gen::arbitrary<term_number>(), ~0ULL};
    term_number term = 1;
    for (const auto step : *rc::gen::arbitrary<std::vector<std::uint8_t>>()) {
      term += step + 1U;
      record.forks.Append(
          {term, term - 1U, *rc::gen::arbitrary<log_position>()});
    }
    for (const auto id : *rc::gen::arbitrary<std::vector<std::uint64_t>>()) {
      if (record.witnesses.size() < 64) {
        record.witnesses.push_back({id});
      }
    }
    for (const auto id : *rc::gen::arbitrary<std::vector<std::uint64_t>>()) {
      if (record.unsettled.size() < 64) {
        record.unsettled.push_back({{id}, id / 2});
      }
    }
    record.writer = *rc::gen::arbitrary<std::uint64_t>();
    const auto parsed = ParseRecord(FormatRecord(record));
    RC_ASSERT(parsed.has_value());
    RC_ASSERT(parsed.value() == record);
  });
  EXPECT(holds);
}

// Guards against records that builds before unsettled promotions can't read.
Test(record_codec, no_unsettled_promotions_are_not_mentioned) {
  EXPECT(FormatRecord({}).find("unsettled") == std::string::npos);
}

Test(record_codec, malformed_records_are_rejected) {
  const std::string valid = FormatRecord({});
  EXPECT(ParseRecord(valid).has_value());
  SECTION("a truncated record, at every length") {
    for (std::size_t size = 0; size < valid.size(); ++size) {
      EXPECT(!ParseRecord(std::string_view(valid).substr(0, size)));
    }
  }
  SECTION("forks not in ascending order of term") {
    std::string text = valid;
    const std::string no_forks = "\"forks\":[]";
    const std::size_t at = text.find(no_forks);
    REQUIRE(at != std::string::npos);
    text.replace(at, no_forks.size(),
                 R"("forks":[{"term":3,"parent":2,"start":1},)"
                 R"({"term":2,"parent":1,"start":1}])");
    EXPECT(!ParseRecord(text));
  }
}

}  // namespace marjoramslip
