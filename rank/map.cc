#include "rank/map.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

namespace orioletrail {

namespace json = boost::json;

namespace detail {

    json::array toArray(const Placement& placement)
    {
        json::array experts;
        for (const auto& copies : placement.copies) {
            json::array list;
            for (const ExpertCopy& copy : copies)
                list.push_back(json::array { copy.rank, copy.share });
            experts.push_back(std::move(list));
        }
        return experts;
    }

    Placement toPlacement(const json::array& experts)
    {
        Placement placement;
        for (const json::value& list : experts) {
            auto& copies = placement.copies.emplace_back();
            for (const json::value& copy : list.as_array())
                copies.push_back({ copy.at(0).to_number<uint32_t>(), copy.at(1).to_number<double>() });
        }
        return placement;
    }

} // namespace detail

std::string toJson(const StoredMap& map)
{
    json::array layers;
    for (const Placement& placement : map.layers)
        layers.push_back(detail::toArray(placement));
    return json::serialize(json::object { { "version", map.version }, { "reason", map.reason }, { "layers", std::move(layers) } });
}

std::optional<StoredMap> parseMap(std::string_view text, std::string& reason)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error) {
        reason = "map is not JSON: " + error.message();
        return std::nullopt;
    }
    // Boost.JSON throws on a missing field or one of the wrong type.
    try {
        StoredMap map;
        map.version = value.at("version").to_number<uint64_t>();
        map.reason = std::string(value.at("reason").as_string());
        for (const json::value& layer : value.at("layers").as_array())
            map.layers.push_back(detail::toPlacement(layer.as_array()));
        return map;
    } catch (const std::exception& failure) {
        reason = std::string("malformed map: ") + failure.what();
        return std::nullopt;
    }
}

std::optional<std::vector<std::vector<double>>> parseCounts(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    if (error)
        return std::nullopt;
    try {
        auto counts = json::value_to<std::vector<std::vector<double>>>(value.at("counts"));
        for (const std::vector<double>& layer : counts)
            if (layer.empty() || std::any_of(layer.begin(), layer.end(), [](double count) { return !(count >= 0) || std::isinf(count); }))
                return std::nullopt;
        return counts;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace orioletrail
