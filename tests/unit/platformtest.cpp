// Tests the translation to and from the users' platform: malformed input is rejected, and well-formed
// messages are translated in both directions.
#include "platform/ingress.h"
#include "platform/operatorrecords.h"
#include "platform/roleloop.h"
#include "platform/storecalls.h"
#include "platform/workercalls.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

namespace turmericwell::platform {

namespace {

HttpResult answer(int status, std::string body)
{
    return {.response = HttpResponse{.status = status, .body = std::move(body)}, .sent = true};
}

QueueTable queues()
{
    return {3,
            {{.name = "short", .host = "a.example", .pathPrefix = "/q/", .service = "kiosk"},
             {.name = "long",
              .host = "a.example",
              .pathPrefix = "/q/deep/",
              .service = "kiosk",
              .timeout = {900}}}};
}

ClientCall request(const std::string &method, const std::string &path, const std::string &body = "")
{
    return decodeClientRequest({.method = method,
                                .path = path,
                                .headers = {{"host", "a.example:80"}, {"deadline-ms", "4000"}},
                                .body = body},
                               queues());
}

int statusOf(const ClientCall &call)
{
    const auto *response = std::get_if<HttpResponse>(&call);
    return response ? response->status : 0;
}

constexpr std::string_view announcementText =
    R"({"service":"s","zone":"z","state":"ready","seq":4,"born":7,"labels":["a"],)"
    R"("capacity":{"cpu":16000,"memMb":32768}})";

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformTest)

// Guards against a route that matches requests of a more specific route.
BOOST_AUTO_TEST_CASE(longestPrefixWins)
{
    const ClientCall call = request("GET", "/q/deep/0123456789abcdef");
    BOOST_TEST_REQUIRE(std::holds_alternative<JobCall>(call));
    BOOST_TEST(std::get<JobCall>(call).wait.count == 900);
    BOOST_TEST(std::holds_alternative<CountCall>(request("GET", "/q/")));
    BOOST_TEST(statusOf(request("GET", "/other/0123456789abcdef")) == 404);
}

// Guards against creating jobs from bodies that cannot be parsed.
BOOST_AUTO_TEST_CASE(malformedJobsAreRejected)
{
    const std::string path = "/q/0123456789abcdef";
    for (const std::string_view body :
         {"", "[]", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})", R"({"steps":[{"count":-1}]})",
          R"({"steps":[{"count":"2"}]})", R"({"steps":[{"count":1,"gang":1}]})",
          R"({"steps":[{"count":1000000}]})", R"({"spec":7,"steps":[{"count":1}]})",
          R"({"steps":[{"count":1,"after":[4294967296]}]})"}) {
        BOOST_TEST_CONTEXT(body)
        BOOST_TEST(statusOf(request("POST", path, std::string(body))) == 400);
    }
    BOOST_TEST(statusOf(request("POST", "/q/0123456789ABCDEF", "{}")) == 404);
    BOOST_TEST(statusOf(request("PATCH", path)) == 405);
}

// Guards against fields that are lost in decoding.
BOOST_AUTO_TEST_CASE(jobIsDecodedCompletely)
{
    const ClientCall call =
        request("POST", "/q/0123456789abcdef",
                R"({"spec":"x","bestEffort":true,"steps":[{"count":2,"cpu":500,"memMb":64,)"
                R"("estimateMs":90},{"count":1,"after":[0],"requires":"b","antiAffinity":3}]})");
    BOOST_TEST_REQUIRE(std::holds_alternative<JobCall>(call));
    const JobCall &job = std::get<JobCall>(call);
    BOOST_TEST(job.job == 0x0123456789abcdefULL);
    // A best-effort job is answered when it ends, so the client's own deadline applies.
    BOOST_TEST(job.wait.count == 4'000);
    BOOST_TEST(job.spec->best_effort);
    BOOST_TEST(job.spec->steps[1]->after[0] == 0U);
    BOOST_TEST(job.spec->steps[1]->required_label == "b");
    BOOST_TEST(job.spec->steps[1]->worker_limit == 3U);
}

// Guards against telling a client to retry at once, or that its job is running although it was rejected.
BOOST_AUTO_TEST_CASE(rejectionsCarryRetryAfter)
{
    const HttpResponse refused =
        encodeJobReply(fleet::CallKind::Submit,
                       {.status = fleet::CallStatus::Refused, .retryAfter = {1'200}, .reason = "full"});
    BOOST_TEST(refused.status == 429);
    BOOST_TEST(refused.headers.at("Retry-After") == "2");
    BOOST_TEST(encodeJobReply(fleet::CallKind::Submit, {.status = fleet::CallStatus::Unknown}).status == 504);
    BOOST_TEST(encodeJobReply(fleet::CallKind::Query, {.status = fleet::CallStatus::NotKnown}).status == 410);
}

// Guards against using a worker whose announcement is malformed or came from another writer.
BOOST_AUTO_TEST_CASE(malformedAnnouncementsAreRejected)
{
    BOOST_TEST(decodeAnnouncement("w", announcementText).has_value());
    BOOST_TEST(!decodeAnnouncement("", announcementText).has_value());
    for (const std::string_view part :
         {"\"seq\":4", "\"service\":\"s\"", "\"cpu\":16000", "\"state\":\"ready\""}) {
        std::string text(announcementText);
        text.replace(text.find(part), part.size(), "\"other\":[]");
        BOOST_TEST_CONTEXT(text)
        BOOST_TEST(!decodeAnnouncement("w", text).has_value());
    }
    BOOST_TEST(!decodeAnnouncement("w", "\xff\x00").has_value());
}

// Guards against treating runs as lost because a row of the list could not be parsed.
BOOST_AUTO_TEST_CASE(listsAreDecodedCompletelyOrRejected)
{
    const std::string good = R"({"clockMs":5,"born":9,"running":[["0123456789abcdef.0.1.17",2,"c",41]],)"
                             R"("ended":[[58,"0123456789abcdef.0.1.9",1,"done",""]]})";
    const std::optional<WorkerLists> lists = decodeLists(*answer(200, good).response);
    BOOST_TEST_REQUIRE(lists.has_value());
    BOOST_TEST(lists->running[0].run.task.index == 17U);
    BOOST_TEST(lists->ended[0].number == 58U);
    std::string unknownWord = good;
    unknownWord.replace(unknownWord.find("done"), 4, "gone");
    BOOST_TEST(!decodeLists(*answer(200, unknownWord).response).has_value());
    BOOST_TEST(
        !decodeLists(*answer(200, R"({"clockMs":5,"running":[[1]],"ended":[]})").response).has_value());
}

// Guards against a rejection, sent a second time for an earlier order, that is taken for the one of this
// order.
BOOST_AUTO_TEST_CASE(outdatedAnswerLeavesTheOrderUnanswered)
{
    HttpResult result = answer(409, R"({"clockMs":5,"reason":"room"})");
    BOOST_TEST((decodeOrderAnswer(result) == OrderAnswer::NoRoom));
    result.isOutdated = true;
    BOOST_TEST((decodeOrderAnswer(result) == OrderAnswer::NoAnswer));
    BOOST_TEST(!decodeWorkerClock(result).has_value());
    BOOST_TEST(decodeClockNumber(*result.response).value_or(0) == 5U);
    BOOST_TEST(!decodeClockNumber({.status = 503}).has_value());
}

// Guards against treating an append as rejected although it may have been carried out.
BOOST_AUTO_TEST_CASE(storeAnswersKeepTheirMeaning)
{
    BOOST_TEST((decodeAppendAnswer(answer(200, R"({"offset":4,"end":5})")).status == StoreStatus::Done));
    BOOST_TEST((decodeAppendAnswer(answer(409, R"({"reason":"fenced"})")).status == StoreStatus::Fenced));
    const AppendAnswer sequence = decodeAppendAnswer(answer(409, R"({"reason":"seq","seq":7})"));
    BOOST_TEST((sequence.status == StoreStatus::WrongSequence));
    BOOST_TEST(sequence.expectedSequence == 7U);
    BOOST_TEST((decodeAppendAnswer(answer(503, "")).status == StoreStatus::Refused));
    BOOST_TEST((decodeAppendAnswer({.error = "timeout", .sent = true}).status == StoreStatus::NoAnswer));
    BOOST_TEST((decodeAppendAnswer({.error = "refused", .sent = false}).status == StoreStatus::Refused));
    BOOST_TEST((decodeAppendAnswer(answer(200, "not JSON")).status == StoreStatus::Invalid));
}

// Guards against records that change when they are encoded and decoded.
BOOST_AUTO_TEST_CASE(keyedRecordsRoundTrip)
{
    const std::vector<StoreRecord> records = {{.key = "a", .value = std::string("\0\x01", 2)}, {.key = "bc"}};
    const std::string bytes = encodeKeyedRecords(records);
    const auto decoded = decodeKeyedRecords(bytes, 40);
    BOOST_TEST_REQUIRE(decoded.has_value());
    BOOST_TEST_REQUIRE(decoded->size() == 2U);
    BOOST_TEST(decoded->at(0).value == records[0].value);
    BOOST_TEST(decoded->at(1).offset == 41U);
    for (size_t cut = 1; cut < bytes.size(); ++cut) {
        const auto partial = decodeKeyedRecords(std::string_view(bytes).substr(0, cut), 0);
        BOOST_TEST((!partial.has_value() || partial->size() == 1U));
    }
}

// Guards against a configuration that is applied in part.
BOOST_AUTO_TEST_CASE(configurationIsDecodedCompletelyOrRejected)
{
    BOOST_TEST(decodeConfiguration(R"({"version":7,"routes":[]})").has_value());
    BOOST_TEST(!decodeConfiguration(R"({"routes":[]})").has_value());
    BOOST_TEST(!decodeConfiguration(R"({"version":7,"routes":[{"name":"r"}]})").has_value());
    BOOST_TEST(!decodeConfiguration("[]").has_value());
}

// Guards against an agent that takes over what another writer announced: a number that is too large would
// make each later announcement of its own worker count as outdated.
BOOST_AUTO_TEST_CASE(announcementsOfOtherWritersAreRejected)
{
    const std::string valid(announcementText);
    BOOST_TEST(decodeAnnouncement("i-1", valid).has_value());
    const auto with = [&](const std::string &from, const std::string &to) {
        std::string text = valid;
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    const std::string nested(100'000, '[');
    const std::vector<std::string> malformed = {
        "",
        "\xff\xfe",
        nested,
        with(R"("seq":4)", R"("seq":18446744073709551616)"),
        with(R"("seq":4)", R"("seq":9007199254740992)"),
        with(R"("seq":4)", R"("seq":-1)"),
        with(R"("seq":4)", R"("seq":1.5)"),
        with(R"("born":7)", R"("born":9223372036854775807)"),
        with(R"("born":7)", R"("born":"7")"),
        with("16000", "4294967296"),
        with("32768", "1e300"),
        with(R"(["a"])", R"(["a",7])"),
        with(R"(["a"])", R"({"a":1})"),
        with(R"(["a"])", nested),
        with(R"("ready")", R"("idle")"),
        with(R"("seq":4)", R"("seq":4,"address":"10.0.0.1:65536")"),
        with(R"("seq":4)", R"("seq":4,"address":"10.0.0.1:0")"),
        with(R"("seq":4)", R"("seq":4,"address":"10.0.0.1:80x")"),
        with(R"("seq":4)", R"("seq":4,"address":"10.0.0.1")"),
        with(R"("seq":4)", R"("seq":4,"address":7)"),
    };
    for (const std::string &text : malformed) {
        BOOST_TEST_CONTEXT(text.substr(0, 200))
        BOOST_TEST(!decodeAnnouncement("i-1", text).has_value());
    }
}

// Guards against a reader that stops at one malformed record of a partition.
BOOST_AUTO_TEST_CASE(invalidKeyedRecordsCountButHaveNoKey)
{
    const std::string valid = encodeKeyedRecords(std::vector<StoreRecord>{{.key = "k", .value = "v"}});
    const std::string empty(4, '\0');
    const std::string longKey = std::string("\0\0\0\2", 4) + "\xff" + "k";
    const auto records = decodeKeyedRecords(empty + longKey + valid, 7);
    BOOST_TEST_REQUIRE(records.has_value());
    BOOST_TEST_REQUIRE(records->size() == 3U);
    BOOST_TEST(records->at(0).key.empty());
    BOOST_TEST(records->at(1).key.empty());
    BOOST_TEST(records->at(2).key == "k");
    BOOST_TEST(records->at(2).offset == 9U);
    BOOST_TEST(!decodeKeyedRecords(valid.substr(0, valid.size() - 1), 0).has_value());
}

// Guards against a page that is lost for one malformed item, and against a key that changes the query of the
// next page.
BOOST_AUTO_TEST_CASE(malformedItemsOfAPageAreSkipped)
{
    const NewestAnswer page = decodeNewestAnswer(answer(200,
                                                        R"({"items":[7,{"key":"a","value":"%"},{"key":"b)"
                                                        "\xff"
                                                        R"(&x=1","value":"dg==","offset":3}],)"
                                                        R"("hasMore":true,"end":9})"));
    BOOST_TEST((page.status == StoreStatus::Done));
    BOOST_TEST_REQUIRE(page.records.size() == 3U);
    BOOST_TEST(page.records[0].key.empty());
    BOOST_TEST(page.records[1].key.empty());
    BOOST_TEST(page.records[2].value == "v");
    BOOST_TEST(page.lastKey == "b\xff&x=1");
    BOOST_TEST(percentEncode(page.lastKey) == "b%FF%26x%3D1");
}

// Guards against a run number that is cut to 32 bits and then names another run.
BOOST_AUTO_TEST_CASE(runNumbersBeyondTheirRangeAreRejected)
{
    const std::string rows =
        R"({"clockMs":5,"running":[["0123456789abcdef.0.0.1",4294967297,""]],"ended":[]})";
    BOOST_TEST(!decodeLists(*answer(200, rows).response).has_value());
}

// Guards against a configuration whose numbers are cut to 32 bits.
BOOST_AUTO_TEST_CASE(configurationNumbersBeyondTheirRangeAreRejected)
{
    const auto configuration = [](const std::string &field) {
        return decodeConfiguration(
            R"({"version":3,"routes":[{"name":"n","host":"h","pathPrefix":"/","service":"s",)" + field
            + "}]}");
    };
    BOOST_TEST(configuration(R"("attempts":2)").has_value());
    BOOST_TEST(!configuration(R"("attempts":4294967297)").has_value());
    BOOST_TEST(!configuration(R"("priority":-1)").has_value());
    BOOST_TEST(!configuration(R"("timeoutMs":1e300)").has_value());
}

// Guards against a process that ends for one unexpected error.
BOOST_AUTO_TEST_CASE(exceptionsOfHandlersDoNotEndTheLoop)
{
    IoContext io(1);
    uint32_t errors = 0;
    bool reached = false;
    boost::asio::post(io, [] { throw std::runtime_error("first"); });
    boost::asio::post(io, [&] { reached = true; });
    runHandlers(io, [&](const std::exception &) { ++errors; });
    BOOST_TEST(errors == 1U);
    BOOST_TEST(reached);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell::platform
