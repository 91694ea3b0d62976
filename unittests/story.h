// Nested sections for Criterion tests, so that a test reads as a story and a
// failure names the sections that led to it.

#ifndef MARJORAMSLIP_UNITTESTS_STORY_H_
#define MARJORAMSLIP_UNITTESTS_STORY_H_

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

namespace marjoramslip::story {

/// The titles of the sections that are open now.
inline std::vector<std::string>& Titles() {
  static std::vector<std::string> titles;
  return titles;
}

/// The open sections as one line.
inline std::string Path() {
  std::string path;
  for (const std::string& title : Titles()) {
    path += path.empty() ? title : ", " + title;
  }
  return path;
}

/// Opens a section for as long as it lives.
class section {
 public:
  explicit section(std::string title) { Titles().push_back(std::move(title)); }
  ~section() { Titles().pop_back(); }
  section(const section&) = delete;
  section& operator=(const section&) = delete;
};

}  // namespace marjoramslip::story

/// A block of a test with a title; blocks nest.
#define SECTION(title) STORY_SECTION(title, __COUNTER__)
#define STORY_SECTION(title, number) STORY_SECTION_NAMED(title, number)
#define STORY_SECTION_NAMED(title, number) \
  if (const ::marjoramslip::story::section section_##number{title}; true)

/// Fails the test if the condition is false, and goes on.
#define EXPECT(condition)                                                 \
  cr_expect((condition), "%s: %s", ::marjoramslip::story::Path().c_str(), \
            #condition)

/// Fails the test if the condition is false, and ends it.
#define REQUIRE(condition)                                                \
  cr_assert((condition), "%s: %s", ::marjoramslip::story::Path().c_str(), \
            #condition)

#endif  // MARJORAMSLIP_UNITTESTS_STORY_H_
