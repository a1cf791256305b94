#include "siskindeal/error.h"
#include "siskindeal/fleet_config.h"
#include "siskindeal/operators.h"

#include "support/fake_platform.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace siskindeal {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* kTargetJson =
  R"({"name":"sunday","class":"chat","vms":3})";

struct Response
{
  int m_status = 0;
  HttpHeaders m_headers;
  Json m_body;
};

// Stores the single response that it receives.
class CapturingResponder final : public HttpResponder
{
public:
  void Respond(int aStatus, HttpHeaders aHeaders, std::string aBody) override
  {
    ASSERT_FALSE(m_response) << "more than one response";
    m_response = { aStatus, std::move(aHeaders), Json::parse(aBody) };
  }
  void BeginStream(int, HttpHeaders) override { FAIL(); }
  bool Write(std::string_view) override { return false; }
  void EndStream() override {}
  void Abort() override {}
  void OnDisconnect(std::function<void()>) override {}

  std::optional<Response> m_response;
};

class Operators : public testing::Test
{
protected:
  static AuthSettings Auth()
  {
    return { "new",
             { { "old", "old-secret-of-16" }, { "new", "new-secret-of-16" } } };
  }

  OperatorView View()
  {
    OperatorView view;
    view.m_statusOf = [](const std::string&) { return std::nullopt; };
    view.m_allStatus = [] { return std::vector<TargetStatus>{}; };
    view.m_targets = [this] { return m_targets; };
    view.m_configInForce = [] {
      return std::vector<ConfigInForce>{ { "e1", "kingston", 4, true },
                                         { "e2", "montego", 3, false } };
    };
    view.m_quarantine = [] {
      return std::vector<QuarantineEntry>{ { 0xab, "chat", 2, true } };
    };
    view.m_release = [](std::uint64_t aFingerprint) {
      return aFingerprint == 0xab;
    };
    view.m_checkConfig = [](const std::string& aJson) {
      if (!Json::accept(aJson)) {
        throw Error(Reason::BadRequest, Verdict::NotRun, "services: expected");
      }
    };
    view.m_checkClass = [](const std::string& aClass) {
      if (aClass != "chat") {
        throw Error(Reason::BadRequest, Verdict::NotRun, "class: unknown");
      }
    };
    return view;
  }

  HttpRequest Request(const std::string& aMethod,
                      const std::string& aPath,
                      const HttpHeaders& aQuery = {},
                      const std::string& aBody = "",
                      const std::string& aChangeId = "")
  {
    HttpRequest request;
    request.m_method = aMethod;
    request.m_path = aPath;
    request.m_query = aQuery;
    request.m_body = aBody;
    if (!aBody.empty()) {
      request.m_headers["content-type"] = "application/json";
    }
    if (!aChangeId.empty()) {
      request.m_headers[std::string(kChangeIdHeader)] = aChangeId;
    }
    request.m_headers[std::string(kOperatorAuthHeader)] = SignOperatorCall(
      Auth(), aMethod, SignedPath(aPath, aQuery), aBody, m_clock.WallNow());
    return request;
  }

  Response Call(const HttpRequest& aRequest)
  {
    auto responder = std::make_shared<CapturingResponder>();
    m_api.Handle(aRequest, responder);
    constexpr int kMaxSteps = 2000;
    for (int step = 0; step < kMaxSteps && !responder->m_response; ++step) {
      m_platform.Advance(milliseconds(10));
    }
    EXPECT_TRUE(responder->m_response) << "no response";
    return responder->m_response.value_or(Response{});
  }

  Response PutTarget(const std::string& aExpect,
                     const std::string& aChangeId = "")
  {
    return Call(Request("PUT",
                        "/v1/operator/targets/sunday",
                        { { "expect", aExpect } },
                        kTargetJson,
                        aChangeId));
  }

  ManualClock m_clock;
  FakePlatform m_platform{ m_clock, 1 };
  std::vector<TargetSpec> m_targets;
  OperatorApi m_api{ m_platform, m_clock, Auth(), View() };
};

TEST_F(Operators, CreatesReadsRevisesAndDeletesTarget)
{
  const Response created = PutTarget("0");
  ASSERT_EQ(created.m_status, 200) << created.m_body;
  const std::uint64_t version = created.m_body.at("version");
  const Response read = Call(Request("GET", "/v1/operator/targets/sunday"));
  EXPECT_EQ(read.m_body.at("target").at("vms"), 3);
  EXPECT_EQ(read.m_body.at("target").at("version"), version);
  EXPECT_EQ(read.m_body.at("change_id"), created.m_body.at("change_id"));

  const Response revised = PutTarget(std::to_string(version));
  EXPECT_EQ(revised.m_status, 200);
  const HttpHeaders current = { { "expect",
                                  revised.m_body.at("version").dump() } };
  EXPECT_EQ(
    Call(Request("DELETE", "/v1/operator/targets/sunday", current)).m_status,
    200);
  EXPECT_EQ(Call(Request("GET", "/v1/operator/targets/sunday")).m_status, 404);
}

TEST_F(Operators, ConflictShowsBothChanges)
{
  const std::uint64_t version = PutTarget("0", "first").m_body.at("version");
  ASSERT_EQ(PutTarget(std::to_string(version), "second").m_status, 200);
  const Response conflict = PutTarget(std::to_string(version), "third");
  EXPECT_EQ(conflict.m_status, 409);
  EXPECT_EQ(conflict.m_body.at("error").at("reason"), "conflict");
  EXPECT_EQ(conflict.m_body.at("error").at("verdict"), "not run");
  EXPECT_EQ(conflict.m_body.at("yours").at("change_id"), "third");
  EXPECT_EQ(conflict.m_body.at("current").at("change_id"), "second");
  EXPECT_EQ(conflict.m_body.at("current").at("value").at("name"), "sunday");
}

TEST_F(Operators, RepeatedChangeIdIsIdempotent)
{
  const Response first = PutTarget("0", "same");
  const Response second = PutTarget("0", "same");
  EXPECT_EQ(second.m_status, 200);
  EXPECT_EQ(second.m_body.at("version"), first.m_body.at("version"));
}

// Requests and responses to the platform are dropped at random. A 200 must mean
// that the change took effect; any other response must have the verdict "may
// have run".
TEST_F(Operators, ResolvesLostResponseByChangeId)
{
  m_platform.Faults().m_lostAnswers = 0.4;
  m_platform.Faults().m_lostRequests = 0.3;
  int unknown = 0;
  constexpr int kRounds = 300;
  for (int round = 0; round < kRounds; ++round) {
    const PlatformObject before = m_platform.Stored("targets/sunday");
    const bool exists = before.m_version != 0 && !before.m_deleted;
    const std::string id = "change-" + std::to_string(round);
    const std::string expect = std::to_string(exists ? before.m_version : 0);
    const bool isDelete = exists && round % 3 == 2;
    const Response response = isDelete
                                ? Call(Request("DELETE",
                                               "/v1/operator/targets/sunday",
                                               { { "expect", expect } },
                                               "",
                                               id))
                                : PutTarget(expect, id);
    const PlatformObject after = m_platform.Stored("targets/sunday");
    const bool tookEffect = after.m_changeId == id;
    if (response.m_status == 200) {
      EXPECT_TRUE(tookEffect) << id;
      continue;
    }
    ++unknown;
    EXPECT_EQ(response.m_body.at("error").at("verdict"), "may have run");
  }
  EXPECT_LT(unknown, kRounds / 4);
}

TEST_F(Operators, OutageRejectsWritesAndServesLastKnownState)
{
  m_targets = { ParseTarget(kTargetJson, 9) };
  m_platform.Faults().m_outage = true;
  const Response rejected = PutTarget("9");
  EXPECT_EQ(rejected.m_status, 503);
  EXPECT_EQ(rejected.m_body.at("error").at("verdict"), "not run");
  EXPECT_EQ(rejected.m_headers.count("retry-after"), 1u);
  const Response read = Call(Request("GET", "/v1/operator/targets/sunday"));
  EXPECT_EQ(read.m_status, 200);
  EXPECT_EQ(read.m_body.at("as_last_known"), true);
  EXPECT_EQ(read.m_body.at("target").at("version"), 9);
  const Response all = Call(Request("GET", "/v1/operator/targets"));
  EXPECT_EQ(all.m_body.at("targets").at(0).at("name"), "sunday");
}

TEST_F(Operators, ValidatesConfigurationBeforeWriting)
{
  const HttpHeaders create = { { "expect", "0" } };
  const Response bad =
    Call(Request("PUT", "/v1/operator/config", create, "{\"services\":"));
  EXPECT_EQ(bad.m_status, 400);
  EXPECT_EQ(m_platform.Stored(kConfigKey).m_version, 0u);
  const Response good =
    Call(Request("PUT", "/v1/operator/config", create, R"({"services":{}})"));
  EXPECT_EQ(good.m_status, 200);
  const Response read = Call(Request("GET", "/v1/operator/config"));
  EXPECT_EQ(read.m_body.at("value"), Json({ { "services", Json::object() } }));
  const Response status = Call(Request("GET", "/v1/operator/config/status"));
  EXPECT_EQ(status.m_body.at("newest"), 4);
  EXPECT_EQ(status.m_body.at("processes").at(1).at("reachable"), false);
}

TEST_F(Operators, ListsAndReleasesQuarantine)
{
  const Response list = Call(Request("GET", "/v1/operator/quarantine"));
  const Json entry = list.m_body.at("fingerprints").at(0);
  EXPECT_EQ(entry.at("fingerprint"), "00000000000000ab");
  const auto release = [&](const std::string& aFingerprint) {
    return Call(Request("DELETE", "/v1/operator/quarantine/" + aFingerprint))
      .m_status;
  };
  EXPECT_EQ(release("00000000000000ab"), 200);
  EXPECT_EQ(release("00000000000000ac"), 404);
  EXPECT_EQ(release("ab"), 400);
}

TEST_F(Operators, InvalidCallsChangeNothing)
{
  const HttpHeaders create = { { "expect", "0" } };
  const std::string path = "/v1/operator/targets/sunday";
  struct Case
  {
    HttpRequest m_request;
    int m_status;
  };
  std::vector<Case> cases = {
    { Request("PUT", path, {}, kTargetJson), 400 },
    { Request("PUT", path, { { "expect", "x" } }, kTargetJson), 400 },
    { Request("PUT", path, create, kTargetJson, "bad id"), 400 },
    { Request("PUT", path, create, "{"), 400 },
    { Request("PUT", "/v1/operator/targets/other", create, kTargetJson), 400 },
    { Request(
        "PUT", path, create, R"({"name":"sunday","class":"none","vms":1})"),
      400 },
    { Request("POST", path, create, kTargetJson), 404 },
    { Request("GET", "/v1/operator/nothing"), 404 },
    { Request("GET", path), 404 },
    { Request("DELETE", path, { { "expect", "3" } }), 409 },
  };
  for (const char* type : { "", "text/plain", "application/jsonp" }) {
    HttpRequest request = Request("PUT", path, create, kTargetJson);
    request.m_headers["content-type"] = type;
    cases.push_back({ request, 400 });
  }
  for (const Case& bad : cases) {
    const Response response = Call(bad.m_request);
    EXPECT_EQ(response.m_status, bad.m_status) << response.m_body;
    EXPECT_EQ(response.m_body.at("error").at("verdict"), "not run");
    EXPECT_EQ(m_platform.Stored("targets/sunday").m_version, 0u);
  }
}

TEST_F(Operators, RejectsInvalidSignatures)
{
  const std::string path = "/v1/operator/targets";
  const std::string header(kOperatorAuthHeader);
  EXPECT_EQ(Call(Request("GET", path)).m_status, 200);

  const auto status = [&](const std::string& aSignature) {
    HttpRequest request = Request("GET", path);
    request.m_headers[header] = aSignature;
    return Call(request).m_status;
  };
  const std::string good = Request("GET", path).m_headers.at(header);
  const auto now = m_clock.WallNow();
  const auto signedAt = [&](const AuthSettings& aAuth, WallTime aTime) {
    return SignOperatorCall(aAuth, "GET", path, "", aTime);
  };
  AuthSettings old = Auth();
  old.m_activeKey = "old";
  EXPECT_EQ(status(signedAt(old, now)), 200);
  EXPECT_EQ(status(signedAt(Auth(), now - std::chrono::minutes(4))), 200);
  EXPECT_EQ(status(signedAt(Auth(), now + std::chrono::minutes(4))), 200);

  const AuthSettings other = { "new", { { "new", "another-secret-16" } } };
  const AuthSettings unlisted = { "x", { { "x", "new-secret-of-16" } } };
  const std::vector<std::string> rejected = {
    "",
    "new",
    "new:1",
    "::",
    "new:99999999999999999999:00",
    "new:-5:" + std::string(64, '0'),
    good + "0",
    good.substr(0, good.size() - 1),
    signedAt(other, now),
    signedAt(unlisted, now),
    signedAt(Auth(), now - std::chrono::minutes(6)),
    signedAt(Auth(), now + std::chrono::minutes(6)),
    SignOperatorCall(Auth(), "PUT", path, "", now),
    SignOperatorCall(Auth(), "GET", path + "/x", "", now),
    SignOperatorCall(Auth(), "GET", path + "?expect=1", "", now),
    SignOperatorCall(Auth(), "GET", path, "body", now),
  };
  for (const std::string& signature : rejected) {
    EXPECT_EQ(status(signature), 401) << signature;
  }
}

} // namespace

} // namespace siskindeal
