#include "lycheespool/cli/operator_client.h"
#include "lycheespool/cli/roles.h"
#include "lycheespool/cli/settings_parser.h"
#include "lycheespool/core/error.h"
#include "lycheespool/document/section_parser.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>

namespace lycheespool {

namespace {

using nlohmann::json;

std::vector<Address> parseEntries(const std::string& list)
{
    std::vector<Address> addresses;
    std::istringstream stream { list };
    for (std::string it; std::getline(stream, it, ',');)
        addresses.push_back(parseAddress(it));
    return addresses;
}

void addEntries(SettingsParser& parser)
{
    parser.addText("entries", "HTTP addresses of entries, separated by commas, tried in turn", "127.0.0.1:8080");
}

HttpRequest get(std::string path)
{
    HttpRequest request;
    request.method = "GET";
    request.path = std::move(path);
    return request;
}

std::string readFile(const std::string& path)
{
    if (path == "-")
        return { std::istreambuf_iterator<char> { std::cin }, {} };
    std::ifstream file { path };
    if (!file)
        throw Error { ErrorKind::invalidArgument, "cannot read " + path,
            "check the path, or use - for standard input" };
    return { std::istreambuf_iterator<char> { file }, {} };
}

std::string generateToken()
{
    std::random_device device;
    return fmt::format("edit-{:08x}{:08x}{:08x}", device(), device(), device());
}

ExitCode print(const HttpResponse& response)
{
    fmt::print("{}", response.body);
    return response.status < 300 ? ExitCode::success : ExitCode::failure;
}

ExitCode show(const Args& args)
{
    SettingsParser parser { "document show", "Shows the document, or the text of one section." };
    addEntries(parser);
    parser.addText("section", "section, as in zones or workspace.tuning; all when empty", "");
    parser.parse(args);
    OperatorClient client { parseEntries(parser.required("entries")) };
    const auto section = parser.text("section");
    const auto response = client.send(get(section.empty() ? "/v1/document" : "/v1/document/sections/" + section));
    if (response.status >= 300 || section.empty())
        return print(response);
    fmt::print("{}", json::parse(response.body).at("text").get<std::string>());
    return ExitCode::success;
}

ExitCode history(const Args& args)
{
    SettingsParser parser { "document history", "Lists the revisions of a section, newest first." };
    addEntries(parser);
    parser.addText("section", "section, as in zones or workspace.tuning", "");
    parser.addNumber("limit", "maximum number of records", 100, 1, 1000);
    parser.parse(args);
    OperatorClient client { parseEntries(parser.required("entries")) };
    return print(client.send(get(
        fmt::format("/v1/document/history?section={}&limit={}", parser.required("section"), parser.number("limit")))));
}

ExitCode audit(const Args& args)
{
    SettingsParser parser { "document audit", "Lists the audit trail, newest first." };
    addEntries(parser);
    parser.addText("subject", "section, zone, worker or workspace; all when empty", "");
    parser.addText("who", "operator or process; all when empty", "");
    parser.addNumber("limit", "maximum number of records", 100, 1, 1000);
    parser.parse(args);
    OperatorClient client { parseEntries(parser.required("entries")) };
    return print(client.send(get(fmt::format("/v1/document/audit?subject={}&who={}&limit={}", parser.text("subject"),
        parser.text("who"), parser.number("limit")))));
}

ExitCode validate(const Args& args)
{
    SettingsParser parser { "document validate", "Checks the text of a section without an entry." };
    parser.addText("section", "section, as in zones or workspace.tuning", "");
    parser.addText("file", "file with the text, - for standard input", "-");
    parser.parse(args);
    SectionText content;
    content.section = SectionId { parser.required("section") };
    content.text = readFile(parser.required("file"));
    Document document;
    parseSection(content, document);
    fmt::print("section {} is valid\n", content.section.value());
    return ExitCode::success;
}

std::string currentRevision(OperatorClient& client, const std::string& section)
{
    const auto response = client.send(get("/v1/document/sections/" + section));
    if (response.status >= 300)
        throw Error { ErrorKind::unavailable, "the section cannot be read: " + response.body, "retry later" };
    return std::to_string(json::parse(response.body).at("revision").get<std::uint64_t>());
}

ExitCode edit(const Args& args)
{
    SettingsParser parser { "document edit", "Replaces the text of a section." };
    addEntries(parser);
    parser.addText("section", "section, as in zones or workspace.tuning", "");
    parser.addText("file", "file with the new text, - for standard input", "-");
    parser.addText("operator", "name of the operator", "");
    parser.addText("base", "revision of the section that the new text is based on; the current one when empty", "");
    parser.addText("token", "idempotency token, to repeat an edit; generated when empty", "");
    parser.addNumber("override", "1 to accept the warnings", 0, 0, 1);
    parser.parse(args);
    OperatorClient client { parseEntries(parser.required("entries")) };
    const auto section = parser.required("section");
    const auto base = parser.text("base").empty() ? currentRevision(client, section) : parser.text("base");
    const auto token = parser.text("token").empty() ? generateToken() : parser.text("token");
    HttpRequest request;
    request.method = "PUT";
    request.path = "/v1/document/sections/" + section + (parser.number("override") == 1 ? "?override=true" : "");
    request.body = readFile(parser.required("file"));
    request.fields = { { "If-Match", base }, { "From", parser.required("operator") }, { "Idempotency-Key", token } };
    fmt::print(stderr, "token of this edit: {}, base revision {}\n", token, base);
    return print(client.send(request));
}

}

ExitCode runDocument(const Args& args)
{
    const auto command = args.empty() ? std::string {} : args[0];
    const Args rest { args.empty() ? args.begin() : args.begin() + 1, args.end() };
    if (command == "show")
        return show(rest);
    if (command == "history")
        return history(rest);
    if (command == "audit")
        return audit(rest);
    if (command == "validate")
        return validate(rest);
    if (command == "edit")
        return edit(rest);
    throw Error { ErrorKind::invalidSetting, "unknown document command '" + command + "'",
        "use show, validate, edit, history or audit" };
}

ExitCode runStatus(const Args& args)
{
    SettingsParser parser { "status", "Shows the state of the system as seen by the first reachable entry." };
    addEntries(parser);
    parser.parse(args);
    OperatorClient client { parseEntries(parser.required("entries")) };
    return print(client.send(get("/v1/status")));
}

}
