/** @file Selection of a row of the upstream table. */
#pragma once

#include "upstream_row.hpp"

#include <array>

namespace daisylead::routing
{

/** A row that is eligible for the request. Times in seconds. */
struct candidate
{
    upstream_number m_number = 0;
    double m_wait = 0;       ///< estimate before prefill starts
    double m_estimate = 0;   ///< estimated time to first token
    double m_fixed_cost = 0; ///< part of m_cost that is independent of the wait
    double m_cost = 0;       ///< weighted; the lowest is selected
    std::uint32_t m_cached_tokens = 0;
};

/** Names of a request as numbers of name_interner. */
struct request_numbers
{
    std::uint32_t m_model = name_interner::unknown;
    std::uint32_t m_version = name_interner::unknown;
    std::uint32_t m_adapter = name_interner::unknown;
    std::uint32_t m_adapter_version = name_interner::unknown;
    std::uint32_t m_zone = name_interner::unknown;

    bool has_same_models(request_numbers const& other) const
    {
        return m_model == other.m_model && m_version == other.m_version &&
               m_adapter == other.m_adapter &&
               m_adapter_version == other.m_adapter_version;
    }
};

/** Cached list of the engines that serve a model and adapter in given weights
 *  versions. */
struct serving_list
{
    request_numbers m_names;
    std::vector<upstream_number> m_numbers;
    std::int64_t m_not_serving = 0; ///< number of other upstreams
};

/** Values that are equal for all rows of one selection. Times in seconds. */
struct choice_context
{
    time_point m_now;
    std::uint64_t m_key = 0;     ///< hash of the prefix; 0 if there is none
    std::size_t m_row_count = 0; ///< rows to consider
    std::uint32_t m_zone = name_interner::unknown;
    double m_zone_cost = 0;
    double m_rank_cost = 0;
};

/** Selects a row. Its buffers are reused by later selections. */
class upstream_chooser
{
public:
    /** @param row_numbers rows to consider for a service; ignored for an engine
     *  @param generation has to change when a row may serve other models
     *  @param max_explained maximum number of candidates to return */
    choice choose(std::vector<upstream_row> const& rows,
                  std::span<upstream_number const> row_numbers,
                  request_numbers const& names, choice_request const& request,
                  table_options const& options, time_point now,
                  std::function<std::uint64_t()> const& random,
                  std::uint64_t generation, std::size_t max_explained);

private:
    serving_list const& find_serving(std::vector<upstream_row> const& rows,
                                     request_numbers const& names,
                                     std::uint64_t generation);
    /** Adds the row to the candidates if it is eligible, else counts the
     * reason. */
    void add_candidate(upstream_row const& row, upstream_number number,
                       choice_request const& request,
                       table_options const& options,
                       choice_context const& context);
    /** Computes the cost of each candidate. */
    void compute_costs(table_options const& options);
    candidate const& pick_lowest_cost(
        std::vector<upstream_row> const& rows, table_options const& options,
        std::function<std::uint64_t()> const& random, char const*& reason);
    candidate const& pick_rendezvous(std::vector<upstream_row> const& rows,
                                     std::uint64_t key);
    candidate const& pick_least_load(std::vector<upstream_row> const& rows);
    void explain(std::vector<upstream_row> const& rows, choice& result,
                 time_point now, std::size_t max_explained) const;

    static constexpr std::size_t ineligibility_count = 7;
    std::vector<candidate> m_candidates;
    std::vector<std::uint32_t> m_near_best; ///< indices into m_candidates
    std::array<std::int64_t, ineligibility_count> m_left_out{};
    std::vector<serving_list> m_serving;
    std::uint64_t m_generation = 0; ///< generation of m_serving
    std::uint64_t m_round_robin_count = 0;
};

} // namespace daisylead::routing
