#include "codec/toml_reader.hpp"

#include <algorithm>

namespace papayahook::codec {

toml::table parse_toml(std::string const& file)
{
    try {
        return toml::parse_file(file);
    }
    catch (toml::parse_error const& e) {
        throw config_error(file + ":" + std::to_string(e.source().begin.line) +
                           ": " + std::string(e.description()));
    }
}

table_reader::table_reader(std::string file, toml::table const& table,
                           std::string name)
    : file_(std::move(file)), table_(&table), name_(std::move(name))
{
}

toml::node const* table_reader::find(std::string_view key)
{
    seen_.emplace(key);
    return table_->get(key);
}

void table_reader::fail(std::string_view key, std::string const& why) const
{
    auto const* const node = table_->get(key);
    auto const line = node != nullptr ? node->source().begin.line
                                      : table_->source().begin.line;
    auto const prefix = name_.empty() ? std::string{} : name_ + ".";
    throw config_error(file_ + ":" + std::to_string(line) + ": " + prefix +
                       std::string(key) + ": " + why);
}

std::string table_reader::text(std::string_view key, std::string fallback)
{
    auto const* const node = find(key);
    if (node == nullptr)
        return fallback;
    if (!node->is_string())
        fail(key, "a string is expected");
    return node->as_string()->get();
}

std::string table_reader::required_text(std::string_view key)
{
    auto out = text(key, "");
    if (out.empty())
        fail(key, "a string that is not empty is required");
    return out;
}

std::vector<std::string> table_reader::texts(std::string_view key)
{
    auto const* const node = find(key);
    std::vector<std::string> out;
    if (node == nullptr)
        return out;
    if (!node->is_array())
        fail(key, "an array of strings is expected");
    for (auto const& it : *node->as_array()) {
        if (!it.is_string())
            fail(key, "an array of strings is expected");
        out.push_back(it.as_string()->get());
    }
    return out;
}

std::int64_t table_reader::integer(std::string_view key, std::int64_t fallback,
                                   std::int64_t min, std::int64_t max)
{
    auto const* const node = find(key);
    if (node == nullptr)
        return fallback;
    auto const range = "an integer from " + std::to_string(min) + " to " +
                       std::to_string(max) + " is expected";
    if (!node->is_integer())
        fail(key, range);
    auto const out = node->as_integer()->get();
    if (out < min || out > max)
        fail(key, range);
    return out;
}

double table_reader::number(std::string_view key, double fallback, double min,
                            double max)
{
    auto const* const node = find(key);
    if (node == nullptr)
        return fallback;
    auto const value = node->value<double>();
    if (!value || *value < min || *value > max)
        fail(key, "a number from " + std::to_string(min) + " to " +
                      std::to_string(max) + " is expected");
    return *value;
}

bool table_reader::flag(std::string_view key, bool fallback)
{
    auto const* const node = find(key);
    if (node == nullptr)
        return fallback;
    if (!node->is_boolean())
        fail(key, "true or false is expected");
    return node->as_boolean()->get();
}

std::chrono::milliseconds table_reader::milliseconds(
    std::string_view key, std::chrono::milliseconds fallback,
    std::chrono::milliseconds min, std::chrono::hours max)
{
    bool const in_seconds = !key.ends_with("_ms");
    auto const unit = in_seconds ? 1000 : 1;
    auto const max_ms = std::chrono::milliseconds(max).count();
    auto const value =
        integer(key, fallback.count() / unit,
                std::max<std::int64_t>(1, min.count() / unit), max_ms / unit);
    return std::chrono::milliseconds(value * unit);
}

std::optional<table_reader> table_reader::table(std::string_view key)
{
    auto const* const node = find(key);
    if (node == nullptr)
        return std::nullopt;
    if (!node->is_table())
        fail(key, "a table is expected");
    return table_reader(file_, *node->as_table(), std::string(key));
}

std::vector<table_reader> table_reader::tables(std::string_view key)
{
    auto const* const node = find(key);
    std::vector<table_reader> out;
    if (node == nullptr)
        return out;
    if (!node->is_array_of_tables())
        fail(key, "an array of tables is expected");
    for (auto const& it : *node->as_array())
        out.emplace_back(file_, *it.as_table(), std::string(key));
    return out;
}

void table_reader::finish() const
{
    for (auto const& [key, node] : *table_)
        if (!seen_.contains(key.str()))
            fail(key.str(), "unknown key");
}

} // namespace papayahook::codec
