/** @file Collection of the results of one run. */
#pragma once

#include <daisylead/replay/run_func.hpp>

#include <map>
#include <vector>

namespace daisylead::replay
{

/** Counts what happens to requests. */
class metrics
{
public:
    void note_refused_outside();

    /** A request within its organisation's rate arrived. */
    void note_due(arrival const& item);
    void note_refused_inside();
    void note_prefill(std::int64_t prompt_tokens, std::int64_t cached,
                      std::int64_t cached_anywhere);
    void note_first_token(arrival const& item, double ttft);
    void note_retry();

    run_result result() const;

private:
    struct organisation_counts
    {
        double m_due = 0;
        double m_served = 0;
        std::vector<double> m_ttft;
    };

    run_result m_counts;
    double m_prompt_tokens = 0;
    double m_cached_tokens = 0;
    std::map<organisation_id, organisation_counts> m_organisations;
};

} // namespace daisylead::replay
