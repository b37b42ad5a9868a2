// Tests that the operators' page covers what the sources define.
#include "observe/timeline.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <regex>
#include <sstream>

using namespace turmericwell;

namespace {

std::string readSource(const std::string &path)
{
    const std::ifstream file(std::string(TW_SOURCE_DIR) + "/" + path);
    BOOST_REQUIRE_MESSAGE(file, path << " cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> matches(const std::string &text, const std::string &pattern)
{
    std::vector<std::string> result;
    const std::regex regex(pattern);
    for (std::sregex_iterator it(text.begin(), text.end(), regex); it != std::sregex_iterator(); ++it)
        result.push_back((*it)[1]);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(observeOperatorsPage)

// Guards against a new reason that operators cannot look up, on the page or in the timeline.
BOOST_AUTO_TEST_CASE(everyReasonIsExplained)
{
    const std::string page = readSource("docs/operators.md");
    const std::vector<std::string> reasons =
        matches(readSource("include/turmericwell/outcome.h"), "string_view [a-zA-Z]+ = \"([a-z_]+)\"");
    BOOST_TEST(reasons.size() >= 28U);
    for (const std::string &reason : reasons) {
        BOOST_TEST(!explainReason(reason).empty(), reason << " has no explanation in the timeline");
        BOOST_TEST(page.find("| `" + reason + "` |") != std::string::npos, reason << " is not on the page");
    }
}

// Guards against a new setting that operators cannot look up.
BOOST_AUTO_TEST_CASE(everySettingIsOnThePage)
{
    const std::string page = readSource("docs/operators.md");
    for (const std::string path : {"src/entry/entrysettings.cpp", "src/agentd/agentsettings.cpp"}) {
        const std::vector<std::string> keys =
            matches(readSource(path), "(?:reader\\.[a-zA-Z]+\\(|reader, )\"([a-zA-Z]+)\"");
        BOOST_TEST(keys.size() >= 10U);
        for (const std::string &key : keys)
            BOOST_TEST(page.find("| `" + key + "` |") != std::string::npos, key << " is not on the page");
    }
}

BOOST_AUTO_TEST_SUITE_END()
