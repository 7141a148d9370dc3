#include "runtime/topic_reader.hpp"

#include "runtime/guard.hpp"
#include "runtime/logging.hpp"

#include <algorithm>

namespace papayahook::runtime {

namespace {

using namespace std::chrono_literals;

constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr auto read_slack = 700ms;
constexpr auto newest_timeout = 1'500ms;
constexpr auto connect_timeout = 600ms;
constexpr auto retry_step = 100ms;
constexpr auto max_retry_delay = 600ms;
// Failed reads of one page after which the pages before it are passed on.
constexpr int max_page_failures = 3;
constexpr auto watch_period = 1'000ms;
// A topic that is followed counts as stalled if it was not known completely for
// this long.
constexpr auto stalled_after = 5s;

} // namespace

std::string describe(http_result const& it)
{
    return it.error ? it.step + ": " + it.error.message()
                    : "status " + std::to_string(it.status);
}

std::string add_page(newest_read& to, newest_page page)
{
    to.items += page.items;
    std::ranges::move(page.records, std::back_inserter(to.out.records));
    if (!page.more)
        return {};
    if (page.last_key.empty())
        return "a page has no key to go on from";
    if (!to.cursors.insert(page.last_key).second)
        return "a page ends with the same key as an earlier one";
    // Each key has a record of its own.
    if (to.items > page.end)
        return "pages have more items than the topic has records";
    to.cursor = std::move(page.last_key);
    return {};
}

topic_reader::topic_reader(asio::io_context& io, http_client& client,
                           topic_protocol const& protocol, std::string store,
                           std::string topic, topic_pace pace,
                           topic_handlers handlers)
    : calls_(io, client), protocol_(protocol), store_(std::move(store)),
      topic_(std::move(topic)), pace_(pace), handlers_(std::move(handlers)),
      timer_(io), watch_timer_(io), list_timer_(io)
{
    progress_.topic = topic_;
}

void topic_reader::start()
{
    calls_.forget();
    newest_.reset();
    read_newest();
}

void topic_reader::follow(bool on)
{
    bool const begins = on && !followed_;
    progress_.followed = followed_ = on;
    if (begins) {
        progress_.since = handlers_.now();
        watch();
    }
    if (on && idle_)
        start();
}

void topic_reader::wait(std::chrono::milliseconds delay, action act)
{
    timer_.expires_after(delay);
    timer_.async_wait([this, turn = ++turn_, act](auto ec) {
        if (!ec && turn == turn_)
            (this->*act)();
    });
}

// Reads may go on and on, or end, without a failure that would be logged.
void topic_reader::watch()
{
    watch_timer_.expires_after(watch_period);
    watch_timer_.async_wait([this](auto ec) {
        if (ec || !followed_)
            return;
        watch();
        auto const now = handlers_.now();
        auto const& it = progress_;
        auto const fresh = std::max(it.as_of, it.since);
        if (now < std::max(fresh, stall_logged_at_) + stalled_after)
            return;
        stall_logged_at_ = now;
        auto const age =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - fresh);
        write_log({events::topic_stalled, topic_, store_,
                   "not known completely for " + std::to_string(age.count()) +
                       " ms; " + std::to_string(it.reads) + " reads, " +
                       std::to_string(it.pages) + " of pages, " +
                       std::to_string(it.stalls) +
                       " did not go on; next offset " +
                       std::to_string(it.next) + ", page after " + it.cursor});
    });
}

void topic_reader::report_success(core::time_point as_of)
{
    failures_ = 0;
    progress_.as_of = as_of;
    // The other topics are no longer read once this one is not followed.
    if (handlers_.on_state && followed_)
        handlers_.on_state(true, as_of, {});
}

void topic_reader::fail(std::string const& why)
{
    failures_++;
    if (handlers_.on_state)
        handlers_.on_state(false, {}, why);
}

void topic_reader::retry(std::string const& why, action read)
{
    fail(why);
    wait(std::min<std::chrono::milliseconds>(retry_step * failures_,
                                             max_retry_delay),
         read);
}

// Records that come while the pages cannot be read are worth more than the
// pages: they are read meanwhile.
void topic_reader::retry_newest(std::string const& why, action read)
{
    if (!newest_ || !handlers_.takes_partial) {
        retry(why, read);
        return;
    }
    fail(why);
    end_newest(false);
}

void topic_reader::log_skipped(std::vector<std::string> const& all)
{
    for (auto const& it : all)
        write_log({events::entry_skipped, topic_, "store", it});
}

// A store that states no era, or one that cannot be read, is read as if it
// never came back from a copy.
core::store_era topic_reader::era_of(header_list const& headers)
{
    std::string wrong;
    auto const era = protocol_.decode_era(headers, wrong);
    if (era == 0 && !std::exchange(era_is_logged_, true))
        write_log({events::store_era_unknown, topic_, store_,
                   wrong.empty() ? "not stated" : wrong});
    return era;
}

// Offsets of another era are other records: what has been read so far says
// nothing about them.
bool topic_reader::accept_era(core::store_era era, action read)
{
    if (era == 0 || era == era_)
        return true;
    if (era < era_) {
        ++progress_.stalls;
        retry("an answer of era " + std::to_string(era) + ", read before " +
                  std::to_string(era_),
              read);
        return false;
    }
    bool const has_read = has_position_ || newest_;
    progress_.era = era_ = era;
    if (handlers_.on_era)
        handlers_.on_era(era);
    if (!has_read)
        return true;
    has_position_ = false;
    list_again();
    start();
    return false;
}

void topic_reader::list_again()
{
    list_timer_.expires_after(core::rewrite_time);
    list_timer_.async_wait([this](auto ec) {
        if (!ec && followed_)
            start();
    });
}

void topic_reader::get(std::string const& path_and_query,
                       std::chrono::milliseconds wait,
                       std::chrono::milliseconds slack, action read,
                       on_answer done)
{
    ++turn_;
    ++progress_.reads;
    http_call call;
    call.url = "http://" + store_ + path_and_query;
    call.connect_timeout = connect_timeout;
    auto const era = std::make_shared<core::store_era>(0);
    call.on_head = [this, era](int, header_list const& headers) {
        *era = era_of(headers);
    };
    calls_.start(std::move(call), wait, slack,
                 [this, done, read, era, began = handlers_.now()](
                     auto const& result, auto const& body) {
                     if (accept_era(*era, read))
                         (this->*done)(result, body, began);
                 });
}

void topic_reader::read_newest()
{
    idle_ = !followed_;
    if (idle_)
        return;
    ++progress_.pages;
    progress_.cursor = newest_ ? newest_->cursor : std::string{};
    get(protocol_.newest_path(topic_, progress_.cursor), 0ms, newest_timeout,
        &topic_reader::read_newest, &topic_reader::on_newest);
}

void topic_reader::on_newest(http_result const& result, std::string const& body,
                             core::time_point began)
{
    std::string error;
    newest_page page;
    if (result.error || result.status != status_ok)
        error = describe(result);
    else
        page = protocol_.decode_newest(body, error);
    if (!error.empty()) {
        if (failures_ + 1 < max_page_failures)
            retry(error, &topic_reader::read_newest);
        else
            retry_newest(error, &topic_reader::read_newest);
        return;
    }
    failures_ = is_partial_ ? failures_ : 0;
    log_skipped(page.skipped);
    // Pages are not atomic: changes since the first page are read again.
    if (!newest_) {
        newest_.emplace();
        newest_->began = began;
        newest_->out.end = page.end;
    }
    bool const more = page.more;
    auto const why = add_page(*newest_, std::move(page));
    if (!why.empty()) {
        ++progress_.stalls;
        retry_newest(why, &topic_reader::start);
    }
    else if (more)
        read_newest();
    else {
        report_success(newest_->began);
        end_newest(true);
    }
}

// Passes on what the pages had, and goes on with the records behind them.
void topic_reader::end_newest(bool whole)
{
    auto out = std::move(newest_->out);
    newest_.reset();
    std::ranges::sort(out.records, {}, &keyed_record::at);
    out.whole = whole;
    is_partial_ = !whole;
    if (whole || !has_position_)
        next_ = out.end;
    has_position_ = true;
    pass_on(std::move(out));
    read_next();
}

// Reading goes on, whatever the records do.
void topic_reader::pass_on(topic_records it)
{
    it.era = era_;
    for (auto& record : it.records)
        record.era = era_;
    run_guarded("records of " + topic_, [&] { handlers_.on_records(it); });
}

void topic_reader::read_next()
{
    progress_.next = next_;
    idle_ = !followed_;
    if (idle_)
        return;
    get(protocol_.read_path(topic_, next_, pace_.wait), pace_.wait, read_slack,
        &topic_reader::read_next, &topic_reader::on_read);
}

void topic_reader::on_read(http_result const& result, std::string const& body,
                           core::time_point began)
{
    if (!result.error && result.status == status_gone) {
        // The records at next_ have expired.
        has_position_ = false;
        wait(pace_.delay, &topic_reader::start);
        return;
    }
    std::string error;
    read_page page;
    if (result.error || result.status != status_ok)
        error = describe(result);
    else
        page = protocol_.decode_read(body, next_, error);
    if (!error.empty() && page.next == next_)
        retry(error, &topic_reader::read_next);
    else
        accept_read(std::move(page), began);
}

void topic_reader::accept_read(read_page page, core::time_point began)
{
    if (page.next == next_ && page.end != next_) {
        ++progress_.stalls;
        retry("no record at " + std::to_string(next_) +
                  ", though the topic ends at " + std::to_string(page.end),
              &topic_reader::read_next);
        return;
    }
    log_skipped(page.skipped);
    // The store answers with nothing only after it has waited; with records, as
    // soon as it has them.
    auto const looked_at = page.next == next_ ? began + pace_.wait : began;
    if (!is_partial_)
        report_success(std::min(handlers_.now(), looked_at));
    next_ = page.next;
    if (!page.records.empty())
        pass_on({std::move(page.records), next_, era_});
    if (is_partial_)
        wait(std::max<std::chrono::milliseconds>(pace_.delay, max_retry_delay),
             &topic_reader::start);
    else
        wait(pace_.delay, &topic_reader::read_next);
}

} // namespace papayahook::runtime
