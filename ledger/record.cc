#include "ledger/record.h"

#include "base/digest.h"

#include <boost/json.hpp>
#include <charconv>

namespace orioletrail {

namespace detail {

    namespace json = boost::json;

    constexpr size_t ledgerKeyDigits = 32;
    constexpr size_t uuidLength = 36;
    constexpr size_t uuidVersionOffset = 14;
    constexpr int64_t millisPerSecond = 1000;

    json::object toObject(const LedgerEntry& entry)
    {
        json::object object { { "b", entry.bodyDigest }, { "n", entry.claimId }, { "t", entry.claimedAt } };
        if (entry.answer) {
            object["s"] = entry.answer->status;
            object["c"] = entry.answer->contentType;
            object["o"] = entry.answer->body;
            object["x"] = entry.answer->truncated;
        }
        return object;
    }

    // An answer that could not be sent becomes a truncated one, so that the request does not run again.
    RecordedAnswer toAnswer(const json::object& object)
    {
        constexpr unsigned firstStatus = 200;
        constexpr unsigned lastStatus = 599;
        RecordedAnswer answer { object.at("s").to_number<unsigned>(), std::string(object.at("c").as_string()), std::string(object.at("o").as_string()), object.at("x").as_bool() };
        const bool hasStatus = answer.status >= firstStatus && answer.status <= lastStatus;
        if (hasStatus && (answer.contentType.empty() || isHeaderValue(answer.contentType)))
            return answer;
        return { firstStatus, {}, {}, true };
    }

    LedgerEntry toEntry(const json::object& object)
    {
        LedgerEntry entry;
        entry.bodyDigest = std::string(object.at("b").as_string());
        entry.claimId = std::string(object.at("n").as_string());
        entry.claimedAt = object.at("t").to_number<int64_t>();
        if (object.contains("s"))
            entry.answer = toAnswer(object);
        return entry;
    }

    json::object toObject(const LedgerEntries& entries)
    {
        json::object object;
        for (const auto& [key, entry] : entries)
            object[key] = toObject(entry);
        return object;
    }

    LedgerEntries toEntries(const json::object& object)
    {
        LedgerEntries entries;
        for (const auto& entry : object)
            entries.emplace(entry.key(), toEntry(entry.value().as_object()));
        return entries;
    }

    template <class Result, class Convert>
    std::optional<Result> parseObject(std::string_view text, std::string& reason, const Convert& convert)
    {
        boost::system::error_code error;
        const json::value value = json::parse(text, error);
        if (error) {
            reason = "ledger object is not valid JSON: " + error.message();
            return std::nullopt;
        }
        // Boost.JSON throws on missing fields and wrong types; callers expect an error value.
        try {
            return convert(value.as_object());
        } catch (const std::exception& failure) {
            reason = std::string("malformed ledger object: ") + failure.what();
            return std::nullopt;
        }
    }

} // namespace detail

std::string toJson(const LedgerRecord& record)
{
    const boost::json::object object { { "owner", std::to_string(record.owner) }, { "token", record.token },
        { "segments", boost::json::array(record.segments.begin(), record.segments.end()) }, { "entries", detail::toObject(record.entries) } };
    return boost::json::serialize(object);
}

std::optional<LedgerRecord> parseLedgerRecord(std::string_view text, std::string& reason)
{
    return detail::parseObject<LedgerRecord>(text, reason, [](const boost::json::object& object) {
        LedgerRecord record;
        record.owner = std::stoull(std::string(object.at("owner").as_string()));
        record.token = object.at("token").to_number<uint64_t>();
        record.entries = detail::toEntries(object.at("entries").as_object());
        for (const auto& segment : object.at("segments").as_array())
            record.segments.emplace_back(segment.as_string());
        return record;
    });
}

std::string segmentToJson(const LedgerEntries& entries)
{
    return boost::json::serialize(boost::json::object { { "entries", detail::toObject(entries) } });
}

std::optional<LedgerEntries> parseSegment(std::string_view text, std::string& reason)
{
    return detail::parseObject<LedgerEntries>(text, reason, [](const boost::json::object& object) { return detail::toEntries(object.at("entries").as_object()); });
}

std::string ledgerKey(std::string_view account, std::string_view key)
{
    std::string text(account);
    text += '\n';
    text += key;
    return sha256Hex(text).substr(0, detail::ledgerKeyDigits);
}

uint32_t shardOfLedgerKey(std::string_view key)
{
    return static_cast<uint32_t>(hash64(key) % ledgerShardCount);
}

std::string ledgerObjectKey(std::string_view service, uint32_t shard)
{
    return "ledger/" + std::string(service) + "/" + std::to_string(shard);
}

std::string segmentObjectKey(std::string_view service, uint32_t shard, std::string_view segment)
{
    return ledgerObjectKey(service, shard) + "/" + std::string(segment);
}

std::optional<int64_t> uuidCreationTime(std::string_view key)
{
    if (key.size() != detail::uuidLength || key[8] != '-' || key[13] != '-' || key[detail::uuidVersionOffset] != '7')
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
