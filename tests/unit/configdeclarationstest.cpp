// Tests of the validation and comparison of declarations.
#include "config/declarationdiff.h"
#include "config/declarations.h"

#include <boost/test/unit_test.hpp>

using namespace turmericwell;

namespace {

std::vector<std::string> problemsOf(const std::vector<DeclarationFile> &files)
{
    Problems problems;
    parseDeclarations(files, problems);
    std::vector<std::string> texts;
    for (const Problem &problem : problems)
        texts.push_back(problem.text());
    return texts;
}

void checkProblems(const std::vector<DeclarationFile> &files, const std::vector<std::string> &expected)
{
    const std::vector<std::string> found = problemsOf(files);
    BOOST_TEST(found == expected, boost::test_tools::per_element());
}

constexpr std::string_view service = R"({"services":[{"name":"s","calls":[{"name":"c"}]}]})";

} // namespace

BOOST_AUTO_TEST_SUITE(configDeclarations)

// Guards against references to undeclared items, which would otherwise be found only when a task is rejected.
BOOST_AUTO_TEST_CASE(danglingReferencesAreReportedTogether)
{
    checkProblems({{.name = "a.json", .text = std::string(service)}, {.name = "b.json", .text = R"({
            "zones":[{"name":"z","latencyMs":{"nowhere":1,"z":1}}],
            "targetGroups":[{"name":"g","service":"t","selector":{"zones":["z","y"]}}],
            "jobClasses":[{"name":"j","service":"s","call":"d"},{"name":"k","service":"u","call":"c"}]})"}},
                  {"b.json: zones[0].latencyMs.nowhere: availability zone \"nowhere\" is not declared",
                   "b.json: zones[0].latencyMs.z: names the availability zone itself",
                   "b.json: targetGroups[0].service: service \"t\" is not declared",
                   "b.json: targetGroups[0].selector.zones[1]: availability zone \"y\" is not declared",
                   "b.json: jobClasses[0].call: service \"s\" has no call \"d\"",
                   "b.json: jobClasses[1].service: service \"u\" is not declared"});
}

// Guards against one of two declarations with the same name being dropped silently.
BOOST_AUTO_TEST_CASE(duplicateNamesAcrossFilesNameBothPlaces)
{
    checkProblems({{.name = "a.json", .text = R"({"teams":[{"name":"t"}]})"},
                   {.name = "b.json", .text = R"({"teams":[{"name":"u"},{"name":"t"}]})"}},
                  {"b.json: teams[1].name: \"t\" is declared twice, first at a.json: teams[0]"});
    checkProblems(
        {{.name = "a.json", .text = R"({"services":[{"name":"s","calls":[{"name":"c"},{"name":"c"}]}]})"}},
        {"a.json: services[0].calls[1].name: \"c\" is declared twice in this service"});
}

// Guards against a value in the wrong unit or out of range being accepted.
BOOST_AUTO_TEST_CASE(unitsAndRangesAreChecked)
{
    checkProblems(
        {{.name = "a.json", .text = R"({"services":[{"name":"s","calls":[
            {"name":"c","deadlineSeconds":5},
            {"name":"d","deadlineMs":0},
            {"name":"e","deadlineMs":"5s"},
            {"name":"f","deadlineMs":100,"runMs":200},
            {"name":"g","maxStarts":2},
            {"name":"h","needs":{"memoryMb":4}}]}]})"}},
        {"a.json: services[0].calls[0].deadlineSeconds: is not a known key; did you mean deadlineMs?",
         "a.json: services[0].calls[1].deadlineMs: must be between 1 and 3600000, not 0",
         "a.json: services[0].calls[2].deadlineMs: must be a whole number",
         "a.json: services[0].calls[4].maxStarts: must be 1 for a call that is not repeatable",
         "a.json: services[0].calls[5].needs.memoryMb: is not a known key; did you mean memoryGb?",
         "a.json: services[0].calls[3].runMs: must not be above deadlineMs (100)"});
}

// Guards against a file being skipped silently because of invalid syntax or content.
BOOST_AUTO_TEST_CASE(brokenFilesAreProblems)
{
    BOOST_TEST(problemsOf({{.name = "a.json", .text = "{"}}).size() == 1U);
    BOOST_TEST(problemsOf({{.name = "a.json", .text = "null"}}).size() == 1U);
    BOOST_TEST(problemsOf({{.name = "a.json", .text = "[]"}}).size() == 1U);
    BOOST_TEST(problemsOf({{.name = "a.json", .text = R"({"zone":[]})"}}).size() == 1U);
    BOOST_TEST(problemsOf({{.name = "a.json", .text = R"({"teams":[{"name":"a b"}]})"}}).size() == 1U);
}

// Guards against a change that is missing from the differences shown to the operator before it is applied.
BOOST_AUTO_TEST_CASE(diffNamesEveryChangedValue)
{
    Problems problems;
    const Declarations before = parseDeclarations(
        std::vector<DeclarationFile>{
            {.name = "a.json", .text = R"({"zones":[{"name":"x"},{"name":"y"}],"teams":[{"name":"t"}]})"}},
        problems);
    const Declarations after = parseDeclarations(
        std::vector<DeclarationFile>{
            {.name = "a.json",
             .text = R"({"zones":[{"name":"x","state":"withdrawn"},{"name":"z"}],"teams":[{"name":"t"}]})"}},
        problems);
    BOOST_TEST(problems.empty());
    const std::vector<std::string> expected = {"~ zone x: state \"in_service\" -> \"withdrawn\"", "- zone y",
                                               "+ zone z"};
    BOOST_TEST(diffDeclarations(before, after) == expected, boost::test_tools::per_element());
    BOOST_TEST(diffDeclarations(after, after).empty());
}

BOOST_AUTO_TEST_SUITE_END()
