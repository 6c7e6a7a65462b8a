/** @file The operators' HTTP interface. */
#pragma once

#include <daisylead/core/control_base.hpp>
#include <daisylead/http/message_type.hpp>
#include <daisylead/http/response_writer_base.hpp>
#include <daisylead/telemetry/metrics_base.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace daisylead::daemon
{

/** What the operators' interface may do. */
struct operator_hooks
{
    std::function<void(core::event const&)> m_handle; ///< passes an event on
    std::function<time_point()> m_now;                ///< current time
};

/** Answers operators. Used by the control thread only. */
class operator_api
{
public:
    /** @param token required from operators; empty: none
     *  @param control must outlive this object, like @p metrics */
    operator_api(std::string token, core::control const& control,
                 telemetry::metrics& metrics, operator_hooks hooks);

    void answer(http::server_request const& request,
                std::shared_ptr<http::response_writer> const& writer);

    /** Answers a call that published a configuration. */
    void answer(core::publish_answer const& answer);

private:
    bool is_permitted(http::server_request const& request) const;
    void publish(http::server_request const& request,
                 std::shared_ptr<http::response_writer> const& writer);
    void show_configuration(http::response_writer& writer) const;
    void explain(std::string const& id, http::response_writer& writer) const;
    void show_metrics(http::response_writer& writer);

    std::string m_token;
    core::control const& m_control;
    telemetry::metrics& m_metrics;
    operator_hooks m_hooks;
    core::operator_token m_last_call = 0;
    std::unordered_map<core::operator_token,
                       std::shared_ptr<http::response_writer>>
        m_publishing;
};

} // namespace daisylead::daemon
