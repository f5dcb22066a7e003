#include "lycheespool/document/section_parser.h"
#include "lycheespool/core/error.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <fstream>
#include <sstream>

using namespace lycheespool;

namespace {

std::string parseError(const std::string& section, const std::string& text, SchemaVersion schema = currentSchema)
{
    Document document;
    try {
        parseSection({ SectionId { section }, text, schema }, document);
    } catch (const Error& error) {
        const bool isInvalidArgument = error.kind() == ErrorKind::invalidArgument;
        CHECK(isInvalidArgument);
        CHECK_FALSE(error.remedy().empty());
        return error.what();
    }
    return "accepted";
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

std::string readFile(const std::string& name)
{
    std::ifstream file { std::string { LYCHEESPOOL_SOURCE_DIR } + name };
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

}

// Guards against an example document that the program rejects, and against data lost by splitting and joining.
TEST_CASE("the example document parses and is unchanged by splitting and joining")
{
    const auto sections = splitDocument(readFile("/examples/document.toml"));
    const auto document = parseSections(sections);
    CHECK(document.zones.zones.size() == 3);
    CHECK(document.zonesOutOfService().empty());
    REQUIRE(document.workspaces.size() == 4);
    const auto& training = document.workspaces.at(WorkspaceId { "training" });
    CHECK(training.priority == 500);
    CHECK(training.queue.jobs == 2000);
    REQUIRE(training.guarantees.size() == 2);
    CHECK(training.guarantees[0] == CellSettings { CellAdjacency::rack, 3, 48, 96 * 1024, 8, std::nullopt });
    CHECK(document.workspaces.at(WorkspaceId { "evaluation" }).guarantees.at(0).zone == ZoneId { "zone-2" });
    CHECK(document.limits.administrators == std::vector<std::string> { "ada", "nils" });
    const auto again = splitDocument(joinDocument(sections));
    REQUIRE(again.size() == sections.size());
    CHECK(parseSections(again).workspaces == document.workspaces);
}

// Guards against an example on the operators' page that the program rejects.
TEST_CASE("the example on the operators' page parses")
{
    const std::string fence = "```toml\n";
    const auto page = readFile("/docs/document.md");
    const auto start = page.find(fence);
    REQUIRE(start != std::string::npos);
    const auto text = page.substr(start + fence.size(), page.find("```", start + fence.size()) - start - fence.size());
    const auto document = parseSections(splitDocument(text));
    CHECK(document.zonesOutOfService() == std::vector { ZoneId { "zone-2" } });
    CHECK(document.workspaces.at(WorkspaceId { "training" }).guarantees.size() == 1);
}

// Guards against a typing error that is silently ignored, and against a message without the line of the error.
TEST_CASE("a parse error names section, line, value and remedy")
{
    const struct {
        std::string section;
        std::string text = "schema = 1\n";
        std::vector<std::string> parts;
    } cases[] {
        { "workspace.a", "[workspace.a]\npriorty = 5\n", { "workspace.a, line 2", "priorty = 5", "use one of" } },
        { "workspace.a", "[workspace.a]\npriority = \"high\"\n", { "line 2", "high", "whole number" } },
        { "workspace.a", "[workspace.a]\npriority = -1\n", { "line 2", "-1", "from 0 to 1000" } },
        { "workspace.a", "[workspace.a.queue]\njobs = 99999999999\n", { "line 2", "99999999999", "from 0" } },
        { "workspace.a", "[[workspace.a.guarantee]]\nadjacency = \"rack\"\ntasks = 65\ncores = 1\nmemory_gib = 1\n",
            { "line 3", "65", "from 1 to 64" } },
        { "workspace.a", "[[workspace.a.guarantee]]\nadjacency = \"row\"\n", { "line 2", "row", "worker" } },
        { "workspace.a", "[[workspace.a.guarantee]]\nadjacency = \"rack\"\ntasks = 1\n",
            { "line 1", "cores is missing", "add cores" } },
        { "workspace.a", "[workspace.a]\noperators = [\"x\", \"x\"]\n", { "line 2", "twice", "different" } },
        { "workspace.a", "[workspace.b]\n", { "line 1", "workspace.b", "use one of: a" } },
        { "workspace.a", "[workspace.a]\npriority = \n", { "workspace.a, line 2", "TOML" } },
        { "workspace.a", "[workspace.a]\npriority = 1\npriority = 2\n", { "line 3", "priority" } },
        { "zones", "[zones.z]\nin_service = 1\n", { "zones, line 2", "= 1", "true or false" } },
        { "zones", "[zones.z]\nin_service = false\n", { "line 1", "no reason", "add reason" } },
        { "zones", "[zones.Z]\nin_service = true\n", { "line 1", "\"Z\"", "lower-case" } },
        { "limits", "[limits]\nadministrators = []\n", { "limits, line 1", "administrators", "at least one" } },
        { "limits", "[zones]\n", { "line 1", "zones", "use one of: limits" } },
    };
    for (const auto& it : cases) {
        const auto message = parseError(it.section, it.text);
        for (const auto& part : it.parts)
            CHECK_MESSAGE(contains(message, part), message, " lacks ", part);
    }
}

// Guards against a program that misreads a document written for a newer version.
TEST_CASE("a newer schema and a missing one are rejected")
{
    const auto message = parseError("zones", "[zones]\n", SchemaVersion { 2 });
    CHECK(contains(message, "schema 2"));
    CHECK(contains(message, "upgrade"));
    CHECK_THROWS_AS(static_cast<void>(splitDocument("[zones]\n")), Error);
    CHECK_THROWS_AS(static_cast<void>(splitDocument("schema = 1\n[zones]\n[limits]\n[zones.a]\n")), Error);
    CHECK_THROWS_AS(static_cast<void>(splitDocument("schema = 1\n[zone]\n")), Error);
}

// Guards against a crash or an error of another kind on arbitrary input.
TEST_CASE("any text is either parsed or rejected as an invalid argument")
{
    CHECK(rc::check([] {
        const auto lines = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("[zones]",
            "[[zones]]", "[zones.a]", "in_service = true", "[limits", "administrators = [\"a\"]", "[", "]",
            "[workspace.", "[workspace]", "priority = 1", "a = {", "'''", "# x", "[workspace.a.queue]", "jobs = 1e9"));
        std::string text = "schema = 1\n";
        for (const auto& it : lines)
            text.append(it).append("\n");
        try {
            static_cast<void>(parseSections(splitDocument(text)));
        } catch (const Error& error) {
            RC_ASSERT(error.kind() == ErrorKind::invalidArgument);
        }
    }));
}
