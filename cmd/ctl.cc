#include "cmd/ctl.h"

#include "explain/query.h"
#include "explain/text.h"
#include "gateway/http.h"
#include "operator/command.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace orioletrail {

namespace detail {

    namespace json = boost::json;

    constexpr Millis callTimeout { 10'000 };
    constexpr size_t maxTableBytes = size_t { 16 } << 20;
    // Words with which the command begins that a direct entry answers.
    constexpr std::string_view explainCommand = "explain placement";

    std::string joinWords(const std::vector<std::string>& words)
    {
        std::string line;
        for (const std::string& word : words)
            line += (line.empty() ? "" : " ") + word;
        return line;
    }

    bool isExplanation(const CtlSettings& settings)
    {
        const std::vector<std::string>& words = settings.commandWords;
        return words.size() >= 2 && words[0] + ' ' + words[1] == explainCommand;
    }

    // Makes the request for a command line. "apply FILE" sends the contents of the file. Returns
    // nothing and sets `reason` if the file cannot be read.
    std::optional<HttpRequest> makeRequest(const CtlSettings& settings, std::string& reason)
    {
        const std::string line = joinWords(settings.commandWords);
        if (isExplanation(settings)) {
            const auto target = makeExplainTarget(std::span(settings.commandWords).subspan(2), reason);
            return target ? std::optional(HttpRequest { "GET", *target, { { "Host", settings.entry } }, {} }) : std::nullopt;
        }
        constexpr std::string_view apply = "apply ";
        if (!line.starts_with(apply))
            return HttpRequest { "POST", "/v1/command", {}, line };
        const std::string path = line.substr(apply.size());
        std::ifstream file(path);
        if (!file) {
            reason = "cannot read \"" + path + '"';
            return std::nullopt;
        }
        return HttpRequest { "POST", "/v1/apply", {}, std::string { std::istreambuf_iterator<char>(file), {} } };
    }

    void printTable(const json::array& rows)
    {
        std::vector<size_t> widths;
        for (const json::value& row : rows) {
            widths.resize(std::max(widths.size(), row.as_array().size()));
            for (size_t i = 0; i < row.as_array().size(); ++i)
                widths[i] = std::max(widths[i], row.as_array()[i].as_string().size());
        }
        for (const json::value& row : rows) {
            for (size_t i = 0; i < row.as_array().size(); ++i)
                std::cout << std::left << std::setw(static_cast<int>(widths[i] + 2)) << row.as_array()[i].as_string().c_str();
            std::cout << '\n';
        }
    }

    // Prints the answer of a direct entry. Returns the exit code of the process.
    int printExplanation(const HttpResult& result, const CtlSettings& settings)
    {
        constexpr unsigned ok = 200;
        constexpr unsigned badRequest = 400;
        constexpr unsigned notFound = 404;
        if (const auto text = explanationText(result.body); result.ok() && result.status == ok && text) {
            std::cout << (settings.output == "json" ? result.body + '\n' : *text);
            return static_cast<int>(CommandStatus::Done);
        }
        boost::system::error_code error;
        const json::value value = json::parse(result.body, error);
        const json::object* object = error ? nullptr : value.if_object();
        const json::value* message = object ? object->if_contains("error") : nullptr;
        if (!result.ok() || !message || !message->is_string() || (result.status != badRequest && result.status != notFound)) {
            std::cerr << "orioletrail: no explanation from the metrics port of a direct entry at " << settings.entry << '\n';
            return static_cast<int>(CommandStatus::Unknown);
        }
        std::cerr << "orioletrail: " << message->get_string().c_str() << '\n';
        return static_cast<int>(result.status == badRequest ? CommandStatus::BadCommand : CommandStatus::NotFound);
    }

    // Prints the answer to a command. Returns the exit code of the process.
    int printResult(const HttpResult& result, const CtlSettings& settings)
    {
        boost::system::error_code error;
        const json::value value = json::parse(result.body, error);
        if (!result.ok() || error || !value.is_object() || !value.get_object().contains("rows")) {
            std::cerr << "orioletrail: no answer from the entry at " << settings.entry << '\n';
            return static_cast<int>(CommandStatus::Unknown);
        }
        const json::object& object = value.get_object();
        const auto status = static_cast<int>(object.at("status").as_int64());
        if (settings.output == "json") {
            std::cout << result.body << '\n';
            return status;
        }
        const std::string message(object.at("message").as_string());
        if (!message.empty())
            (status ? std::cerr << "orioletrail: " : std::cout) << message << '\n';
        printTable(object.at("rows").as_array());
        return status;
    }

} // namespace detail

void addCtlOptions(CLI::App& app, CtlSettings& settings)
{
    app.add_option("--entry", settings.entry, "IP:PORT of an entry's --admin, or of a direct entry's metrics port for: explain placement")->capture_default_str();
    app.add_option("--output", settings.output, "table or json")->check(CLI::IsMember({ "table", "json" }))->capture_default_str();
    app.add_option("command", settings.commandWords, "the command, such as: show zones")->required();
}

int runCtl(const CtlSettings& settings)
{
    const auto address = parseAddress(settings.entry);
    std::string reason = "--entry: \"" + settings.entry + "\" is not an address of the form IP:PORT";
    std::optional<HttpRequest> request;
    if (address)
        request = detail::makeRequest(settings, reason);
    if (!request) {
        std::cerr << "orioletrail: " << reason << '\n';
        return static_cast<int>(CommandStatus::BadCommand);
    }
    boost::asio::io_context context;
    HttpClient client(context.get_executor(), address->first, address->second);
    HttpResult result;
    boost::asio::co_spawn(
        context, [&]() -> Task<> {
            HttpCall call;
            call.request = *request;
            call.timeout = detail::callTimeout;
            call.maxBodyBytes = detail::maxTableBytes;
            result = co_await client.call(std::move(call));
        },
        boost::asio::detached);
    context.run();
    return detail::isExplanation(settings) ? detail::printExplanation(result, settings) : detail::printResult(result, settings);
}

} // namespace orioletrail
