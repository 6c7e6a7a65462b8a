/** @file HTTP client on libcurl's multi interface. */
#include <daisylead/base/answer_head_func.hpp>
#include <daisylead/http/client_base.hpp>

#include <curl/curl.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace daisylead::http
{

namespace
{

constexpr int poll_timeout_ms = 1000;

/** Idle transfers are looked for this often. libcurl's low-speed limit is not
 *  used, because it averages over seconds and so ends a stream that stopped
 *  several seconds late. */
constexpr std::chrono::milliseconds idle_check_interval{100};
constexpr long max_idle_connections = 512;
constexpr std::size_t max_pooled_handles = 512;
constexpr std::size_t default_max_body = 64U << 20U; ///< bytes

/** Initialises libcurl once for the process. */
void initialise_library()
{
    static bool const done = curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK;
    (void)done;
}

struct transfer
{
    transfer_id m_id = 0;
    client_request m_request;
    transfer_hooks m_hooks;
    CURL* m_easy = nullptr;
    curl_slist* m_header_list = nullptr;
    header_list m_received;
    answer_fields_check m_fields_check;
    std::string_view m_fault; ///< why what came is no answer; empty: none
    bool m_is_final = false;  ///< the head is that of the final answer
    bool m_headers_reported = false;
    bool m_paused = false; ///< the data hook stopped it
    std::chrono::steady_clock::time_point m_last_byte; ///< or its start
};

std::string_view trim_blanks(std::string_view value)
{
    while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
    {
        value.remove_prefix(1);
    }
    while (!value.empty() && (value.back() == ' ' || value.back() == '\t'))
    {
        value.remove_suffix(1);
    }
    return value;
}

/** @return a line of a head without its line end. */
std::string_view trim_line_end(std::string_view line)
{
    if (line.ends_with('\n'))
    {
        line.remove_suffix(1);
    }
    if (line.ends_with('\r'))
    {
        line.remove_suffix(1);
    }
    return line;
}

void begin_head(transfer& item, std::string_view line)
{
    item.m_received.clear();
    item.m_fields_check = {};
    int const status = parse_status_line(line).value_or(0);
    item.m_is_final = is_final_status(status);
    if (!item.m_is_final && !is_interim_status(status))
    {
        item.m_fault = "status line";
    }
}

/** Takes a line of the head or of the trailer. libcurl itself accepts names
 *  and values that no field may have. */
void take_field(transfer& item, std::string_view line)
{
    std::size_t const colon = line.find(':');
    // A line that begins with a blank would go on with the one before.
    if (colon == std::string_view::npos || line.starts_with(' ') ||
        line.starts_with('\t'))
    {
        item.m_fault = "line that is no field";
        return;
    }
    std::string_view const name = line.substr(0, colon);
    std::string_view const value = trim_blanks(line.substr(colon + 1));
    item.m_fields_check.add(name, value);
    item.m_fault = item.m_fields_check.fault();
    item.m_received.push_back({std::string(name), std::string(value)});
}

int http_status(CURL* easy)
{
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    return static_cast<int>(status);
}

void report_headers(transfer& item)
{
    if (!item.m_headers_reported && item.m_hooks.m_on_headers)
    {
        item.m_headers_reported = true;
        item.m_hooks.m_on_headers(http_status(item.m_easy), item.m_received);
    }
}

std::size_t on_header(char* data, std::size_t size, std::size_t count,
                      void* user)
{
    auto& item = *static_cast<transfer*>(user);
    item.m_last_byte = std::chrono::steady_clock::now();
    std::string_view const line =
        trim_line_end(std::string_view(data, size * count));
    if (line.starts_with("HTTP/"))
    {
        begin_head(item, line);
    }
    else if (!line.empty())
    {
        take_field(item, line);
    }
    else if (item.m_is_final)
    {
        report_headers(item);
    }
    // Less than all bytes ends the transfer as broken.
    return item.m_fault.empty() ? size * count : 0;
}

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user)
{
    auto& item = *static_cast<transfer*>(user);
    std::size_t const bytes = size * count;
    item.m_last_byte = std::chrono::steady_clock::now();
    item.m_paused = item.m_hooks.m_on_data &&
                    !item.m_hooks.m_on_data(std::string_view(data, bytes));
    return item.m_paused ? CURL_WRITEFUNC_PAUSE : bytes;
}

transfer_status to_status(CURLcode code)
{
    switch (code)
    {
    case CURLE_OK:
        return transfer_status::complete;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return transfer_status::connect_failed;
    case CURLE_OPERATION_TIMEDOUT:
        return transfer_status::timed_out;
    default:
        return transfer_status::broken;
    }
}

/** Whether the transfer got as far as sending: libcurl sets the pre-transfer
 *  time just before it writes the request. */
bool may_have_sent(CURL* easy)
{
    curl_off_t begun = 0;
    curl_easy_getinfo(easy, CURLINFO_PRETRANSFER_TIME_T, &begun);
    return begun > 0;
}

} // namespace

class client::impl
{
public:
    impl()
    {
        initialise_library();
        m_multi = curl_multi_init();
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, max_idle_connections);
        m_thread = std::thread([this] { run(); });
    }

    ~impl()
    {
        stop();
        for (CURL* easy : m_pool)
        {
            curl_easy_cleanup(easy);
        }
        curl_multi_cleanup(m_multi);
    }

    transfer_id start(client_request request, transfer_hooks hooks)
    {
        auto item = std::make_unique<transfer>();
        item->m_id = ++m_last_id;
        item->m_request = std::move(request);
        item->m_hooks = std::move(hooks);
        transfer_id const id = item->m_id;
        post({command_kind::start, id, std::move(item)});
        return id;
    }

    void cancel(transfer_id id)
    {
        post({command_kind::cancel, id, nullptr});
    }

    void resume(transfer_id id)
    {
        post({command_kind::resume, id, nullptr});
    }

    void stop()
    {
        m_stopping = true;
        curl_multi_wakeup(m_multi);
        if (m_thread.joinable())
        {
            m_thread.join();
        }
    }

private:
    enum class command_kind
    {
        start,
        cancel,
        resume
    };

    struct command
    {
        command_kind m_kind;
        transfer_id m_id;
        std::unique_ptr<transfer> m_transfer;
    };

    void post(command item)
    {
        {
            std::lock_guard const lock(m_mutex);
            m_commands.push_back(std::move(item));
        }
        curl_multi_wakeup(m_multi);
    }

    void run()
    {
        while (!m_stopping)
        {
            execute_commands();
            int running = 0;
            curl_multi_perform(m_multi, &running);
            collect_finished();
            end_idle();
            curl_multi_poll(m_multi, nullptr, 0, wait_time_ms(), nullptr);
        }
        execute_commands();
        while (!m_transfers.empty())
        {
            end_cancelled(m_transfers.begin()->first);
        }
    }

    int wait_time_ms() const
    {
        return m_with_idle_timeout == 0
                   ? poll_timeout_ms
                   : static_cast<int>(idle_check_interval.count());
    }

    void end_idle()
    {
        auto const now = std::chrono::steady_clock::now();
        if (m_with_idle_timeout == 0 || now < m_next_idle_check)
        {
            return;
        }
        m_next_idle_check = now + idle_check_interval;
        std::vector<transfer_id> idle;
        for (auto const& [id, item] : m_transfers)
        {
            auto const limit = item->m_request.m_idle_timeout;
            if (limit.count() > 0 && !item->m_paused &&
                now - item->m_last_byte > limit)
            {
                idle.push_back(id);
            }
        }
        for (transfer_id const id : idle)
        {
            finish(id, transfer_status::timed_out, "no byte came in time");
        }
    }

    void execute_commands()
    {
        std::vector<command> commands;
        {
            std::lock_guard const lock(m_mutex);
            commands.swap(m_commands);
        }
        for (command& item : commands)
        {
            execute(item);
        }
    }

    void execute(command& item)
    {
        if (item.m_kind == command_kind::start)
        {
            begin(std::move(item.m_transfer));
            return;
        }
        auto const found = m_transfers.find(item.m_id);
        if (found == m_transfers.end())
        {
            return;
        }
        if (item.m_kind == command_kind::cancel)
        {
            end_cancelled(item.m_id);
            return;
        }
        if (found->second->m_paused)
        {
            found->second->m_paused = false;
            found->second->m_last_byte = std::chrono::steady_clock::now();
            curl_easy_pause(found->second->m_easy, CURLPAUSE_CONT);
        }
    }

    void begin(std::unique_ptr<transfer> item)
    {
        item->m_easy = take_handle();
        configure(*item);
        curl_multi_add_handle(m_multi, item->m_easy);
        item->m_last_byte = std::chrono::steady_clock::now();
        m_with_idle_timeout += item->m_request.m_idle_timeout.count() > 0;
        m_transfers.emplace(item->m_id, std::move(item));
    }

    CURL* take_handle()
    {
        if (m_pool.empty())
        {
            return curl_easy_init();
        }
        CURL* easy = m_pool.back();
        m_pool.pop_back();
        return easy;
    }

    static void configure(transfer& item)
    {
        CURL* easy = item.m_easy;
        client_request const& request = item.m_request;
        curl_easy_setopt(easy, CURLOPT_URL, request.m_url.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &item);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &on_header);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &item);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &on_body);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &item);
        configure_method(item);
        configure_timeouts(item);
        if (request.m_fresh_connection)
        {
            curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
        }
    }

    static void configure_method(transfer& item)
    {
        CURL* easy = item.m_easy;
        client_request const& request = item.m_request;
        if (request.m_method == "HEAD")
        {
            curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        }
        else if (request.m_body)
        {
            curl_easy_setopt(easy, CURLOPT_POST, 1L);
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(request.m_body->size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.m_body->data());
        }
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.m_method.c_str());
        curl_slist* list = curl_slist_append(nullptr, "Expect:");
        for (header const& field : request.m_headers)
        {
            std::string const line = field.m_name + ": " + field.m_value;
            list = curl_slist_append(list, line.c_str());
        }
        item.m_header_list = list;
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    }

    static void configure_timeouts(transfer& item)
    {
        CURL* easy = item.m_easy;
        client_request const& request = item.m_request;
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(request.m_connect_timeout.count()));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(request.m_total_timeout.count()));
    }

    void collect_finished()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(m_multi, &left))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            CURL* easy = message->easy_handle;
            CURLcode const code = message->data.result;
            transfer* item = nullptr;
            curl_easy_getinfo(easy, CURLINFO_PRIVATE, &item);
            std::string const text =
                item->m_fault.empty()
                    ? curl_easy_strerror(code)
                    : "no answer: " + std::string(item->m_fault);
            finish(item->m_id,
                   item->m_fault.empty() ? to_status(code)
                                         : transfer_status::broken,
                   text);
        }
    }

    void end_cancelled(transfer_id id)
    {
        finish(id, transfer_status::cancelled, "cancelled");
    }

    void finish(transfer_id id, transfer_status status, std::string const& text)
    {
        auto const found = m_transfers.find(id);
        std::unique_ptr<transfer> item = std::move(found->second);
        m_transfers.erase(found);
        m_with_idle_timeout -= item->m_request.m_idle_timeout.count() > 0;
        transfer_result result;
        result.m_status = status;
        result.m_http_status = http_status(item->m_easy);
        result.m_may_have_sent = status != transfer_status::connect_failed &&
                                 may_have_sent(item->m_easy);
        result.m_message = text;
        if (status == transfer_status::complete)
        {
            report_headers(*item);
        }
        release(*item);
        if (item->m_hooks.m_on_end)
        {
            item->m_hooks.m_on_end(result);
        }
    }

    void release(transfer& item)
    {
        curl_multi_remove_handle(m_multi, item.m_easy);
        curl_slist_free_all(item.m_header_list);
        curl_easy_reset(item.m_easy);
        if (m_pool.size() < max_pooled_handles)
        {
            m_pool.push_back(item.m_easy);
        }
        else
        {
            curl_easy_cleanup(item.m_easy);
        }
    }

    CURLM* m_multi = nullptr;
    std::vector<CURL*> m_pool;
    std::unordered_map<transfer_id, std::unique_ptr<transfer>> m_transfers;
    std::size_t m_with_idle_timeout = 0; ///< open transfers with one
    std::chrono::steady_clock::time_point m_next_idle_check;
    std::mutex m_mutex;
    std::vector<command> m_commands; ///< guarded by m_mutex
    std::atomic<transfer_id> m_last_id{0};
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

client::client() : m_impl(std::make_unique<impl>()) {}

client::~client() = default;

transfer_id client::start(client_request request, transfer_hooks hooks)
{
    return m_impl->start(std::move(request), std::move(hooks));
}

void client::cancel(transfer_id transfer)
{
    m_impl->cancel(transfer);
}

void client::resume(transfer_id transfer)
{
    m_impl->resume(transfer);
}

void client::stop()
{
    m_impl->stop();
}

transfer_id start_whole(client& client, client_request request,
                        std::size_t max_body,
                        std::function<void(client_response)> on_end)
{
    struct collector
    {
        client_response m_response;
        bool m_too_large = false;
    };
    auto state = std::make_shared<collector>();
    transfer_hooks hooks;
    hooks.m_on_headers = [state](int, header_list const& headers)
    {
        state->m_response.m_headers = headers;
    };
    hooks.m_on_data = [state, max_body](std::string_view bytes)
    {
        state->m_too_large =
            state->m_too_large ||
            state->m_response.m_body.size() + bytes.size() > max_body;
        if (!state->m_too_large)
        {
            state->m_response.m_body += bytes;
        }
        return true;
    };
    hooks.m_on_end =
        [state, on_end = std::move(on_end)](transfer_result const& result)
    {
        state->m_response.m_result = result;
        if (state->m_too_large)
        {
            state->m_response.m_result.m_status = transfer_status::broken;
            state->m_response.m_result.m_message = "response is too large";
        }
        on_end(std::move(state->m_response));
    };
    return client.start(std::move(request), std::move(hooks));
}

client_response fetch(client& client, client_request request)
{
    auto promise = std::make_shared<std::promise<client_response>>();
    auto future = promise->get_future();
    start_whole(client, std::move(request), default_max_body,
                [promise](client_response response)
                { promise->set_value(std::move(response)); });
    return future.get();
}

} // namespace daisylead::http
