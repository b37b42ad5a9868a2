// Tests that docs/operators.md covers the reasons and settings that the sources define.
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
    BOOST_REQUIRE_MESSAGE(file, "cannot read " << path);
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

// Guards against a new reason that is not documented in docs/operators.md or not explained in the timeline.
BOOST_AUTO_TEST_CASE(everyReasonIsExplained)
{
    const std::string page = readSource("docs/operators.md");
    const std::vector<std::string> reasons =
        matches(readSource("include/turmericwell/outcome.h"), "string_view [a-zA-Z]+ = \"([a-z_]+)\"");
    BOOST_TEST(reasons.size() >= 28U);
    for (const std::string &reason : reasons) {
        BOOST_TEST(!explainReason(reason).empty(), reason << " has no explanation in the timeline");
        BOOST_TEST(page.find("| `" + reason + "` |") != std::string::npos,
                   reason << " is not listed in docs/operators.md");
    }
}

// Guards against a new setting that is not documented in docs/operators.md.
BOOST_AUTO_TEST_CASE(everySettingIsOnThePage)
{
    const std::string page = readSource("docs/operators.md");
    for (const std::string path : {"src/entry/entrysettings.cpp", "src/agentd/agentsettings.cpp"}) {
        const std::vector<std::string> keys =
            matches(readSource(path), "(?:reader\\.[a-zA-Z]+\\(|reader, )\"([a-zA-Z]+)\"");
        BOOST_TEST(keys.size() >= 10U);
        for (const std::string &key : keys)
            BOOST_TEST(page.find("| `" + key + "` |") != std::string::npos,
                       key << " of " << path << " is not listed in docs/operators.md");
    }
}

BOOST_AUTO_TEST_SUITE_END()
