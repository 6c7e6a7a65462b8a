/** @file HTTP statuses of refusals, and names of refusal codes and outcomes. */
#include <daisylead/request/request_type.hpp>

namespace daisylead::request
{

int http_status(refusal_code code)
{
    switch (code)
    {
    case refusal_code::malformed:
    case refusal_code::idempotency_key_missing:
        return 400;
    case refusal_code::no_key:
    case refusal_code::unknown_key:
        return 401;
    case refusal_code::not_permitted:
        return 403;
    case refusal_code::unknown_model:
    case refusal_code::unknown_route:
        return 404;
    case refusal_code::key_reused:
    case refusal_code::outcome_unknown:
        return 409;
    case refusal_code::over_limit:
        return 429;
    case refusal_code::upstream_failed:
    case refusal_code::quarantined:
        return 502;
    case refusal_code::deadline_exceeded:
        return 504;
    case refusal_code::overloaded:
    case refusal_code::no_upstream:
    case refusal_code::not_ready:
        return 503;
    }
    return 500;
}

std::string to_string(refusal_code code)
{
    switch (code)
    {
    case refusal_code::malformed:
        return "malformed";
    case refusal_code::no_key:
        return "no_key";
    case refusal_code::unknown_key:
        return "unknown_key";
    case refusal_code::not_permitted:
        return "not_permitted";
    case refusal_code::unknown_model:
        return "unknown_model";
    case refusal_code::unknown_route:
        return "unknown_route";
    case refusal_code::key_reused:
        return "idempotency_key_reused";
    case refusal_code::outcome_unknown:
        return "outcome_unknown";
    case refusal_code::over_limit:
        return "over_limit";
    case refusal_code::overloaded:
        return "overloaded";
    case refusal_code::no_upstream:
        return "no_upstream";
    case refusal_code::upstream_failed:
        return "upstream_failed";
    case refusal_code::not_ready:
        return "not_ready";
    case refusal_code::deadline_exceeded:
        return "deadline_exceeded";
    case refusal_code::quarantined:
        return "quarantined";
    case refusal_code::idempotency_key_missing:
        return "idempotency_key_missing";
    }
    return "internal";
}

std::string to_string(run_outcome outcome)
{
    switch (outcome)
    {
    case run_outcome::not_run:
        return "not-run";
    case run_outcome::unknown:
        return "unknown";
    case run_outcome::done:
        return "done";
    }
    return "unknown";
}

std::string to_string(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::complete:
        return "complete";
    case attempt_outcome::connect_failed:
        return "connect_failed";
    case attempt_outcome::broken:
        return "broken";
    case attempt_outcome::timed_out:
        return "timed_out";
    case attempt_outcome::cancelled:
        return "cancelled";
    case attempt_outcome::weights_mismatch:
        return "weights_mismatch";
    case attempt_outcome::rejected:
        return "rejected";
    }
    return "unknown";
}

} // namespace daisylead::request
