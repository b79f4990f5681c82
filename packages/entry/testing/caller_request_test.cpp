#include "entry/caller_request.h"

#include <gtest/gtest.h>

#include "base/hashing.h"
#include "coordination/testing/configuration_records.h"
#include "entry/key_text.h"

namespace mustardline {
namespace {

constexpr std::string_view keySecret = "secret";
constexpr std::string_view chatBody
    = R"({"model":"m1","messages":[{"role":"user","content":"hello"}],"stream":true})";

// A configuration with two accounts, one key for each, a model route and two service routes, one of
// them open.
class CallerRequestTest : public testing::Test
{
protected:
    CallerRequestTest()
    {
        v1::Entity entity;
        for (const auto *id : {"quick", "long"}) {
            auto &requestClass = *entity.mutable_request_class();
            requestClass.set_id(id);
            requestClass.set_deadline_ms(5000);
            requestClass.set_first_token_ms(700);
            add(entity);
        }
        for (const auto *id : {"a", "b"}) {
            auto &account = *entity.mutable_client_account();
            account.Clear();
            account.set_id(id);
            account.set_tier(2);
            account.add_classes("quick");
            add(entity);
            m_keys.push_back(makeKeyText());
            auto &key = *entity.mutable_key();
            key.Clear();
            key.set_id(std::string(*keyIdOf(m_keys.back())));
            key.set_client_account(id);
            key.set_hash(keyedHash(keySecret, m_keys.back()));
            add(entity);
        }
        auto &model = *entity.mutable_route();
        model.Clear();
        model.set_id("/v1/chat/completions");
        model.set_kind(v1::ROUTE_KIND_MODEL);
        model.set_idempotent(true);
        add(entity);
        auto &service = *entity.mutable_route();
        service.Clear();
        service.set_id("/services/orders/");
        service.set_kind(v1::ROUTE_KIND_SERVICE);
        service.set_service("orders");
        add(entity);
        auto &open = *entity.mutable_route();
        open.Clear();
        open.set_id("/services/orders/open/");
        open.set_kind(v1::ROUTE_KIND_SERVICE);
        open.set_service("orders");
        open.set_open(true);
        open.set_open_client_account("b");
        add(entity);
    }

    auto add(const v1::Entity &entity, std::uint64_t base = 0) -> void
    {
        const auto id = std::to_string(++m_sequence);
        m_config.apply(m_sequence, changeOf({{.entity = entity, .base = base}},
                                            {.changeId = id, .sequence = m_sequence}));
        ASSERT_EQ(m_config.decision(id)->code, result_code::ok);
    }

    auto read(std::string_view path, std::vector<http_header> headers, std::string_view body,
              std::string_view query = "", std::string_view method = "POST") const
        -> result<caller_request>
    {
        return readCallerRequest(
            {.method = method, .path = path, .query = query, .headers = headers, .body = body},
            m_config, keySecret);
    }

    auto codeOf(const result<caller_request> &outcome) const -> result_code
    {
        const auto *failure = failed(outcome);
        return failure == nullptr ? result_code::ok : failure->code;
    }

    auto bearer(std::size_t account) const -> http_header
    {
        return {.name = "Authorization", .value = "Bearer " + m_keys[account]};
    }

    configuration m_config;
    std::vector<std::string> m_keys;
    std::uint64_t m_sequence = 0;
};

TEST_F(CallerRequestTest, parsesAChatRequest)
{
    const auto outcome = read("/v1/chat/completions", {bearer(0)}, chatBody);
    ASSERT_EQ(codeOf(outcome), result_code::ok);
    const auto &request = std::get<caller_request>(outcome);
    EXPECT_EQ(request.clientAccount, "a");
    EXPECT_EQ(request.requestClass, "quick");
    EXPECT_EQ(request.target, "m1");
    EXPECT_TRUE(request.streamed);
    EXPECT_TRUE(request.idempotent);
    EXPECT_EQ(request.deadline, std::chrono::seconds(5));
}

TEST_F(CallerRequestTest, rejectsInvalidRequestsWithTheirResultCode)
{
    const auto ok = bearer(0);
    const std::string chat = "/v1/chat/completions";
    EXPECT_EQ(codeOf(read("/nowhere", {ok}, chatBody)), result_code::not_found);
    EXPECT_EQ(codeOf(read(chat, {}, chatBody)), result_code::unauthenticated);
    EXPECT_EQ(codeOf(read(chat, {{.name = "authorization", .value = "Bearer x"}}, chatBody)),
              result_code::unauthenticated);
    auto forged = bearer(0);
    forged.value.back() = forged.value.back() == '0' ? '1' : '0';
    EXPECT_EQ(codeOf(read(chat, {forged}, chatBody)), result_code::unauthenticated);
    EXPECT_EQ(codeOf(read(chat, {ok}, "{")), result_code::malformed_json);
    EXPECT_EQ(codeOf(read(chat, {ok}, "[]")), result_code::bad_request);
    EXPECT_EQ(codeOf(read(chat, {ok}, R"({"model":1,"messages":[]})")), result_code::bad_request);
    EXPECT_EQ(codeOf(read(chat, {ok}, R"({"model":"m"})")), result_code::bad_request);
    EXPECT_EQ(codeOf(read(chat, {ok}, R"({"model":"m","messages":[],"stream":1})")),
              result_code::bad_request);
    EXPECT_EQ(codeOf(read(chat, {ok}, chatBody, "", "GET")), result_code::method_not_allowed);
    EXPECT_EQ(codeOf(read(chat, {ok, {.name = "mustardline-class", .value = "long"}}, chatBody)),
              result_code::forbidden);
    EXPECT_EQ(
        codeOf(read(chat, {ok, {.name = "mustardline-deadline-ms", .value = "-1"}}, chatBody)),
        result_code::bad_request);
}

TEST_F(CallerRequestTest, withdrawnKeyIsRejectedAsWithdrawn)
{
    const auto id = std::string(*keyIdOf(m_keys[0]));
    auto entity = m_config.find(v1::ENTITY_KIND_KEY, id)->entity();
    const auto revision = m_config.find(v1::ENTITY_KIND_KEY, id)->revision();
    entity.mutable_key()->set_withdrawn(true);
    add(entity, revision);
    EXPECT_EQ(codeOf(read("/v1/chat/completions", {bearer(0)}, chatBody)),
              result_code::key_withdrawn);
    EXPECT_EQ(codeOf(read("/v1/chat/completions", {bearer(1)}, chatBody)), result_code::ok);
}

TEST_F(CallerRequestTest, p3RequestRunsOnlyForTheAccountOfTheKey)
{
    for (std::size_t account = 0; account < m_keys.size(); ++account) {
        const auto outcome = read("/services/orders/x",
                                  {bearer(account),
                                   {.name = "mustardline-account", .value = "b"},
                                   {.name = "mustardline-tier", .value = "1"}},
                                  "");
        ASSERT_EQ(codeOf(outcome), result_code::ok);
        EXPECT_EQ(std::get<caller_request>(outcome).clientAccount, account == 0 ? "a" : "b");
        EXPECT_EQ(std::get<caller_request>(outcome).tier, 2U);
    }
    const auto open = read("/services/orders/open/x", {bearer(0)}, "");
    ASSERT_EQ(codeOf(open), result_code::ok);
    EXPECT_EQ(std::get<caller_request>(open).clientAccount, "b");
}

TEST_F(CallerRequestTest, p4NoKeyIsForwardedToAnEndpoint)
{
    const auto key = m_keys[0];
    auto escaped = std::string("\\u006d") + key.substr(1);
    const auto body = R"({"model":"m1","messages":[")" + key + R"(",")" + escaped
                      + R"("],"api_key":")" + key + R"("})";
    const auto outcome = read("/v1/chat/completions",
                              {bearer(0),
                               {.name = "x-api-key", .value = key},
                               {.name = "Cookie", .value = key},
                               {.name = "accept", .value = key}},
                              body, "key=" + key);
    ASSERT_EQ(codeOf(outcome), result_code::ok);
    const auto &request = std::get<caller_request>(outcome);
    EXPECT_FALSE(holdsKey(request.path));
    EXPECT_FALSE(holdsKey(request.body));
    for (const auto &item : request.headers) {
        EXPECT_TRUE(item.name == "accept" || item.name == "content-type") << item.name;
        EXPECT_FALSE(holdsKey(item.value));
    }
    // A request with a key behind percent escapes is rejected, not rewritten.
    const auto hidden = "key=%6d" + key.substr(1);
    EXPECT_EQ(codeOf(read("/services/orders/x", {bearer(0)}, "", hidden)),
              result_code::bad_request);
    EXPECT_EQ(codeOf(read("/services/orders/x", {bearer(0)}, hidden)), result_code::bad_request);
    EXPECT_EQ(codeOf(read("/services/orders/x",
                          {bearer(0), {.name = "idempotency-key", .value = key}}, "")),
              result_code::bad_request);
}

} // namespace
} // namespace mustardline
