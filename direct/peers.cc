#include "direct/peers.h"

#include "gateway/async.h"
#include "rejection/full-report.h"
#include "retry/crash-report.h"
#include "telemetry/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cmath>

namespace orioletrail {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::udp;

namespace detail {

    constexpr size_t maxDatagramBytes = 65'000;

    void readCounts(const json::object& object, std::string_view name, std::map<std::string, uint32_t, std::less<>>& counts)
    {
        const json::value* field = object.if_contains(name);
        if (!field || !field->is_object())
            return;
        for (const auto& [key, value] : field->get_object()) {
            boost::system::error_code error;
            const uint32_t count = value.is_number() ? value.to_number<uint32_t>(error) : 0;
            if (!error && count)
                counts.emplace(key, count);
        }
    }

    std::optional<uint64_t> readNumber(const json::object& object, std::string_view name)
    {
        const json::value* field = object.if_contains(name);
        if (!field || !field->is_number())
            return std::nullopt;
        boost::system::error_code error;
        const auto number = field->to_number<uint64_t>(error);
        return error ? std::nullopt : std::optional(number);
    }

    // Nothing for a value that is no finite number above 0.
    std::optional<double> readPositive(const json::value& value)
    {
        boost::system::error_code error;
        const double number = value.is_number() ? value.to_number<double>(error) : 0;
        return !error && std::isfinite(number) && number > 0 ? std::optional(number) : std::nullopt;
    }

    std::optional<std::string> readText(const json::object& object, std::string_view name)
    {
        const json::value* field = object.if_contains(name);
        return field && field->is_string() ? std::optional(std::string(field->get_string())) : std::nullopt;
    }

    bool readFlag(const json::object& object, std::string_view name)
    {
        const json::value* field = object.if_contains(name);
        return field && field->is_bool() && field->get_bool();
    }

    // Reads a process: the instance from the member `name`, the incarnation from the member "run".
    std::optional<InstanceProcess> readProcess(const json::object& object, std::string_view name)
    {
        const auto instance = readText(object, name);
        const auto incarnation = readNumber(object, "run");
        if (!instance || !incarnation)
            return std::nullopt;
        return InstanceProcess { *instance, *incarnation };
    }

    std::optional<LeadershipOffer> readOffer(const json::object& object)
    {
        const json::value* field = object.if_contains("handover");
        const json::object* handover = field ? field->if_object() : nullptr;
        if (!handover)
            return std::nullopt;
        const auto successor = readProcess(*handover, "to");
        const auto base = readNumber(*handover, "base");
        const auto end = readNumber(*handover, "end");
        if (!successor || !base || !end)
            return std::nullopt;
        return LeadershipOffer { *successor, { *base, *end } };
    }

    json::array writeProgress(const StoreProgress& progress)
    {
        json::array numbers { progress.era };
        numbers.insert(numbers.end(), progress.changes.begin(), progress.changes.end());
        return numbers;
    }

    // Returns no progress if the field is missing or malformed.
    StoreProgress readProgress(const json::object& message)
    {
        const json::value* field = message.if_contains("progress");
        const json::array* numbers = field ? field->if_array() : nullptr;
        StoreProgress progress;
        if (!numbers || numbers->size() != progress.changes.size() + 1)
            return progress;
        std::array<uint64_t, 4> read {};
        for (size_t index = 0; index < read.size(); ++index) {
            boost::system::error_code error;
            read[index] = (*numbers)[index].is_number() ? (*numbers)[index].to_number<uint64_t>(error) : 0;
            if (error || !(*numbers)[index].is_number())
                return {};
        }
        progress.era = read[0];
        std::copy(read.begin() + 1, read.end(), progress.changes.begin());
        return progress;
    }

    json::object writeCounts(const std::map<std::string, uint32_t, std::less<>>& counts)
    {
        json::object object;
        for (const auto& [key, count] : counts)
            object.emplace(key, count);
        return object;
    }

    json::object writeLimits(const NamedLimits& limits)
    {
        json::object object;
        for (const auto& [endpoint, limit] : limits)
            object.emplace(endpoint, json::object { { "process", limit.process }, { "perSecond", limit.perSecond }, { "ageMs", limit.age.count() } });
        return object;
    }

    // Ages in messages are cut, since large ones would overflow a time.
    Millis cappedAge(uint64_t millis)
    {
        constexpr uint64_t maxAgeMs = 24 * 3600 * uint64_t { 1000 };
        return Millis(static_cast<Millis::rep>(std::min(millis, maxAgeMs)));
    }

    NamedLimits readLimits(const json::object& message)
    {
        NamedLimits limits;
        const json::value* field = message.if_contains("limits");
        if (!field || !field->is_object())
            return limits;
        for (const auto& [endpoint, value] : field->get_object()) {
            const json::object* item = value.if_object();
            const json::value* rate = item ? item->if_contains("perSecond") : nullptr;
            const auto process = item ? readNumber(*item, "process") : std::nullopt;
            const auto age = item ? readNumber(*item, "ageMs") : std::nullopt;
            boost::system::error_code error;
            const double perSecond = rate && rate->is_number() ? rate->to_number<double>(error) : -1;
            if (process && age && !error && std::isfinite(perSecond) && perSecond >= 0)
                limits.emplace(endpoint, NamedLimit { *process, perSecond, cappedAge(*age) });
        }
        return limits;
    }

    json::object writeSent(const SentAges& sent)
    {
        json::object object;
        for (const auto& [endpoint, ages] : sent) {
            json::array list;
            for (const Millis age : ages)
                list.emplace_back(age.count());
            object.emplace(endpoint, std::move(list));
        }
        return object;
    }

    SentAges readSent(const json::object& message)
    {
        SentAges sent;
        const json::value* field = message.if_contains("sent");
        if (!field || !field->is_object())
            return sent;
        for (const auto& [endpoint, value] : field->get_object()) {
            if (!value.is_array())
                continue;
            for (const json::value& age : value.get_array()) {
                boost::system::error_code error;
                const uint64_t millis = age.is_number() ? age.to_number<uint64_t>(error) : 0;
                if (age.is_number() && !error)
                    sent[endpoint].push_back(cappedAge(millis));
            }
        }
        return sent;
    }

    std::optional<udp::endpoint> udpEndpoint(std::string_view address)
    {
        const auto parsed = parseAddress(address);
        if (!parsed)
            return std::nullopt;
        return udp::endpoint(asio::ip::make_address(parsed->first), parsed->second);
    }

} // namespace detail

std::string encodePeerStatus(const PeerStatus& status)
{
    json::object object;
    object["instance"] = status.sender.instance;
    object["run"] = status.sender.incarnation;
    object["address"] = status.address;
    object["inFlight"] = detail::writeCounts(status.inFlight);
    if (!status.zone.empty())
        object["zone"] = status.zone;
    if (status.progress != StoreProgress {})
        object["progress"] = detail::writeProgress(status.progress);
    if (status.processorShare > 0)
        object["processor"] = status.processorShare;
    if (status.configuration)
        object["configuration"] = status.configuration;
    if (!status.closedZones.empty())
        object["closedZones"] = json::array(status.closedZones.begin(), status.closedZones.end());
    if (!status.limits.empty())
        object["limits"] = detail::writeLimits(status.limits);
    if (!status.sent.empty())
        object["sent"] = detail::writeSent(status.sent);
    writeFullReports(status.full, object);
    writePoisonEvidence(status.poison, object);
    writeCrashReport(status.crashes, object);
    writeOutages(status.outages, object);
    if (status.leading) {
        object["leading"] = true;
        if (status.changingMap)
            object["changingMap"] = true;
        json::object slowness;
        for (const auto& [endpoint, factor] : status.slowness)
            slowness.emplace(endpoint, factor);
        object["slowness"] = std::move(slowness);
        writeGroups(status.groups, object);
    }
    if (status.stopping)
        object["stopping"] = true;
    if (const auto& offer = status.offer)
        object["handover"] = json::object { { "to", offer->successor.instance }, { "run", offer->successor.incarnation }, { "base", offer->leadership.base }, { "end", offer->leadership.end } };
    return json::serialize(object);
}

std::optional<PeerStatus> decodePeerStatus(std::string_view text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    const json::object* object = error ? nullptr : value.if_object();
    if (!object)
        return std::nullopt;
    const auto sender = detail::readProcess(*object, "instance");
    const auto address = detail::readText(*object, "address");
    if (!sender || !address)
        return std::nullopt;
    PeerStatus status;
    status.sender = *sender;
    status.address = *address;
    status.leading = detail::readFlag(*object, "leading");
    status.changingMap = detail::readFlag(*object, "changingMap");
    status.stopping = detail::readFlag(*object, "stopping");
    status.offer = detail::readOffer(*object);
    const json::value* slowness = object->if_contains("slowness");
    if (slowness && slowness->is_object())
        for (const auto& [endpoint, value] : slowness->get_object())
            if (const auto factor = detail::readPositive(value))
                status.slowness.emplace(endpoint, *factor);
    if (status.leading)
        status.groups = readGroups(*object);
    detail::readCounts(*object, "inFlight", status.inFlight);
    status.configuration = detail::readNumber(*object, "configuration").value_or(0);
    status.zone = detail::readText(*object, "zone").value_or("");
    status.progress = detail::readProgress(*object);
    const json::value* processor = object->if_contains("processor");
    if (processor)
        status.processorShare = detail::readPositive(*processor).value_or(0);
    const json::value* zones = object->if_contains("closedZones");
    if (zones && zones->is_array())
        for (const json::value& zone : zones->get_array())
            if (zone.is_string())
                status.closedZones.emplace(zone.get_string());
    status.limits = detail::readLimits(*object);
    status.sent = detail::readSent(*object);
    status.full = readFullReports(*object);
    status.poison = readPoisonEvidence(*object);
    status.crashes = readCrashReport(*object);
    status.outages = readOutages(*object);
    return status;
}

PeerExchange::PeerExchange(asio::any_io_executor executor, Hooks hooks, const PeerExchangeSettings& settings)
    : m_executor(executor)
    , m_hooks(std::move(hooks))
    , m_settings(settings)
    , m_socket(executor)
{
}

bool PeerExchange::start(const std::string& address)
{
    m_address = address;
    const auto endpoint = detail::udpEndpoint(address);
    boost::system::error_code error;
    if (!endpoint) {
        m_lastError = '"' + address + "\" is not an address of the form IP:PORT";
        return false;
    }
    m_socket.open(endpoint->protocol(), error);
    if (!error)
        m_socket.bind(*endpoint, error);
    if (error) {
        m_lastError = "cannot receive status messages of peers on " + address + ": " + error.message();
        return false;
    }
    asio::co_spawn(m_executor, receiveLoop(), asio::detached);
    asio::co_spawn(m_executor, sendLoop(), asio::detached);
    return true;
}

void PeerExchange::addPeer(const std::string& address)
{
    const auto endpoint = detail::udpEndpoint(address);
    if (!endpoint || address == m_address)
        return;
    Peer& peer = m_peers[address];
    peer.endpoint = *endpoint;
    peer.lastReceived = Clock::now();
}

Task<> PeerExchange::sendLoop()
{
    while (true) {
        co_await sleepFor(m_settings.interval);
        const TimePoint now = Clock::now();
        std::erase_if(m_peers, [&](const auto& peer) { return now - peer.second.lastReceived > m_settings.forgetAfter; });
        if (m_peers.empty())
            continue;
        const std::string datagram = encodePeerStatus(m_hooks.ownStatus());
        for (auto& [address, peer] : m_peers) {
            if (now - peer.lastReceived > m_settings.silentAfter && now - peer.lastSent < m_settings.silentInterval)
                continue;
            peer.lastSent = now;
            // A failed send needs no retry: the next round sends the whole status again.
            boost::system::error_code ignored;
            m_socket.send_to(asio::buffer(datagram), peer.endpoint, 0, ignored);
        }
    }
}

bool PeerExchange::tellFull(const FullReports& reports)
{
    if (reports.empty() || m_peers.empty() || m_peers.size() > FullEndpoints::maxToldAtOnce)
        return false;
    const TimePoint now = Clock::now();
    const std::string datagram = encodeFullMessage(reports);
    for (const auto& [address, peer] : m_peers) {
        if (now - peer.lastReceived > m_settings.silentAfter)
            continue;
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(datagram), peer.endpoint, 0, ignored);
    }
    return true;
}

Task<> PeerExchange::receiveLoop()
{
    std::vector<char> buffer(detail::maxDatagramBytes);
    while (true) {
        udp::endpoint from;
        boost::system::error_code error;
        const size_t bytes = co_await m_socket.async_receive_from(asio::buffer(buffer), from, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            continue;
        if (const auto full = decodeFullMessage({ buffer.data(), bytes })) {
            if (m_hooks.onFull)
                m_hooks.onFull(*full);
            continue;
        }
        std::optional<PeerStatus> status = decodePeerStatus({ buffer.data(), bytes });
        if (!status) {
            log(LogLevel::Warning, "invalid status message dropped", { { "from", from.address().to_string() } });
            continue;
        }
        if (!m_peers.contains(status->address))
            log(LogLevel::Info, "first status message of a peer received", { { "peer", status->sender.instance }, { "address", status->address } });
        addPeer(status->address);
        m_hooks.onStatus(std::move(*status));
    }
}

} // namespace orioletrail
