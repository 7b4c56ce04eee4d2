#include "ledger/record.h"

#include "base/digest.h"

#include <boost/json.hpp>
#include <charconv>

namespace orioletrail {

namespace detail {

    namespace json = boost::json;

    constexpr size_t digestDigits = 32;
    constexpr size_t uuidLength = 36;
    constexpr size_t uuidVersionAt = 14;
    constexpr int64_t millisPerSecond = 1000;

    json::object toObject(const LedgerEntry& entry)
    {
        json::object object { { "b", entry.bodyDigest }, { "n", entry.claimant }, { "t", entry.claimedAt } };
        if (entry.answer) {
            object["s"] = entry.answer->status;
            object["c"] = entry.answer->contentType;
            object["o"] = entry.answer->body;
            object["x"] = entry.answer->truncated;
        }
        return object;
    }

    LedgerEntry toEntry(const json::object& object)
    {
        LedgerEntry entry;
        entry.bodyDigest = std::string(object.at("b").as_string());
        entry.claimant = std::string(object.at("n").as_string());
        entry.claimedAt = object.at("t").to_number<int64_t>();
        if (const json::value* status = object.if_contains("s"))
            entry.answer = RecordedAnswer { status->to_number<unsigned>(), std::string(object.at("c").as_string()),
                std::string(object.at("o").as_string()), object.at("x").as_bool() };
        return entry;
    }

} // namespace detail

std::string toJson(const LedgerRecord& record)
{
    boost::json::object entries;
    for (const auto& [key, entry] : record.entries)
        entries[key] = detail::toObject(entry);
    const boost::json::object object { { "owner", std::to_string(record.owner) }, { "token", record.token },
        { "entries", std::move(entries) } };
    return boost::json::serialize(object);
}

std::optional<LedgerRecord> parseLedgerRecord(std::string_view text, std::string& reason)
{
    boost::system::error_code error;
    const boost::json::value value = boost::json::parse(text, error);
    if (error) {
        reason = "ledger record is not JSON: " + error.message();
        return std::nullopt;
    }
    // Boost.JSON reports a field of the wrong type by exception; it ends here as a value.
    try {
        LedgerRecord record;
        const auto& object = value.as_object();
        record.owner = std::stoull(std::string(object.at("owner").as_string()));
        record.token = object.at("token").to_number<uint64_t>();
        for (const auto& entry : object.at("entries").as_object())
            record.entries.emplace(entry.key(), detail::toEntry(entry.value().as_object()));
        return record;
    } catch (const std::exception& failure) {
        reason = std::string("malformed ledger record: ") + failure.what();
        return std::nullopt;
    }
}

std::string ledgerKey(std::string_view account, std::string_view key)
{
    std::string text(account);
    text += '\n';
    text += key;
    return sha256Hex(text).substr(0, detail::digestDigits);
}

uint32_t ledgerShard(std::string_view key)
{
    return static_cast<uint32_t>(hash64(key) % ledgerShards);
}

std::string ledgerObject(std::string_view service, uint32_t shard)
{
    return "ledger/" + std::string(service) + "/" + std::to_string(shard);
}

std::optional<int64_t> mintTime(std::string_view key)
{
    if (key.size() != detail::uuidLength || key[8] != '-' || key[13] != '-' || key[detail::uuidVersionAt] != '7')
        return std::nullopt;
    const std::string digits = std::string(key.substr(0, 8)) + std::string(key.substr(9, 4));
    int64_t millis = 0;
    const char* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, millis, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return millis / detail::millisPerSecond;
}

} // namespace orioletrail
