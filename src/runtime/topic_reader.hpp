// Reads a keyed topic of an append-only store: its records by offset, of which
// the store keeps the newest of each key for good.
#pragma once

#include "papayahook/papayahook.hpp"
#include "runtime/hedged_calls.hpp"

#include <asio/steady_timer.hpp>
#include <optional>
#include <set>

namespace papayahook::runtime {

// One record of a keyed topic. An empty value means that the key was deleted.
struct keyed_record
{
    core::offset at = 0;
    std::string key;
    std::string value;
    core::store_era era = 0; // in which it was read
};

// Records from an offset on.
struct read_page
{
    core::offset end = 0;
    core::offset first = 0;
    core::offset next = 0; // of the record that follows this page
    std::vector<keyed_record> records;
    std::vector<std::string> skipped; // why records could not be read
};

// One page of the newest record of each key.
struct newest_page
{
    core::offset end = 0;
    bool more = false;
    std::size_t items = 0; // also those that could not be read
    std::string last_key;  // where the next page begins; empty if unreadable
    std::vector<keyed_record> records;
    std::vector<std::string> skipped; // why items could not be read
};

// The calls of a store and the decoders of their answers, which describe what
// is wrong with an answer that they cannot read.
struct topic_protocol
{
    // `after`: the last key of the page before; empty for the first page. Keys
    // may have any bytes.
    std::string (*newest_path)(std::string const& topic,
                               std::string const& after);
    std::string (*read_path)(std::string const& topic, core::offset from,
                             std::chrono::milliseconds wait);
    newest_page (*decode_newest)(std::string const& body, std::string& wrong);
    read_page (*decode_read)(std::string const& body, core::offset from,
                             std::string& wrong);
    // Returns 0 if the headers of an answer state no era.
    core::store_era (*decode_era)(header_list const& headers,
                                  std::string& wrong);
};

struct topic_records
{
    std::vector<keyed_record> records; // by offset
    core::offset end = 0;              // offset of the next record
    core::store_era era = 0;           // of the answers; 0: not stated
    bool whole = false; // holds the newest record of each key up to `end`
};

struct topic_handlers
{
    std::function<void(topic_records const&)> on_records;
    // A clock that counts the time of a suspension.
    std::function<core::time_point()> now;
    // May be empty. The topic has been read completely as of then.
    std::function<void(bool reachable, core::time_point as_of,
                       std::string const& why)>
        on_state;
    // Each record counts by itself: while not all pages can be read, those that
    // can be are passed on, and so are the records that come after.
    bool takes_partial = false;
    // May be empty. A higher era than before.
    std::function<void(core::store_era)> on_era;
};

// How far a topic has been read, for metrics and log lines.
struct topic_progress
{
    std::string topic;
    bool followed = false;
    std::uint64_t reads = 0;
    std::uint64_t pages = 0;  // among the reads
    std::uint64_t stalls = 0; // pages or reads that did not go on
    std::string cursor;       // of the next page; empty: the first one
    core::offset next = 0;    // of the next record
    core::time_point as_of{}; // it was known completely as of then
    core::time_point since{}; // it has been followed since then
    core::store_era era = 0;  // of the store's answers
};

struct topic_pace
{
    std::chrono::milliseconds wait;  // time that a read waits at the store
    std::chrono::milliseconds delay; // pause between reads, to batch records
};

// The newest records of a topic as far as their pages have been read.
struct newest_read
{
    topic_records out;
    core::time_point began{}; // read of the first page
    std::size_t items = 0;
    std::string cursor; // last key of the newest page
    std::set<std::string> cursors;
};
// Adds a page. Returns why the next one cannot be read, if it cannot.
std::string add_page(newest_read& to, newest_page page);

// Reads one topic: first the newest record of each key, then new records as
// long as the topic is followed.
class topic_reader
{
public:
    topic_reader(asio::io_context& io, http_client& client,
                 topic_protocol const& protocol, std::string store,
                 std::string topic, topic_pace pace, topic_handlers handlers);
    void start();
    void follow(bool on); // off: stops after the read in flight
    void set_store(std::string address) { store_ = std::move(address); }

    topic_progress const& progress() const { return progress_; }

private:
    using on_answer = void (topic_reader::*)(http_result const&,
                                             std::string const& body,
                                             core::time_point began);
    using action = void (topic_reader::*)();
    // Returns whether an answer belongs to what has been read so far.
    bool accept_era(core::store_era era, action read);
    core::store_era era_of(header_list const& headers);
    void list_again();
    void get(std::string const& path_and_query, std::chrono::milliseconds wait,
             std::chrono::milliseconds slack, action read, on_answer done);
    void read_newest();
    void pass_on(topic_records it);
    void end_newest(bool whole);
    void read_next();
    void on_newest(http_result const& result, std::string const& body,
                   core::time_point began);
    void on_read(http_result const& result, std::string const& body,
                 core::time_point began);
    void accept_read(read_page page, core::time_point began);
    void fail(std::string const& why);
    void retry(std::string const& why, action read);
    void retry_newest(std::string const& why, action read);
    void wait(std::chrono::milliseconds delay, action act);
    void report_success(core::time_point as_of);
    void log_skipped(std::vector<std::string> const& all);
    void watch();

    hedged_calls calls_;
    topic_protocol const& protocol_;
    std::string store_;
    std::string topic_;
    topic_pace pace_;
    topic_handlers handlers_;
    asio::steady_timer timer_;
    asio::steady_timer watch_timer_;
    asio::steady_timer list_timer_; // until the topic is listed once more
    int turn_ = 0; // a read or a wait that comes later ends a wait
    core::offset next_ = 0;
    core::store_era era_ = 0;   // in which next_ and the pages were read
    bool has_position_ = false; // next_ follows what was passed on
    bool is_partial_ = false;   // the newest records were not read completely
    std::optional<newest_read> newest_;
    int failures_ = 0; // consecutive
    bool followed_ = false;
    bool idle_ = true; // no read is in flight
    topic_progress progress_;
    core::time_point stall_logged_at_{};
    bool era_is_logged_ = false; // that an answer states none, or a wrong one
};

// Describes a call that failed, for a log line.
std::string describe(http_result const& it);

} // namespace papayahook::runtime
