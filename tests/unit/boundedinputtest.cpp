// Tests of the limits on input: the budget of buffered bytes, the settings and what is derived from them, the
// limit of held tasks, and the HTTP server and client beside peers that break the limits.
#include "fleet/fleetsettings.h"
#include "jobschedulerfixture.h"
#include "net/http.h"
#include "net/inputlimits.h"
#include "platform/wirewords.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

namespace turmericwell {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

Problems problemsOf(const std::string &extra)
{
    Problems problems;
    parseFleetEntrySettings("e.json",
                            R"({"name":"e","zone":"z","store":"127.0.0.1:1","peerListen":"127.0.0.1:2",)"
                            R"("metricsListen":"127.0.0.1:3","clientListen":"127.0.0.1:4",)"
                            R"("readyListen":"127.0.0.1:5")"
                                + extra + "}",
                            problems);
    return problems;
}

// A server on a thread of its own that answers each request with the size of its body.
class SizeServer
{
public:
    explicit SizeServer(HttpServerOptions options)
    {
        options.onRejected = [this](std::string_view limit, const std::string &) {
            const std::lock_guard lock(m_mutex);
            m_rejected.emplace_back(limit);
        };
        tcp::acceptor probe(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        m_endpoint = probe.local_endpoint();
        probe.close();
        m_server = std::make_unique<HttpServer>(m_io, Address{.host = "127.0.0.1", .port = m_endpoint.port()},
                                                std::move(options),
                                                [](const HttpRequest &request, const HttpResponder &respond) {
                                                    respond({.body = std::to_string(request.body.size())});
                                                });
        m_thread = std::thread([this] { m_io.run(); });
    }
    ~SizeServer()
    {
        m_io.stop();
        m_thread.join();
    }
    SizeServer(const SizeServer &) = delete;
    SizeServer &operator=(const SizeServer &) = delete;

    tcp::socket connect()
    {
        tcp::socket socket(m_clientIo);
        socket.connect(m_endpoint);
        return socket;
    }
    // Sends the text and returns all that is received until the server closes the connection.
    std::string exchange(const std::string &text)
    {
        tcp::socket socket = connect();
        boost::system::error_code error;
        asio::write(socket, asio::buffer(text), error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }
    std::vector<std::string> rejected()
    {
        const std::lock_guard lock(m_mutex);
        return m_rejected;
    }

private:
    IoContext m_io;
    IoContext m_clientIo;
    tcp::endpoint m_endpoint;
    std::mutex m_mutex;
    std::vector<std::string> m_rejected;
    std::unique_ptr<HttpServer> m_server;
    std::thread m_thread;
};

std::string post(const std::string &headers, const std::string &body)
{
    return "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + "\r\n" + body;
}

std::string withLength(const std::string &headers, size_t bytes)
{
    return post(headers + "Content-Length: " + std::to_string(bytes) + "\r\n", std::string(bytes, 'b'));
}

bool hasStatus(const std::string &answer, int status)
{
    return answer.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

// Sends one answer to the first request, and as much of the repeated text as the client takes.
std::string errorOfAnswer(const std::string &first, const std::string &repeated)
{
    IoContext serverIo;
    tcp::acceptor acceptor(serverIo, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::thread server([&] {
        tcp::socket socket = acceptor.accept();
        boost::system::error_code error;
        asio::write(socket, asio::buffer(first), error);
        for (size_t sent = 0; !error && sent < (64U << 20U); sent += repeated.size())
            asio::write(socket, asio::buffer(repeated), error);
    });
    IoContext io;
    HttpClient client(io, {.host = "127.0.0.1", .port = acceptor.local_endpoint().port()});
    std::string error;
    client.request({.method = "GET", .path = "/"}, Millis{20'000},
                   [&](const HttpResult &result) { error = result.error; });
    io.run();
    server.join();
    return error;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BoundedInputTest)

// Guards against a few large requests that keep out all small ones, and against bytes that are counted twice.
BOOST_AUTO_TEST_CASE(budgetKeepsAPartForSmallRequests)
{
    ByteBudget budget(400'000);
    BOOST_TEST(budget.reserve(0, 250'000));
    BOOST_TEST(!budget.reserve(0, 60'000));
    BOOST_TEST(!budget.reserve(30'000, 60'000));
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(budget.reserve(0, 32'000));
    BOOST_TEST(budget.used() == 378'000U);
    BOOST_TEST(!budget.reserve(0, 30'000));
    budget.release(250'000);
    BOOST_TEST(budget.used() == 128'000U);
    BOOST_TEST(budget.reserve(32'000, 60'000));
}

// Guards against defaults that an ordinary client reaches on the smallest instance, and against defaults of
// the structure that differ from the derived ones.
BOOST_AUTO_TEST_CASE(defaultsOfTheSmallestInstance)
{
    const InputLimits limits = InputLimits::derived(120, 3'075);
    const InputLimits none;
    BOOST_TEST(limits.maxConnections == none.maxConnections);
    BOOST_TEST(limits.maxBufferedRequestMb == none.maxBufferedRequestMb);
    BOOST_TEST(limits.maxOpenCalls == none.maxOpenCalls);
    BOOST_TEST(limits.maxHeldTasks == none.maxHeldTasks);
    BOOST_TEST(limits.maxUnknownLinks == none.maxUnknownLinks);
    BOOST_TEST(limits.maxInternalConnections == none.maxInternalConnections);
    // 64 connections, each with a request of the largest ordinary size.
    ByteBudget budget(uint64_t{limits.maxBufferedRequestMb} << 20U);
    for (int i = 0; i < 64; ++i)
        BOOST_TEST(budget.reserve(0, 262'144 + 16'384 + 32'768));
    // Each open call takes a connection. The others are left to clients that would not be heard otherwise.
    BOOST_TEST(limits.maxOpenCalls < limits.maxConnections);
    BOOST_TEST(limits.maxOpenCalls >= limits.maxConnections / 4 * 3);
    BOOST_TEST(limits.maxOpenCalls >= 64 * 16U);
    BOOST_TEST(limits.maxKnownJobs == none.maxKnownJobs);
    BOOST_TEST(limits.maxConnections + limits.maxUnknownLinks + 2 * limits.maxInternalConnections < 3'075U);
}

// Guards against more connections than the process can have descriptors, whatever the settings say.
BOOST_AUTO_TEST_CASE(connectionsStayBelowTheDescriptorsOfTheProcess)
{
    const InputLimits limits = InputLimits::derived(512, 3'075).withinDescriptors(200);
    BOOST_TEST(limits.maxConnections + limits.maxUnknownLinks + 2 * limits.maxInternalConnections < 200U);
    BOOST_TEST(limits.maxOpenCalls < limits.maxConnections);
    BOOST_TEST(InputLimits::derived(512, 3'075).withinDescriptors(65'536).maxConnections == 2'563U);
}

// Guards against invalid limits that are accepted, or rejected without naming the key.
BOOST_AUTO_TEST_CASE(invalidLimitsAreErrors)
{
    BOOST_TEST(problemsOf("").empty());
    BOOST_TEST(
        problemsOf(R"(,"memoryMb":512,"maxDescriptors":4096,"maxConnections":3000,)"
                   R"("maxConnectionsPerClient":64,"maxBufferedRequestMb":64,"maxOpenCalls":100,)"
                   R"("maxHeldTasks":1000,"maxRequestHeaderBytes":16384,"maxRequestBodyBytes":262144,)"
                   R"("requestReadTimeoutMs":3000,"idleTimeoutMs":15000,"responseWriteTimeoutMs":5000)")
            .empty());
    const std::vector<std::pair<std::string, std::string>> invalid = {
        {R"(,"memoryMb":0)", "memoryMb"},
        {R"(,"maxDescriptors":-1)", "maxDescriptors"},
        {R"(,"maxDescriptors":1000,"maxConnections":950)", "maxConnections"},
        {R"(,"maxRequestHeaderBytes":10)", "maxRequestHeaderBytes"},
        {R"(,"requestReadTimeoutMs":"5s")", "requestReadTimeoutMs"},
        {R"(,"maxBufferedRequestMb":1)", "maxBufferedRequestMb"},
        {R"(,"memoryMb":64,"maxBufferedRequestMb":65)", "maxBufferedRequestMb"},
        {R"(,"maxOpenCalls":0)", "maxOpenCalls"},
        {R"(,"maxHeldTasks":1.5)", "maxHeldTasks"},
        {R"(,"maxKnownJobs":-1)", "maxKnownJobs"},
        {R"(,"maxFoo":1)", "maxFoo"},
    };
    for (const auto &[text, key] : invalid) {
        const Problems problems = problemsOf(text);
        BOOST_TEST_CONTEXT(text)
        {
            BOOST_TEST_REQUIRE(problems.size() == 1U);
            BOOST_TEST(problems[0].key == key);
            BOOST_TEST(problems[0].file == "e.json");
        }
    }
}

// Guards against a log that hostile clients fill, and against rejections that no line counts.
BOOST_AUTO_TEST_CASE(rejectionsOfOneLimitShareALine)
{
    RejectionCounts counts;
    BOOST_TEST(counts.add("header", {1'000}).value_or(0) == 1U);
    BOOST_TEST(!counts.add("header", {1'500}));
    BOOST_TEST(counts.add("body", {1'500}).value_or(0) == 1U);
    BOOST_TEST(!counts.add("header", {1'999}));
    BOOST_TEST(counts.add("header", {2'000}).value_or(0) == 3U);
}

// Guards against tasks without a bound, against the refusal of a single large job, and against room that is
// not returned when jobs end.
BOOST_AUTO_TEST_CASE(heldTasksAreBounded)
{
    JobSchedulerFixture fixture;
    JobScheduler scheduler({.partitions = 1, .maxHeldTasks = 100}, fixture.pool, fixture.effects,
                           fixture.log);
    scheduler.openPartition(0, 1);
    scheduler.loaded(0, fixture.now);
    scheduler.setExpectedAgents(0, {1, 2}, true);
    std::vector<JobReply> replies;
    const auto submit = [&](JobId id, uint32_t tasks) {
        JobSpec spec = JobSchedulerFixture::job(id, tasks, true);
        spec.steps[0]->cpu_milli = 0;
        scheduler.submit(std::move(spec), {.wait = {1'000}}, fixture.now,
                         [&](JobReply reply) { replies.push_back(std::move(reply)); });
    };
    submit(1, 500);
    BOOST_TEST(replies.empty());
    submit(2, 1);
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_CHECK(replies[0].status == fleet::CallStatus::Refused);
    BOOST_TEST(replies[0].retryAfter.count > 0);
    BOOST_TEST(scheduler.heldTasks() == 505U);
    // The rejected job is not known: nothing of it can run.
    BOOST_CHECK(scheduler.query(2).status == fleet::CallStatus::NotKnown);
    scheduler.closePartition(0, fixture.now);
    BOOST_TEST(scheduler.heldTasks() == 0U);
}

// Guards against memory for the texts of jobs that wait: the names of a step take more than its tasks.
BOOST_AUTO_TEST_CASE(textsOfHeldJobsAreBounded)
{
    JobSchedulerFixture fixture;
    JobScheduler scheduler({.partitions = 1, .maxHeldTasks = 1'000}, fixture.pool, fixture.effects,
                           fixture.log);
    scheduler.openPartition(0, 1);
    scheduler.loaded(0, fixture.now);
    scheduler.setExpectedAgents(0, {1, 2}, true);
    size_t textBytes = 0;
    size_t accepted = 0;
    for (JobId id = 1; id <= 200; ++id) {
        JobSpec spec = JobSchedulerFixture::job(id, 1, true);
        spec.steps[0]->cpu_milli = 0;
        spec.steps[0]->image = std::string(1'024, 'i');
        spec.payload = std::string(4'000, 'p');
        bool isRejected = false;
        scheduler.submit(std::move(spec), {.wait = {1'000}}, fixture.now,
                         [&](const JobReply &) { isRejected = true; });
        accepted += isRejected ? 0 : 1;
        textBytes += isRejected ? 0 : 5'024;
    }
    BOOST_TEST(accepted > 10U);
    // As much as 1,000 tasks take.
    BOOST_TEST(textBytes <= 256'000U);
}

// Guards against a cancel that is acknowledged and forgotten, and against one of a job that nobody knows
// which is repeated to keep the records of others.
BOOST_AUTO_TEST_CASE(cancelsOfUnknownJobsAreKeptOrRefused)
{
    JobSchedulerFixture fixture;
    JobScheduler scheduler({.partitions = 1, .maxUnknownCancels = 3, .retention = {10'000}}, fixture.pool,
                           fixture.effects, fixture.log);
    scheduler.openPartition(0, 1);
    scheduler.loaded(0, fixture.now);
    scheduler.setExpectedAgents(0, {}, true);
    fleet::CallStatus status = fleet::CallStatus::Unknown;
    const auto cancel = [&](JobId id) {
        scheduler.cancel(id, {.wait = {1'000}}, fixture.now,
                         [&](const JobReply &reply) { status = reply.status; });
        fixture.storeAll();
        return status;
    };
    for (JobId id = 1; id <= 3; ++id)
        BOOST_CHECK(cancel(id) == fleet::CallStatus::NotKnown);
    BOOST_CHECK(cancel(4) == fleet::CallStatus::Refused);
    fixture.now = fixture.now + Millis{6'000};
    BOOST_CHECK(cancel(1) == fleet::CallStatus::NotKnown);
    fixture.now = fixture.now + Millis{6'000};
    scheduler.advance(fixture.now);
    // Those of 2 and 3 are over, that of 1 is not.
    BOOST_CHECK(cancel(5) == fleet::CallStatus::NotKnown);
    BOOST_CHECK(cancel(6) == fleet::CallStatus::NotKnown);
    BOOST_CHECK(cancel(7) == fleet::CallStatus::Refused);
    std::vector<JobReply> replies;
    scheduler.submit(JobSchedulerFixture::job(1, 1, true), {.wait = {1'000}}, fixture.now,
                     [&](JobReply reply) { replies.push_back(std::move(reply)); });
    BOOST_TEST_REQUIRE(replies.size() == 1U);
    BOOST_CHECK(replies[0].status == fleet::CallStatus::NotKnown);
}

// Guards against ended jobs without a limit of their number, and against rejecting a job that is known.
BOOST_AUTO_TEST_CASE(endedJobsAreBounded)
{
    JobSchedulerFixture fixture;
    JobScheduler scheduler({.partitions = 1, .maxKnownJobs = 5, .retention = {10'000}}, fixture.pool,
                           fixture.effects, fixture.log);
    scheduler.openPartition(0, 1);
    scheduler.loaded(0, fixture.now);
    scheduler.setExpectedAgents(0, {}, true);
    std::vector<fleet::CallStatus> statuses;
    const auto endJob = [&](JobId id) {
        scheduler.submit(JobSchedulerFixture::job(id, 1, true), {.wait = {60'000}}, fixture.now,
                         [&](const JobReply &reply) { statuses.push_back(reply.status); });
        scheduler.cancel(id, {.wait = {1'000}}, fixture.now, [](const JobReply &) {});
        fixture.storeAll();
        scheduler.advance(fixture.now);
    };
    for (JobId id = 1; id <= 8; ++id)
        endJob(id);
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), fleet::CallStatus::Refused) == 3);
    BOOST_CHECK(scheduler.query(5).status == fleet::CallStatus::Done);
    BOOST_CHECK(scheduler.query(6).status == fleet::CallStatus::NotKnown);
    fixture.now = fixture.now + Millis{11'000};
    scheduler.advance(fixture.now);
    statuses.clear();
    endJob(9);
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), fleet::CallStatus::Refused) == 0);
}

// Guards against trailers, headers, lines and chunk extensions that are read without a limit.
BOOST_AUTO_TEST_CASE(serverRejectsEndlessParts)
{
    SizeServer server({.maxBodyBytes = 262'144});
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    std::string lines;
    while (lines.size() < 100'000)
        lines += "Field: 0123456789\r\n";
    BOOST_TEST(hasStatus(server.exchange(post(chunked, "2\r\nab\r\n0\r\n" + lines)), 431));
    BOOST_TEST(hasStatus(server.exchange(post(chunked, "2;x=" + std::string(100'000, 'a'))), 431));
    BOOST_TEST(hasStatus(server.exchange(post(lines, "")), 431));
    BOOST_TEST(hasStatus(server.exchange("GET /" + std::string(100'000, 'a')), 431));
    BOOST_TEST(hasStatus(server.exchange(withLength("", 262'145)), 413));
    BOOST_TEST(server.rejected() == (std::vector<std::string>{"chunk", "chunk", "header", "header", "body"}),
               boost::test_tools::per_element());
}

// Guards against limits that an ordinary request reaches, and against chunks or trailers that are misread.
BOOST_AUTO_TEST_CASE(serverTakesOrdinaryRequests)
{
    SizeServer server({.maxBodyBytes = 262'144, .budget = std::make_shared<ByteBudget>(1'000'000)});
    const std::string large = "X: " + std::string(16'384, 'h') + "\r\n";
    BOOST_TEST(server.exchange(withLength(large, 262'144)).ends_with("262144"));
    std::string chunks;
    for (int i = 0; i < 262'144; ++i)
        chunks += "1\r\nx\r\n";
    BOOST_TEST(server.exchange(post("Transfer-Encoding: chunked\r\n", chunks + "0\r\nT: 1\r\n\r\n"))
                   .ends_with("262144"));
    BOOST_TEST(server.rejected().empty());
}

// Guards against pipelined requests that are lost or answered out of order, and against a request that is
// read wrongly if it arrives in small pieces.
BOOST_AUTO_TEST_CASE(serverAnswersPipelinedRequestsInOrder)
{
    SizeServer server({});
    std::string all;
    for (size_t i = 1; i <= 50; ++i)
        all += "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(i) + "\r\n\r\n"
            + std::string(i, 'b');
    all += withLength("", 51);
    tcp::socket socket = server.connect();
    boost::system::error_code error;
    for (size_t sent = 0; sent < all.size(); sent += 7)
        asio::write(socket, asio::buffer(std::string_view(all).substr(sent, 7)), error);
    std::string answers;
    asio::read(socket, asio::dynamic_buffer(answers), error);
    size_t at = 0;
    for (size_t i = 1; i <= 51; ++i) {
        at = answers.find("\r\n\r\n" + std::to_string(i), at);
        BOOST_TEST_REQUIRE(at != std::string::npos);
        ++at;
    }
}

// Guards against connections that stay open without a request, or in the middle of one.
BOOST_AUTO_TEST_CASE(serverClosesSlowConnections)
{
    SizeServer server({.idleTimeout = {200}, .readTimeout = {200}});
    BOOST_TEST(server.exchange("") == "");
    BOOST_TEST(server.exchange("POST /a HTTP/1.1\r\nHost") == "");
    BOOST_TEST(server.exchange("POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nab") == "");
    BOOST_TEST(server.rejected() == (std::vector<std::string>{"read_time", "read_time"}),
               boost::test_tools::per_element());
}

// Guards against bytes beyond the budget, and against a budget that is not returned.
BOOST_AUTO_TEST_CASE(serverKeepsTheBudget)
{
    const auto budget = std::make_shared<ByteBudget>(200'000);
    SizeServer server({.maxBodyBytes = 262'144, .budget = budget});
    const std::string answer = server.exchange(withLength("", 200'000));
    BOOST_TEST(hasStatus(answer, 503));
    BOOST_TEST(answer.find("Retry-After: 1\r\n") != std::string::npos);
    BOOST_TEST(server.exchange(withLength("", 100'000)).ends_with("100000"));
    BOOST_TEST(server.exchange(withLength("", 100'000)).ends_with("100000"));
}

// Guards against an ordinary client that finds no connection because idle ones hold all of them.
BOOST_AUTO_TEST_CASE(serverClosesIdleConnectionsForNewOnes)
{
    SizeServer server({.maxConnections = 10});
    std::vector<tcp::socket> idle;
    idle.reserve(30);
    for (int i = 0; i < 30; ++i)
        idle.push_back(server.connect());
    BOOST_TEST(server.exchange(withLength("", 5)).ends_with("5"));
    SizeServer perClient({.maxConnectionsPerClient = 2});
    std::vector<tcp::socket> own;
    own.reserve(2);
    for (int i = 0; i < 2; ++i) {
        own.push_back(perClient.connect());
        asio::write(own.back(), asio::buffer(std::string("G")));
    }
    BOOST_TEST(perClient.exchange(withLength("", 5)) == "");
}

// Guards against an answer of the store or a worker that is read without a limit.
BOOST_AUTO_TEST_CASE(clientRejectsEndlessAnswers)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string field = "Field: 0123456789\r\n";
    BOOST_TEST(errorOfAnswer(chunked + "1\r\na\r\n0\r\n", field) != "");
    BOOST_TEST(errorOfAnswer(chunked + "1;x=", std::string(10'000, 'a')) != "");
    BOOST_TEST(errorOfAnswer("HTTP/1.1 200 OK\r\n", field) != "");
    BOOST_TEST(errorOfAnswer(chunked, "2000\r\n" + std::string(0x2000, 'a') + "\r\n") != "");
}

// Guards against a body that the parser follows to any depth.
BOOST_AUTO_TEST_CASE(deepBodiesAreNoJobs)
{
    BOOST_TEST(!platform::parseObject(R"({"a":)" + std::string(100'000, '[')));
    BOOST_TEST(!platform::parseObject(R"({"a":)" + std::string(40, '[') + std::string(40, ']') + "}"));
    BOOST_TEST(
        platform::parseObject(R"({"a":)" + std::string(20, '[') + std::string(20, ']') + "}").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace turmericwell
