/** @file Helpers that the parts of the request flow share. */
#pragma once

#include <daisylead/request/request_type.hpp>
#include <daisylead/routing/upstream_type.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace daisylead::core
{

/** Told to callers where nothing better is known. */
inline constexpr std::chrono::seconds default_retry_after{1};

/** @return the refusal of a request of which no byte reached an upstream. */
inline request::refusal
not_run(request::refusal_code code, std::string message,
        std::optional<duration> retry_after = default_retry_after)
{
    return {code, request::run_outcome::not_run, retry_after,
            std::move(message)};
}

/** @return how many upstreams a choice left out for the reason. */
inline std::int64_t left_out(routing::choice const& chosen,
                             routing::ineligibility reason)
{
    for (auto const& [item, count] : chosen.m_left_out)
    {
        if (item == reason)
        {
            return count;
        }
    }
    return 0;
}

} // namespace daisylead::core
