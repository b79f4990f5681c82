#include "coordination/testing/configuration_records.h"

#include <gtest/gtest.h>

#include "coordination/configuration_rules.h"

namespace mustardline {
namespace {

// Applies changes at consecutive offsets, with the offset as the writer's sequence.
class ConfigurationTest : public testing::Test
{
protected:
    auto applyChange(const std::vector<change_item> &items, std::uint64_t baseOffset = 0)
        -> result_code
    {
        ++m_offset;
        const auto changeId = fmt::format("c{}", m_offset);
        m_config.apply(m_offset, changeOf(items, {.changeId = changeId,
                                                  .sequence = m_offset,
                                                  .baseOffset = baseOffset}));
        return m_config.decision(changeId)->code;
    }
    auto skipTo(std::uint64_t offset) -> void
    {
        m_offset = offset;
        m_config.apply(offset, {});
    }

    std::uint64_t m_offset = 0;
    configuration m_config{{.recordLifetime = 2'000, .maxDecisions = 4}};
};

TEST_F(ConfigurationTest, acceptsTheFirstOfConflictingChanges)
{
    EXPECT_EQ(applyChange({{.entity = dataCentreOf("tuzla")}}), result_code::ok);
    EXPECT_EQ(applyChange({{.entity = dataCentreOf("tuzla", true), .base = 1}}), result_code::ok);
    EXPECT_EQ(applyChange({{.entity = dataCentreOf("tuzla", false), .base = 1}}),
              result_code::conflict);
    EXPECT_TRUE(m_config.dataCentre("tuzla")->out());
    EXPECT_EQ(m_config.find(v1::ENTITY_KIND_DATA_CENTRE, "tuzla")->revision(), 2);
}

TEST_F(ConfigurationTest, appliesAChangeCompletelyOrNotAtAll)
{
    EXPECT_EQ(applyChange({{.entity = dataCentreOf("tuzla")}, {.entity = keyOf("k", "nobody")}}),
              result_code::invalid_entity);
    EXPECT_EQ(m_config.dataCentre("tuzla"), nullptr);
    EXPECT_EQ(applyChange({{.entity = keyOf("k", "a")},
                           {.entity = accountOf("a", {"c"})},
                           {.entity = classOf("c")}}),
              result_code::ok);
}

TEST_F(ConfigurationTest, ignoresDuplicatesAndOldOffsets)
{
    const auto record = changeOf({{.entity = dataCentreOf("tuzla")}});
    m_config.apply(1, record);
    m_config.apply(2, changeOf({{.entity = dataCentreOf("tuzla"), .base = 1, .removes = true}},
                               {.changeId = "away", .sequence = 2}));
    m_config.apply(3, record);
    EXPECT_EQ(m_config.dataCentre("tuzla"), nullptr);
    EXPECT_EQ(m_config.offset(), 3);
    m_config.apply(2, changeOf({{.entity = dataCentreOf("x")}}, {.sequence = 9}));
    EXPECT_EQ(m_config.dataCentre("x"), nullptr);
}

TEST_F(ConfigurationTest, aDuplicateFromAnotherWriterLeavesTheChangeAccepted)
{
    const auto items = std::vector<change_item>{{.entity = dataCentreOf("tuzla")}};
    m_config.apply(1, changeOf(items, {.changeId = "c"}));
    m_config.apply(2, changeOf(items, {.changeId = "c", .writer = "other"}));
    EXPECT_EQ(m_config.decision("c")->code, result_code::ok);
    EXPECT_EQ(m_config.decision("c")->offset, 1);
}

TEST_F(ConfigurationTest, aWithdrawnKeyIsNeverReinstated)
{
    applyChange(
        {{.entity = accountOf("a")}, {.entity = accountOf("b")}, {.entity = keyOf("k", "a")}});
    EXPECT_EQ(applyChange({{.entity = keyOf("k", "b"), .base = 1}}), result_code::invalid_entity);
    EXPECT_EQ(applyChange({{.entity = keyOf("k", "a", true), .base = 1}}), result_code::ok);
    EXPECT_EQ(applyChange({{.entity = keyOf("k", "a", false), .base = 3}}),
              result_code::invalid_entity);
    EXPECT_EQ(applyChange({{.entity = keyOf("k", "a"), .base = 3, .removes = true}}),
              result_code::ok);
    EXPECT_EQ(applyChange({{.entity = keyOf("k", "a")}}), result_code::invalid_entity);
    skipTo(10'240);
    EXPECT_EQ(applyChange({{.entity = keyOf("k", "a")}}), result_code::invalid_entity);
    configuration other;
    other.restore(m_config.snapshot());
    EXPECT_TRUE(other.isRetiredKey("k"));
}

TEST_F(ConfigurationTest, anEntityInUseCannotBeRemoved)
{
    applyChange(
        {{.entity = classOf("c")}, {.entity = accountOf("a", {"c"})}, {.entity = keyOf("k", "a")}});
    EXPECT_EQ(applyChange({{.entity = classOf("c"), .base = 1, .removes = true}}),
              result_code::invalid_entity);
    EXPECT_EQ(applyChange({{.entity = accountOf("a"), .base = 1, .removes = true}}),
              result_code::invalid_entity);
    EXPECT_EQ(applyChange({{.entity = classOf("c"), .base = 1, .removes = true},
                           {.entity = accountOf("a"), .base = 1}}),
              result_code::ok);
    EXPECT_EQ(applyChange({{.entity = accountOf("a"), .base = 4, .removes = true},
                           {.entity = keyOf("k", "a"), .base = 1, .removes = true}}),
              result_code::ok);
}

TEST_F(ConfigurationTest, aChangeWrittenBeforeARemovalCannotUndoIt)
{
    applyChange({{.entity = dataCentreOf("tuzla")}});
    applyChange({{.entity = dataCentreOf("tuzla"), .base = 1, .removes = true}});
    EXPECT_EQ(applyChange({{.entity = dataCentreOf("tuzla")}}, 1), result_code::conflict);
    EXPECT_EQ(applyChange({{.entity = dataCentreOf("tuzla")}}, 2), result_code::ok);
}

TEST_F(ConfigurationTest, rejectsLateRecordsAndDiscardsOldWriterPositions)
{
    EXPECT_EQ(applyChange({{.entity = dataCentreOf("a")}}, 0), result_code::ok);
    m_config.apply(++m_offset, changeOf({{.entity = dataCentreOf("b")}},
                                        {.writer = "telling", .baseOffset = 1}));
    EXPECT_EQ(m_config.writerCount(), 2);
    skipTo(4'096);
    EXPECT_EQ(m_config.writerCount(), 2)
        << "only the writer without base offsets and that of the empty record remain";
    EXPECT_EQ(applyChange({{.entity = dataCentreOf("c")}}, 2'096), result_code::conflict);
    EXPECT_EQ(applyChange({{.entity = dataCentreOf("c")}}, 2'098), result_code::ok);
}

TEST_F(ConfigurationTest, remembersTheNewestDecisions)
{
    for (int i = 0; i < 6; ++i)
        applyChange({{.entity = dataCentreOf(fmt::format("dc{}", i))}});
    EXPECT_FALSE(m_config.decision("c2"));
    EXPECT_TRUE(m_config.decision("c3"));
}

TEST_F(ConfigurationTest, findsTheRouteWithTheLongestPrefix)
{
    auto service = modelRouteOf("/services/orders/");
    service.mutable_route()->set_kind(v1::ROUTE_KIND_SERVICE);
    service.mutable_route()->set_service("orders");
    applyChange({{.entity = modelRouteOf("/")}, {.entity = service}});
    EXPECT_EQ(m_config.routeFor("/services/orders/1")->service(), "orders");
    EXPECT_EQ(m_config.routeFor("/services/other")->id(), "/");
    EXPECT_EQ(m_config.routeFor("x"), nullptr);
}

TEST_F(ConfigurationTest, aRestoredConfigurationAppliesFurtherRecordsAlike)
{
    applyChange({{.entity = classOf("c")}, {.entity = accountOf("a", {"c"})}});
    applyChange({{.entity = dataCentreOf("tuzla")}});
    configuration other;
    std::vector<std::string> notified;
    other.onChange([&](v1::EntityKind, const std::string &id) { notified.push_back(id); });
    other.restore(m_config.snapshot());
    EXPECT_EQ(notified.size(), 3);
    EXPECT_EQ(other.snapshot().SerializeAsString(), m_config.snapshot().SerializeAsString());
    const auto removal = changeOf({{.entity = classOf("c"), .base = 1, .removes = true}},
                                  {.changeId = "r", .sequence = 3});
    other.apply(3, removal);
    m_config.apply(3, removal);
    EXPECT_EQ(other.decision("r")->code, result_code::invalid_entity);
    EXPECT_EQ(other.snapshot().SerializeAsString(), m_config.snapshot().SerializeAsString());
}

struct rule_case
{
    const char *name;
    std::function<auto(v1::Entity &)->void> makeInvalid;
    v1::Entity entity;
};

TEST(ConfigurationRulesTest, rejectsMalformedEntities)
{
    auto service = modelRouteOf("/s/");
    service.mutable_route()->set_kind(v1::ROUTE_KIND_SERVICE);
    service.mutable_route()->set_service("s");
    const auto endpoint = endpointOf("e", "dc");
    auto scaledDown = endpoint;
    scaledDown.mutable_endpoint()->set_managed(true);
    scaledDown.mutable_endpoint()->set_leaving(true);
    scaledDown.mutable_endpoint()->set_scaled_down(true);
    const auto scaling = scalingOf("org/large", {.least = 1, .most = 4});
    const std::vector<rule_case> cases = {
        {"empty id", [](auto &e) { e.mutable_data_centre()->clear_id(); }, dataCentreOf("dc")},
        {"id with a space", [](auto &e) { e.mutable_data_centre()->set_id("a b"); },
         dataCentreOf("dc")},
        {"long id", [](auto &e) { e.mutable_data_centre()->set_id(std::string(129, 'a')); },
         dataCentreOf("dc")},
        {"tier 0", [](auto &e) { e.mutable_client_account()->set_tier(0); }, accountOf("a")},
        {"tier 7", [](auto &e) { e.mutable_client_account()->set_tier(7); }, accountOf("a")},
        {"rate over the limit",
         [](auto &e) { e.mutable_client_account()->set_requests_per_second(1'000'001); },
         accountOf("a")},
        {"class twice", [](auto &e) { e.mutable_client_account()->add_classes("c"); },
         accountOf("a", {"c"})},
        {"short hash", [](auto &e) { e.mutable_key()->set_hash("00"); }, keyOf("k", "a")},
        {"hash with other digits", [](auto &e) { e.mutable_key()->set_hash(std::string(64, 'G')); },
         keyOf("k", "a")},
        {"no deadline", [](auto &e) { e.mutable_request_class()->set_deadline_ms(0); },
         classOf("c")},
        {"target over deadline",
         [](auto &e) { e.mutable_request_class()->set_first_token_ms(60'001); }, classOf("c")},
        {"no route kind", [](auto &e) { e.mutable_route()->clear_kind(); }, modelRouteOf("/m")},
        {"route without slash", [](auto &e) { e.mutable_route()->set_id("m"); },
         modelRouteOf("/m")},
        {"model route with service", [](auto &e) { e.mutable_route()->set_service("s"); },
         modelRouteOf("/m")},
        {"service route without service", [](auto &e) { e.mutable_route()->clear_service(); },
         service},
        {"open route without account", [](auto &e) { e.mutable_route()->set_open(true); }, service},
        {"no endpoint kind", [](auto &e) { e.mutable_endpoint()->clear_kind(); }, endpoint},
        {"serves nothing", [](auto &e) { e.mutable_endpoint()->clear_serves(); }, endpoint},
        {"two services",
         [](auto &e) {
             e.mutable_endpoint()->set_kind(v1::ENDPOINT_KIND_SERVICE);
             e.mutable_endpoint()->add_serves("b");
         },
         endpoint},
        {"no address", [](auto &e) { e.mutable_endpoint()->clear_agent_address(); }, endpoint},
        {"malformed address", [](auto &e) { e.mutable_endpoint()->set_control_address("x"); },
         endpoint},
        {"no concurrency", [](auto &e) { e.mutable_endpoint()->set_max_concurrency(0); }, endpoint},
        {"scaled down and not leaving", [](auto &e) { e.mutable_endpoint()->set_leaving(false); },
         scaledDown},
        {"scaled down and not managed", [](auto &e) { e.mutable_endpoint()->set_managed(false); },
         scaledDown},
        {"maximum of zero", [](auto &e) { e.mutable_model_scaling()->set_most(0); }, scaling},
        {"minimum over maximum", [](auto &e) { e.mutable_model_scaling()->set_least(5); }, scaling},
        {"no places", [](auto &e) { e.mutable_model_scaling()->set_places_per_endpoint(0); },
         scaling},
        {"no start time", [](auto &e) { e.mutable_model_scaling()->set_start_time_ms(0); },
         scaling},
        {"over 100 percent",
         [](auto &e) { e.mutable_model_scaling()->set_lowest_tier_percent(101); }, scaling},
        {"cold concurrency over maximum",
         [](auto &e) { e.mutable_endpoint()->set_cold_concurrency(65); }, endpoint},
    };
    for (const auto &it : cases) {
        auto entity = it.entity;
        EXPECT_EQ(failed(validateEntity(entity)), nullptr) << it.name;
        it.makeInvalid(entity);
        ASSERT_NE(failed(validateEntity(entity)), nullptr) << it.name;
        EXPECT_EQ(failed(validateEntity(entity))->code, result_code::invalid_entity) << it.name;
    }
}

TEST(ConfigurationRulesTest, rejectsMalformedChanges)
{
    const configuration config;
    auto mismatched = changeOf({{.entity = dataCentreOf("a")}});
    mismatched.mutable_configuration_change()->mutable_entities(0)->set_id("b");
    for (const auto &record :
         {changeOf({}), mismatched, changeOf({{.entity = v1::Entity()}}),
          changeOf({{.entity = dataCentreOf("a")}, {.entity = dataCentreOf("a")}}),
          changeOf({{.entity = dataCentreOf("a"), .removes = true}})}) {
        EXPECT_NE(failed(config.check(record.configuration_change())), nullptr);
    }
}

} // namespace
} // namespace mustardline
