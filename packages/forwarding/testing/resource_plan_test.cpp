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
    EXPECT_EQ(planResources({.descriptors = 4100}).callerConnections, 1755U);
    EXPECT_EQ(planResources({.descriptors = 4100}).endpointConnections, 1755U);
    EXPECT_EQ(planResources({.descriptors = 1'048'576}).callerConnections, 4096U);
}

// Guards against budgets that together exceed the memory of the VM.
TEST(ResourcePlanTest, memoryAddsUpToLessThanTheLimit)
{
    constexpr std::uint64_t megabyte = 1U << 20U;
    for (const std::uint64_t megabytes : {48U, 120U, 160U, 260U, 512U}) {
        const auto plan = planResources({.memoryBytes = megabytes * megabyte});
        // A snapshot is held as text and as a message.
        const auto sum = plan.callerBytes + plan.responseBytes + plan.peerLoadBytes
                         + plan.peerUsageBytes + 2 * plan.snapshotBytes;
        EXPECT_LE(sum, megabytes * megabyte * 3 / 4) << megabytes;
    }
}

} // namespace
} // namespace mustardline
