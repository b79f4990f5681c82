#include "forwarding/resource_plan.h"

#include "forwarding/held_body.h"

#include <gtest/gtest.h>

namespace mustardline {
namespace {

auto connectionsOf(const resource_plan &plan) -> std::size_t
{
    return plan.callerConnections + plan.endpointConnections + plan.controlConnections
           + plan.readinessConnections + plan.metricsConnections + plan.peerConnections;
}

// Guards against parts of an edge that together open more descriptors than its VM may have.
TEST(ResourcePlanTest, connectionsAddUpToLessThanTheDescriptors)
{
    for (std::uint64_t descriptors = reservedDescriptors + 32; descriptors < 100'000;
         descriptors = descriptors * 11 / 10 + 1) {
        const auto plan = planResources({.descriptors = descriptors});
        EXPECT_LE(connectionsOf(plan), descriptors - reservedDescriptors) << descriptors;
        EXPECT_GE(plan.endpointConnections, plan.callerConnections) << descriptors;
    }
}

TEST(ResourcePlanTest, eachPartHasAConnectionWhereThereAreFewDescriptors)
{
    for (const std::uint64_t descriptors : {0U, 20U, 100U, 200U, 240U}) {
        const auto plan = planResources({.descriptors = descriptors});
        EXPECT_GE(plan.callerConnections, 12U) << descriptors;
        EXPECT_GE(plan.endpointConnections, 12U) << descriptors;
        EXPECT_GE(plan.controlConnections, 4U) << descriptors;
        EXPECT_GE(plan.readinessConnections, 1U) << descriptors;
        EXPECT_GE(plan.metricsConnections, 1U) << descriptors;
        EXPECT_GE(plan.peerConnections, 2U) << descriptors;
    }
}

TEST(ResourcePlanTest, callersLeaveHalfOfTheForwardingToEndpoints)
{
    EXPECT_EQ(planResources({.descriptors = 4100}).callerConnections, 1902U);
    EXPECT_EQ(planResources({.descriptors = 4100}).endpointConnections, 1902U);
    EXPECT_EQ(planResources({.descriptors = 1'048'576}).callerConnections, 4096U);
}

// Guards against budgets that together exceed the memory of the VM.
TEST(ResourcePlanTest, memoryAddsUpToLessThanTheLimit)
{
    constexpr std::uint64_t smallestVm = 160U << 20U;
    constexpr std::size_t copiesOfGrowingResponse = 3;
    const auto plan = planResources({.memoryBytes = smallestVm});
    EXPECT_LT(plan.callerBytes + copiesOfGrowingResponse * plan.responseBytes, smallestVm);
}

// Guards against responses that are given up and whose memory stays with the request, uncounted.
TEST(HeldBodyTest, freedBodyKeepsNoMemory)
{
    std::string body(1U << 20U, 'x');
    freeBody(body);
    EXPECT_EQ(memoryOf(body), 0U);
    EXPECT_LE(body.capacity(), std::string().capacity());
}

} // namespace
} // namespace mustardline
