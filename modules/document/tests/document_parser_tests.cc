#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include "document/document.h"

namespace dotterellug {
namespace {

constexpr auto* kSalt = "00112233445566778899aabbccddeeff";
constexpr auto* kDigest =
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";

// A small valid document in the form that FormatDocument writes, in which every
// key has a value other than its default.
auto ValidTexts() -> DocumentTexts {
  DocumentTexts texts;
  texts.Set(Section::kAccounts, std::string(R"(accounts:
  - id: shop
    tokens_per_second: 1000
    burst_tokens: 4000
    weight: 3
    default_class: interactive
keys:
  - id: a1
    account: shop
    salt: )") + kSalt + "\n    digest: " +
                                    kDigest + "\n    revoked: true\n");
  texts.Set(Section::kModels, R"(models:
  - id: "null"
    version: v1
    weights: 8GiB
    kv_per_token: 64KiB
    context_tokens: 4096
    min_copies: 0
adapters:
  - id: tone
    base: "null"
    size: 40MB
)");
  texts.Set(Section::kZones, R"(zones:
  - id: a
  - id: b
    out: true
)");
  texts.Set(Section::kLimits, R"(weight_store_parallel_loads: 6
weight_store_loads_per_second: 1.6
adapter_loads_in_flight: 30
max_body: 2MB
queue_length_per_class: 50
default_deadline: 20s
batch_max_age: 5m
)");
  texts.Set(Section::kUpstreams, R"(upstreams:
  - id: e1
    kind: engine
    pool: language
    zone: a
    host: 127.0.0.1
    port: 21001
    memory: 24GiB
    accelerators: 8
    checks_fencing: true
    warm_concurrency: 16
    cold_concurrency: 4
  - id: s1
    kind: service
    pool: orders
    zone: b
    host: ::1
    port: 22001
routes:
  - name: order
    pool: orders
    open: true
    idempotent_methods: [GET, PUT]
)");
  return texts;
}

// Guards against a key that is read but not written, or written in a form that
// is not read back, which would lose it on the next edit by a tool.
TEST(DocumentParserTest, FormattingGivesTheSameTexts) {
  const auto texts = ValidTexts();
  const auto document = ParseDocument(texts);
  ASSERT_TRUE(document) << document.error().Text();
  const auto formatted = FormatDocument(*document);
  for (const auto section : kAllSections) {
    EXPECT_EQ(formatted.Get(section), texts.Get(section));
  }
}

// Guards against ids that exist as map key only and units that are dropped.
TEST(DocumentParserTest, FillsEntries) {
  const auto document = ParseDocument(ValidTexts()).value();
  const auto& upstream = document.upstreams.at(UpstreamId("e1"));
  EXPECT_EQ(upstream.id, UpstreamId("e1"));
  EXPECT_EQ(upstream.memory, Bytes(24LL << 30U));
  EXPECT_EQ(document.models.at(ModelId("null")).id, ModelId("null"));
  EXPECT_EQ(document.limits.batch_max_age, std::chrono::minutes(5));
}

// Guards against a key that the operators' page does not mention.
TEST(DocumentParserTest, OperatorsPageNamesEveryKey) {
  std::ifstream file(std::string(DOTTERELLUG_SOURCE_DIR) +
                     "/docs/operations/serving-document.md");
  const std::string page{std::istreambuf_iterator<char>(file),
                         std::istreambuf_iterator<char>()};
  for (const auto section : kAllSections) {
    std::istringstream lines(ValidTexts().Get(section));
    for (std::string line; std::getline(lines, line);) {
      const auto begin = line.find_first_not_of("- ");
      const auto key = line.substr(begin, line.find(':') - begin);
      EXPECT_NE(page.find("`" + key + "`"), std::string::npos) << key;
    }
  }
}

TEST(DocumentParserTest, EmptyTextsGiveAnEmptyDocument) {
  EXPECT_TRUE(ParseDocument(DocumentTexts{}));
}

// One edit that makes the valid document wrong, and the fault that names it.
struct FaultCase {
  std::string name;
  Section section;
  std::string from;
  std::string to;
  int line;
  std::string value;
  std::string message;
};

auto PrintTo(const FaultCase& fault_case, std::ostream* out) -> void {
  *out << fault_case.name;
}

class DocumentFaultTest : public testing::TestWithParam<FaultCase> {};

// Guards against a rule that is not applied, and against faults that name the
// wrong place.
TEST_P(DocumentFaultTest, IsReportedWithLineValueAndRemedy) {
  const auto& expected = GetParam();
  auto texts = ValidTexts();
  auto text = texts.Get(expected.section);
  const auto position = text.find(expected.from);
  ASSERT_NE(position, std::string::npos);
  text.replace(position, expected.from.size(), expected.to);
  texts.Set(expected.section, text);
  const auto document = ParseDocument(texts);
  ASSERT_FALSE(document);
  ASSERT_EQ(document.error().Total(), 1U) << document.error().Text();
  const auto& fault = document.error().Listed().front();
  EXPECT_EQ(fault.source, NameOf(expected.section));
  EXPECT_EQ(fault.line, expected.line) << fault.Text();
  EXPECT_EQ(fault.value, expected.value);
  EXPECT_NE(fault.message.find(expected.message), std::string::npos)
      << fault.Text();
  EXPECT_FALSE(fault.remedy.empty());
}

const auto kAccounts = Section::kAccounts;
const auto kModels = Section::kModels;
const auto kUpstreams = Section::kUpstreams;

INSTANTIATE_TEST_SUITE_P(
    Faults, DocumentFaultTest,
    testing::Values(
        FaultCase{"UnknownKey", kAccounts, "weight:", "wieght:", 5, "wieght",
                  "unknown key"},
        FaultCase{"UnknownTopLevelKey", Section::kZones,
                  "zones:", "zone: 1\nzones:", 1, "zone", "unknown key"},
        FaultCase{"WrongType", kAccounts, "1000", "many", 3, "many",
                  "not a whole number"},
        FaultCase{"ListForScalar", kAccounts, "1000", "[1]", 3, "",
                  "a list where a value is expected"},
        FaultCase{"MapForList", kUpstreams, "[GET, PUT]", "GET", 23, "GET",
                  "a value where a list is expected"},
        FaultCase{"QuotedNumber", kAccounts, "1000", "\"1000\"", 3, "1000",
                  "quoted"},
        FaultCase{"OutOfRange", kAccounts, "weight: 3", "weight: 0", 5, "0",
                  "out of range"},
        FaultCase{"IntegerOverflow", kAccounts, "1000", "99999999999999999999",
                  3, "99999999999999999999", "out of range"},
        FaultCase{"UnknownUnit", kModels, "8GiB", "8gigs", 4, "8gigs",
                  "not an amount of bytes"},
        FaultCase{"UnknownWord", kAccounts, "interactive", "urgent", 6,
                  "urgent", "not one of the accepted words"},
        FaultCase{"MissingKey", kAccounts, "    burst_tokens: 4000\n", "", 2,
                  "", "missing"},
        FaultCase{"SameKeyTwice", kAccounts, "    weight: 3\n",
                  "    weight: 3\n    weight: 4\n", 6, "weight", "twice"},
        FaultCase{"DuplicateId", Section::kZones, "id: b", "id: b\n  - id: a",
                  4, "a", "duplicate name; line 2"},
        FaultCase{"InvalidId", Section::kZones, "id: b", "id: b/c", 3, "b/c",
                  "not a valid name"},
        FaultCase{"UnresolvedAccount", kAccounts, "account: shop",
                  "account: shpo", 9, "shpo", "no such client account"},
        FaultCase{"UnresolvedZone", kUpstreams, "zone: b", "zone: c", 16, "c",
                  "no such availability zone"},
        FaultCase{"AdapterWithoutBase", kModels, "base: \"null\"", "base: none",
                  10, "none", "adapter without base"},
        FaultCase{"RouteWithoutPool", kUpstreams,
                  "  - name: order\n    pool: o",
                  "  - name: order\n    pool: p", 21, "prders", "no upstream"},
        FaultCase{"RouteToEngines", kUpstreams,
                  "  - name: order\n    pool: orders",
                  "  - name: order\n    pool: language", 21, "language",
                  "consists of engines"},
        FaultCase{"MixedPool", kUpstreams, "routes:\n",
                  "  - id: x\n    kind: service\n    pool: language\n"
                  "    zone: a\n    host: 127.0.0.1\n    port: 9\nroutes:\n",
                  21, "language", "mixes engines and services"},
        FaultCase{"SameAddress", kUpstreams, "host: ::1\n    port: 22001",
                  "host: 127.0.0.1\n    port: 21001", 18, "127.0.0.1:21001",
                  "same address"},
        FaultCase{"HostName", kUpstreams, "::1", "localhost", 17, "localhost",
                  "not an IP address"},
        FaultCase{"MemoryOfService", kUpstreams, "port: 22001",
                  "port: 22001\n    memory: 1GiB", 19, "",
                  "a service has no such property"},
        FaultCase{"TooLargeModel", kModels, "8GiB", "32GiB", 4, "32GiB",
                  "larger than the memory of any engine"},
        FaultCase{"TooLargeContext", kModels, "4096", "400000", 6, "400000",
                  "exceed the memory of any engine"},
        FaultCase{"TooLargeAdapter", kModels, "40MB", "20GiB", 11, "20GiB",
                  "base and adapter together"},
        FaultCase{"TooManyCopies", kModels, "min_copies: 0", "min_copies: 2", 7,
                  "2", "only 1 engines"},
        FaultCase{"AdapterNamedAsModel", kModels, "id: tone", "id: \"null\"", 9,
                  "null", "have the same name"},
        FaultCase{"AllZonesOut", Section::kZones, "id: a",
                  "id: a\n    out: true", 3, "true",
                  "every availability zone is out"},
        FaultCase{"BurstBelowRate", kAccounts, "4000", "999", 4, "999",
                  "burst is below the rate"},
        FaultCase{"MethodTwice", kUpstreams, "[GET, PUT]", "[GET, GET]", 23,
                  "GET", "listed twice"},
        FaultCase{"BatchAge", Section::kLimits, "5m", "5s", 7, "5s",
                  "below default_deadline"},
        FaultCase{"ColdAboveWarm", kUpstreams, "cold_concurrency: 4",
                  "cold_concurrency: 17", 12, "17", "above warm_concurrency"},
        FaultCase{"Alias", Section::kZones, "id: a", "id: &x a", 2, "",
                  "anchors are not supported"},
        FaultCase{"Tag", Section::kZones, "id: a", "id: !t a", 2, "",
                  "not supported"},
        FaultCase{"Syntax", Section::kZones, "id: a", "id: [a", 3, "",
                  "not valid YAML"},
        FaultCase{"SecondText", Section::kZones, "zones:", "zones:\n---", 0, "",
                  "more than one YAML document"}),
    [](const auto& info) { return info.param.name; });

// Guards against a report that stops at the first fault, so that an operator
// needs one attempt per fault.
TEST(DocumentParserTest, ListsFaultsOfAllSections) {
  auto texts = ValidTexts();
  texts.Set(Section::kZones, "zones:\n  - id: [\n");
  texts.Set(Section::kLimits, "max_body: 1\nqueue_length_per_class: x\n");
  const auto document = ParseDocument(texts);
  ASSERT_FALSE(document);
  ASSERT_EQ(document.error().Total(), 3U) << document.error().Text();
  EXPECT_EQ(document.error().Listed()[0].source, "limits");
  EXPECT_EQ(document.error().Listed()[2].source, "zones");
}

// Guards against a third valid key of an account, which nobody rotates.
TEST(DocumentParserTest, RejectsThirdValidKey) {
  auto document = ParseDocument(ValidTexts()).value();
  for (const auto* id : {"b1", "b2", "b3"}) {
    auto key = document.keys.at(KeyId("a1"));
    key.id = KeyId(id);
    key.revoked = false;
    document.keys.emplace(key.id, key);
  }
  EXPECT_EQ(Validate(document).Total(), 1U);
}

// Guards against resource use beyond the stated bounds.
TEST(DocumentParserTest, RejectsTextsBeyondTheBounds) {
  const auto first_message = [](std::string text) {
    DocumentTexts texts;
    texts.Set(Section::kZones, std::move(text));
    const auto document = ParseDocument(texts);
    return document ? std::string() : document.error().Listed().front().message;
  };
  EXPECT_NE(first_message("zones: " + std::string(50'000, '['))
                .find("nesting deeper"),
            std::string::npos);
  EXPECT_NE(
      first_message("zones: " + std::string(kSectionLimits.max_bytes, 'x'))
          .find("bytes"),
      std::string::npos);
  EXPECT_NE(first_message("zones: " + std::string(5000, 'x')).find("bytes"),
            std::string::npos);
}

}  // namespace
}  // namespace dotterellug
