// Tests the codec of the platform's line protocol, the decoder of its registry
// documents and the messages of its metadata store.

#include <string>
#include <variant>

#include "line_words.h"
#include "marjoramslip/base/attempt.h"
#include "registry_documents.h"
#include "store_messages.h"
#include "story.h"

namespace marjoramslip::platform {
namespace {

using lines::endpoint_refusal;
using lines::statement_line;
using lines::statement_verb;

statement_line ParseStatement(const lines::line_codec& codec,
                              std::string_view line) {
  const lines::caller_line parsed = codec.ParseCaller(line);
  const auto* found = std::get_if<statement_line>(&parsed);
  return found == nullptr ? statement_line{} : *found;
}

}  // namespace

Test(line_words, callers) {
  const auto codec = MakePlatformLineCodec();
  SECTION("a startup line names the database and may have more words") {
    const auto line = codec->ParseCaller("STARTUP lepu270 u3f1");
    REQUIRE(std::holds_alternative<lines::startup_line>(line));
    EXPECT(std::get<lines::startup_line>(line).database == "lepu270");
    EXPECT(std::get<lines::startup_line>(line).key == "u3f1");
  }
  SECTION("a startup line without a key") {
    const auto line = codec->ParseCaller("STARTUP lepu270");
    REQUIRE(std::holds_alternative<lines::startup_line>(line));
    EXPECT(std::get<lines::startup_line>(line).key.empty());
  }
  SECTION("statements map to verbs") {
    const std::pair<const char*, statement_verb> all[] = {
        {"QUERY 1 BEGIN", statement_verb::kBegin},
        {"QUERY 1 BEGIN READ", statement_verb::kBeginRead},
        {"QUERY 1 COMMIT", statement_verb::kCommit},
        {"QUERY 1 ROLLBACK", statement_verb::kRollback},
        {"QUERY 1 READ 1a4", statement_verb::kRead},
        {"QUERY 1 WRITE 1a4 xkq pwn", statement_verb::kWrite},
        {"QUERY 1 SET a b", statement_verb::kSet},
        {"QUERY 1 PREPARE s1 WRITE q2c", statement_verb::kPrepare},
        {"QUERY 1 EXEC s1 1a4 xkq", statement_verb::kExecute},
        {"QUERY 1 DEALLOC s1", statement_verb::kDeallocate},
        {"QUERY 1 READ", statement_verb::kUnknown},
        {"QUERY 1 AFTER 3.1 READ 1a4", statement_verb::kUnknown},
        {"QUERY 1 STATUS", statement_verb::kUnknown},
        {"QUERY 1 COMMIT now", statement_verb::kUnknown},
        {"QUERY 1 PREPARE s1 TRUNCATE q", statement_verb::kUnknown},
    };
    for (const auto& [line, verb] : all) {
      cr_expect(ParseStatement(*codec, line).verb == verb, "%s", line);
    }
  }
  SECTION("statement texts are kept unchanged, including trailing spaces") {
    EXPECT(ParseStatement(*codec, "QUERY 5c WRITE 1a4 a  b ").text ==
           "WRITE 1a4 a  b ");
    EXPECT(ParseStatement(*codec, "QUERY 5c EXEC s1 1a4 a  b").value ==
           "1a4 a  b");
    EXPECT(ParseStatement(*codec, "QUERY 5c SET zone a  b").value == "a  b");
  }
  SECTION("malformed lines are rejected") {
    for (const char* line : {"", " ", "QUERY", "STARTUP", "HELLO", "query 1"}) {
      cr_expect(std::holds_alternative<lines::malformed_line>(
                    codec->ParseCaller(line)),
                "%s", line);
    }
  }
}

Test(line_words, endpoints) {
  const auto codec = MakePlatformLineCodec();
  SECTION("a READY line reports the end of the log") {
    const auto line = codec->ParseEndpoint("READY T 3.1204");
    REQUIRE(std::holds_alternative<lines::ready_line>(line));
    const auto ready = std::get<lines::ready_line>(line);
    EXPECT(ready.transaction == transaction_status::kOpen);
    EXPECT((ready.end_of_log == log_point{3, 1204}));
  }
  SECTION("error codes map to refusals") {
    const std::pair<const char*, endpoint_refusal> all[] = {
        {"ERR BUSY x", endpoint_refusal::kBusy},
        {"ERR LAGGING i-7", endpoint_refusal::kBehind},
        {"ERR READONLY i-7", endpoint_refusal::kNotWritable},
        {"ERR NOSTMT", endpoint_refusal::kUnknownStatement},
        {"ERR TOOMANY", endpoint_refusal::kTooManyConnections},
        {"ERR MISROUTED i-7", endpoint_refusal::kWrongEndpoint},
        {"ERR FAILED disk", endpoint_refusal::kFailed},
        {"ERR SOMETHING new", endpoint_refusal::kFailed},
    };
    for (const auto& [text, refusal] : all) {
      const auto line = codec->ParseEndpoint(text);
      const auto* error = std::get_if<lines::error_line>(&line);
      cr_expect(error != nullptr && error->reason == refusal, "%s", text);
    }
  }
  SECTION("the state of a replica, and of one with stopped replication") {
    const auto state = codec->ParseState("ROW replica 3 3.1209 0 12 2 17");
    REQUIRE(state.has_value());
    EXPECT(state->term == 3 && !state->replication_stopped);
    EXPECT((state->received_point == log_point{3, 1209}));
    const auto stopped = codec->ParseState("ROW replica 3 3.1209 5 12 2 17");
    REQUIRE(stopped.has_value());
    EXPECT(stopped->term == 5 && stopped->log_term == 3 &&
           stopped->replication_stopped);
    EXPECT(!codec->ParseState("ROW witness 3 3.1209 0 12 2 17"));
    EXPECT(!codec->ParseState("ROW replica 3"));
  }
  SECTION("statements to databases are formatted") {
    std::string out;
    codec->AppendStatement("5c", {}, "READ 1a4", out);
    codec->AppendStatement("5d", {3, 1207}, "READ 1a4", out);
    codec->AppendExecute("5e", {}, "w9", "1a4 x", out);
    codec->AppendStepDown(4, out);
    EXPECT(out ==
           "QUERY 5c READ 1a4\r\nQUERY 5d AFTER 3.1207 READ 1a4\r\n"
           "QUERY 5e EXEC w9 1a4 x\r\nQUERY - STEPDOWN 4\r\n");
  }
}

Test(registry_documents, configuration) {
  const auto decoder = MakeRegistryDecoder();
  const std::string text = R"({"version":7,"extra":[1],"routes":[
      {"name":"r-1","host":"lepu","type":"primary","timeoutMs":800,
       "goalMs":150,"priority":1,"service":"huvo","attempts":2},
      {"name":"r-2","host":"fiti","type":"read_your_writes","timeoutMs":900,
       "service":"huvo","maxStalenessMs":2500}],
      "services":[{"name":"huvo","maxConns":23,"protocol":"h1",
                   "syncReplicas":1},{"name":"lone","maxConns":9}],
      "limits":{"txIdleMs":3000}})";
  const auto parsed = Attempt([&] { return decoder->ParseDeclarations(text); });
  REQUIRE(static_cast<bool>(parsed));
  EXPECT(parsed->version == 7);
  EXPECT(parsed->connections.at("huvo") == 23);
  EXPECT(!parsed->services.at("huvo").term_bound);
  SECTION("promotions know how many replicas acknowledge a commit") {
    EXPECT(parsed->services.at("huvo").acknowledging_replicas == 1);
    EXPECT(parsed->services.at("lone").acknowledging_replicas == 0);
  }
  SECTION("routes are keyed by the name that callers use") {
    const route_spec& route = parsed->routes.at("fiti");
    EXPECT(route.reads == consistency::kReadYourWrites);
    EXPECT(route.max_staleness == std::chrono::milliseconds(2500));
    EXPECT(route.statement_timeout == std::chrono::milliseconds(900));
    EXPECT(parsed->routes.at("lepu").reads == consistency::kPrimary);
  }
  SECTION("unusable configurations are rejected with a reason") {
    for (const char* document :
         {"", "[]", "{}", R"({"version":"7","routes":[],"services":[]})",
          R"({"version":7,"routes":[{}],"services":[]})",
          R"({"version":7,"routes":[],"services":[{"name":"a"}]})"}) {
      const auto parsed_document =
          Attempt([&] { return decoder->ParseDeclarations(document); });
      cr_expect(parsed_document.Failed(error_kind::kInvalid), "%s", document);
      cr_expect(!parsed_document.failure.message.empty(), "%s", document);
    }
  }
}

Test(registry_documents, endpoints) {
  const auto decoder = MakeRegistryDecoder();
  const auto parse = [&](const std::string& text) {
    return Attempt(
        [&] { return decoder->ParseEndpoint("servers/i-7f3a", text); });
  };
  const std::string valid_entry =
      R"({"service":"huvo","addr":"10.128.0.9:8080","zone":"caerdydd",)"
      R"("version":"v1","slots":3,"state":"draining","coldLeftMs":0,)"
      R"("dbRole":"replica","seq":4,"born":1772497113957})";
  SECTION("each start of a database is one endpoint") {
    const auto endpoint = parse(valid_entry);
    REQUIRE(static_cast<bool>(endpoint));
    EXPECT(endpoint->service == "huvo");
    EXPECT(endpoint->spec.identity == "i-7f3a");
    EXPECT(endpoint->spec.name == "i-7f3a.1772497113957");
    EXPECT(endpoint->spec.host == "10.128.0.9" && endpoint->spec.port == 8080);
    EXPECT(endpoint->spec.leaving && endpoint->spec.slots == 3);
  }
  SECTION("unusable entries, such as those of other writers, are rejected") {
    const std::pair<const char*, const char*> changes[] = {
        {"\"draining\"", "\"asleep\""},
        {"\"draining\"", "7"},
        {"10.128.0.9:8080", "10.128.0.9"},
        {"10.128.0.9:8080", ":80"},
        {":8080", ":808080"},
        {"\"slots\":3", "\"slots\":\"3\""},
        {"\"slots\":3", "\"slots\":-3"},
        {"\"slots\":3", "\"slots\":2.5"},
        {"\"born\":1772497113957", "\"born\":null"},
        {"\"zone\"", "\"zoom\""},
        {"{", "["}};
    for (const auto& [from, to] : changes) {
      std::string text = valid_entry;
      text.replace(text.find(from), std::string(from).size(), to);
      cr_expect(!parse(text), "%s", text.c_str());
    }
    EXPECT(!parse(std::string("\xff\xfe\0x", 4)));
  }
}

// Guards against a configuration that is read as one without accounts, or with
// other keys than it has, and against keys in messages.
Test(registry_documents, accounts) {
  const auto decoder = MakeRegistryDecoder();
  const auto parse = [&](const std::string& tenants) {
    return Attempt([&] {
      return decoder->ParseDeclarations(
          R"({"version":3,"routes":[{"host":"a","service":"s",)"
          R"("type":"primary","public":true}],"services":[],)"
          R"("tenants":)" +
          tenants + "}");
    });
  };
  SECTION("names, keys and limits are read") {
    const auto read = parse(
        R"([{"name":"red","apiKeys":["k1","k2"],"ratePerS":2.5,"burst":7}])");
    REQUIRE(static_cast<bool>(read));
    EXPECT(read->accounts_in_use && read->routes.at("a").is_public);
    const client_account expected{"red", {"k1", "k2"}, 2.5, 7};
    EXPECT(read->accounts.at("red") == expected);
  }
  SECTION("an empty list means that no key is accepted") {
    const auto read = parse("[]");
    REQUIRE(static_cast<bool>(read));
    EXPECT(read->accounts_in_use && read->accounts.empty());
  }
  SECTION("an account may have lost its last key") {
    for (const char* keys : {R"("apiKeys":[],)", R"("apiKeys":null,)", ""}) {
      const auto read = parse(std::string(R"([{"name":"red",)") + keys +
                              R"("ratePerS":2,"burst":1}])");
      REQUIRE(static_cast<bool>(read));
      EXPECT(read->accounts.at("red").keys.empty());
    }
  }
  SECTION("a missing rate is no limit, a rate of 0 is one") {
    for (const char* rate : {R"("burst":1)", R"("ratePerS":null,"burst":1)"}) {
      const auto read = parse(R"([{"name":"red",)" + std::string(rate) + "}]");
      REQUIRE(static_cast<bool>(read));
      EXPECT(!read->accounts.at("red").operations_per_second.has_value());
    }
    const auto read = parse(R"([{"name":"red","ratePerS":0,"burst":3}])");
    REQUIRE(static_cast<bool>(read));
    EXPECT(read->accounts.at("red").operations_per_second == 0.0);
    EXPECT(read->accounts.at("red").burst == 3);
  }
  SECTION("null means that there are no accounts") {
    const auto read = parse("null");
    REQUIRE(static_cast<bool>(read));
    EXPECT(!read->accounts_in_use);
  }
  SECTION("malformed accounts make the configuration unusable") {
    for (const char* account :
         {R"({"apiKeys":["secret"],"ratePerS":2,"burst":1})",
          R"({"name":"","apiKeys":["secret"],"ratePerS":2,"burst":1})",
          R"({"name":"a b","apiKeys":["secret"],"ratePerS":2,"burst":1})",
          R"({"name":"a\nb","apiKeys":["secret"],"ratePerS":2,"burst":1})",
          R"({"name":"red","apiKeys":["secret",7],"ratePerS":2,"burst":1})",
          R"({"name":"red","apiKeys":"secret","ratePerS":2,"burst":1})",
          R"({"name":"red","apiKeys":["secret"],"ratePerS":"2","burst":1})",
          R"({"name":"red","apiKeys":["secret"],"ratePerS":true,"burst":1})",
          R"({"name":"red","apiKeys":["secret"],"ratePerS":-2,"burst":1})",
          R"({"name":"red","apiKeys":["secret"],"ratePerS":1e999,"burst":1})",
          R"({"name":"red","apiKeys":["secret"],"ratePerS":2})",
          R"({"name":"red","apiKeys":["secret"],"ratePerS":2,"burst":[]})",
          R"({"name":"red","apiKeys":["secret"],"ratePerS":2,"burst":1)",
          R"(["secret"])", R"("secret")"}) {
      const auto read = parse("[" + std::string(account) + "]");
      cr_expect(!read, "%s", account);
      cr_expect(read.failure.message.find("secret") == std::string::npos, "%s",
                read.failure.message.c_str());
    }
    EXPECT(!parse(R"({"red":{}})") && !parse("7"));
    const std::string twice = R"({"name":"red","ratePerS":2,"burst":1})";
    EXPECT(!parse("[" + twice + "," + twice + "]"));
  }
}

// Guards against entries of another writer that end the process or keep it from
// following the registry.
Test(registry_documents, odd_entries_are_rejected) {
  const auto decoder = MakeRegistryDecoder();
  const auto parse = [&](const std::string& text) {
    return Attempt(
        [&] { return decoder->ParseEndpoint("servers/i-7f3a", text); });
  };
  const auto entry = [](const std::string& address, const std::string& slots,
                        const std::string& born, const std::string& more) {
    return R"({"service":"huvo","addr":")" + address +
           R"(","zone":"caerdydd","state":"ready","slots":)" + slots +
           R"(,"born":)" + born + more + "}";
  };
  REQUIRE(static_cast<bool>(parse(entry("10.0.0.9:80", "3", "17", ""))));
  SECTION("numbers that no type of a field holds") {
    for (const char* number :
         {"1e999", "-1e999", "99999999999999999999999999", "1e30", "-0",
          "18446744073709551616", "-9223372036854775809", "0x10", "NaN",
          "Infinity", "1e", "00", "1.7976931348623159e308"}) {
      cr_expect(!parse(entry("10.0.0.9:80", number, "17", "")), "%s", number);
      cr_expect(!parse(entry("10.0.0.9:80", "3", number, "")), "%s", number);
      // A field that is not used may hold anything.
      (void)parse(
          entry("10.0.0.9:80", "3", "17", R"(,"seq":)" + std::string(number)));
    }
    const std::string digits(100000, '9');
    EXPECT(!parse(entry("10.0.0.9:80", digits, "17", "")));
    (void)parse(entry("10.0.0.9:80", "3", "17", R"(,"seq":)" + digits));
  }
  SECTION("ports out of range, and hosts that are no address") {
    for (const char* address :
         {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:4294967376",
          "10.0.0.9:18446744073709551696", "10.0.0.9:-80", "10.0.0.9:+80",
          "10.0.0.9: 80", "10.0.0.9:80 ", "10.0.0.9:", "10.0.0.9",
          "no-such-host:80", "10.0.0.999:80", "10.0.0.9:80:80", ":80", "",
          "[::1:80"}) {
      cr_expect(!parse(entry(address, "3", "17", "")), "%s", address);
    }
  }
  SECTION("deep nesting, wherever it stands") {
    for (const std::size_t depth : {100U, 1000U, 100000U}) {
      const std::string deep =
          std::string(depth, '[') + std::string(depth, ']');
      EXPECT(!parse(deep));
      EXPECT(!parse(entry("10.0.0.9:80", deep, "17", "")));
      (void)parse(entry("10.0.0.9:80", "3", "17", R"(,"more":)" + deep));
      EXPECT(!parse(std::string(depth, '[')));
      std::string objects;
      for (std::size_t i = 0; i < depth; ++i) {
        objects += R"({"a":)";
      }
      EXPECT(!parse(objects));
      EXPECT(!parse(objects + "1" + std::string(depth, '}')));
    }
  }
}

Test(store_messages, requests_and_answers) {
  SECTION("a transaction with a condition is formatted") {
    EXPECT(
        TransactBody({{"my/leader", 0}}, {{"my/leader", "node-1", false, 77120},
                                          {"my/old", "", true, 0}}) ==
        R"({"expect":[{"key":"my/leader","rev":0}],"setKeys":[)"
        R"({"key":"my/leader","value":"bm9kZS0x","lease":77120}],)"
        R"("remove":["my/old"]})");
  }
  SECTION("a watch response holds changes and deletions") {
    const auto batch = Attempt([] {
      return ParseBatch(
          R"({"events":[{"key":"my/leader","value":"bm9kZS0x","rev":412,)"
          R"("created":412,"lease":77120},{"key":"my/old","rev":413,)"
          R"("tombstone":true}],"storeRevision":413})");
    });
    REQUIRE(static_cast<bool>(batch));
    EXPECT(batch->revision == 413 && batch->changes.size() == 2);
    EXPECT(batch->changes[0].current_entry.value == "node-1");
    EXPECT(batch->changes[1].erased &&
           batch->changes[1].current_entry.mod_revision == 413);
  }
  SECTION("a page tells whether more pages follow") {
    const auto page = Attempt([] {
      return ParsePage(R"({"items":[],"hasMore":true,"storeRevision":530})");
    });
    REQUIRE(static_cast<bool>(page));
    EXPECT(page->has_more && page->revision == 530);
    EXPECT(!Attempt([] { return ParsePage("{\"items\":[7]}"); }));
  }
  SECTION("keys are escaped in paths") {
    EXPECT(ItemPath("a b&c") == "/api/kv-key?key=a%20b%26c");
  }
}

}  // namespace marjoramslip::platform
