#pragma once

// What an edge process needs of the adapter for a platform: its protocols and names.

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "forwarding/fleet_view.h"
#include "forwarding/header_names.h"
#include "forwarding/rollout_driver.h"
#include "forwarding/usage_duty_driver.h"

namespace mustardline {

template<class T>
concept edge_platform = fleet_platform<T> && duty_platform<T> && rollout_platform<T> && requires(
    typename T::log_type &log)
{
    log.onEra = std::function<auto(std::uint64_t)->void>();
    {
        log.era()
        } -> std::same_as<std::uint64_t>;
    {
        log.lateResponseCount()
        } -> std::same_as<std::uint64_t>;
    {
        T::headers()
        } -> std::same_as<header_names>;
    {
        T::readinessPath()
        } -> std::same_as<std::string_view>;
    {
        T::streamTopic()
        } -> std::same_as<std::string>;
};

} // namespace mustardline
