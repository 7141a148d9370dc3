// Reads TOML tables with checks; each error message names file, line and key.
#pragma once

#include "papayahook/papayahook.hpp"

#include <limits>
#include <set>
#include <stdexcept>
#include <string_view>
#include <toml++/toml.h>

namespace papayahook::codec {

// The message has the form "FILE:LINE: key: what was expected".
struct config_error : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Throws config_error if the file cannot be parsed.
toml::table parse_toml(std::string const& file);

// Reads the keys of one table. The functions that read a key throw config_error
// for a value of the wrong type or out of range; finish() throws it for keys
// that were not read.
class table_reader
{
public:
    table_reader(std::string file, toml::table const& table, std::string name);

    std::string text(std::string_view key, std::string fallback);
    std::string required_text(std::string_view key);
    std::vector<std::string> texts(std::string_view key);
    std::int64_t integer(std::string_view key, std::int64_t fallback,
                         std::int64_t min, std::int64_t max);
    double number(std::string_view key, double fallback, double min,
                  double max);
    bool flag(std::string_view key, bool fallback);
    // The key ends in "_ms" or "_s"; the value is an integer in that unit.
    std::chrono::milliseconds milliseconds(std::string_view key,
                                           std::chrono::milliseconds fallback,
                                           std::chrono::milliseconds min,
                                           std::chrono::hours max);
    std::optional<table_reader> table(std::string_view key);
    std::vector<table_reader> tables(std::string_view key);
    void finish() const;
    [[noreturn]] void fail(std::string_view key, std::string const& why) const;

private:
    toml::node const* find(std::string_view key);

    std::string file_;
    toml::table const* table_;
    std::string name_;
    std::set<std::string, std::less<>> seen_;
};

} // namespace papayahook::codec
