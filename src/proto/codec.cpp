// FlatBuffers codec. A missing optional struct decodes as zeros, so that a malicious buffer cannot cause a
// null pointer access.
#include "proto/codec.h"

#include "proto/verifiedbuffer.h"

#include <boost/leaf/error.hpp>

namespace turmericwell {

namespace leaf = boost::leaf;

std::vector<uint8_t> encodeEnvelope(const Message &message)
{
    return encodeTableFrame<wire::Envelope>(message);
}

leaf::result<std::unique_ptr<Message>> decodeMessage(std::span<const uint8_t> payload)
{
    std::unique_ptr<Message> message = unpackTable<wire::Envelope>(payload);
    if (!message)
        return leaf::new_error(CodecError{.detail = "buffer of " + std::to_string(payload.size())
                                              + " bytes is not a valid envelope"});
    if (message->body.type == wire::Body::NONE || message->body.value == nullptr)
        return leaf::new_error(
            CodecError{.detail = "envelope of " + std::to_string(payload.size()) + " bytes has no body"});
    return message;
}

wire::Key toWire(const Fingerprint &fingerprint)
{
    return {fingerprint.high, fingerprint.low};
}

Fingerprint fromWire(const wire::Key &key)
{
    return {.high = key.hi(), .low = key.lo()};
}

wire::TaskRef toWire(const TaskRef &task)
{
    return {toWire(task.submission), task.index, task.attempt};
}

TaskRef fromWire(const wire::TaskRef &task)
{
    return {.submission = fromWire(task.submission()), .index = task.index(), .attempt = task.attempt()};
}

static TaskRef fromWire(const std::unique_ptr<wire::TaskRef> &task)
{
    return task ? fromWire(*task) : TaskRef{};
}

std::unique_ptr<wire::TaskStartT> toWire(const TaskStart &start)
{
    auto result = std::make_unique<wire::TaskStartT>();
    result->task = std::make_unique<wire::TaskRef>(toWire(start.task));
    result->task_count = start.taskCount;
    result->body_hash = start.bodyHash;
    result->service = start.service;
    result->call = start.call;
    result->team = start.team;
    result->payload = start.payload;
    result->budget_ms = start.budget.count;
    result->run_ms = start.runMs;
    result->repeatable = start.repeatable;
    result->uses_credit = start.usesCredit;
    return result;
}

TaskStart fromWire(const wire::TaskStartT &start)
{
    return {.task = fromWire(start.task),
            .taskCount = start.task_count,
            .bodyHash = start.body_hash,
            .service = start.service,
            .call = start.call,
            .team = start.team,
            .payload = start.payload,
            .budget = {start.budget_ms},
            .runMs = start.run_ms,
            .repeatable = start.repeatable,
            .usesCredit = start.uses_credit};
}

static wire::WireOutcome toWire(Outcome outcome)
{
    return static_cast<wire::WireOutcome>(outcome);
}

static Outcome fromWire(wire::WireOutcome outcome)
{
    return outcome > wire::WireOutcome::MAX ? Outcome::Unknown : static_cast<Outcome>(outcome);
}

std::unique_ptr<wire::TaskResultT> toWire(const TaskResult &result)
{
    auto wireResult = std::make_unique<wire::TaskResultT>();
    wireResult->task = std::make_unique<wire::TaskRef>(toWire(result.task));
    wireResult->outcome = toWire(result.outcome);
    wireResult->reason = result.reason;
    wireResult->answer = result.answer;
    wireResult->ran_ms = result.ran.count;
    wireResult->returns_credit = result.returnsCredit;
    return wireResult;
}

TaskResult fromWire(const wire::TaskResultT &result)
{
    return {.task = fromWire(result.task),
            .outcome = fromWire(result.outcome),
            .reason = result.reason,
            .answer = result.answer,
            .ran = {result.ran_ms},
            .returnsCredit = result.returns_credit};
}

std::unique_ptr<wire::TargetInfoT> toWire(const TargetInfo &target)
{
    auto result = std::make_unique<wire::TargetInfoT>();
    result->name = target.name;
    result->service = target.service;
    result->worker = target.worker;
    result->rack = target.rack;
    result->zone = target.zone;
    result->slots = target.slots;
    result->connections = target.connections;
    result->cores = target.cores;
    result->memory_gb = target.memoryGb;
    result->accelerators = target.accelerators;
    return result;
}

TargetInfo fromWire(const wire::TargetInfoT &target)
{
    return {.name = target.name,
            .service = target.service,
            .worker = target.worker,
            .rack = target.rack,
            .zone = target.zone,
            .slots = target.slots,
            .connections = target.connections,
            .cores = target.cores,
            .memoryGb = target.memory_gb,
            .accelerators = target.accelerators};
}

std::unique_ptr<wire::AnswerT> toWire(const Answer &answer)
{
    auto result = std::make_unique<wire::AnswerT>();
    result->outcome = toWire(answer.outcome);
    result->reason = answer.reason;
    result->status = answer.status;
    result->retry_after_ms = answer.retryAfter.count;
    result->answers = answer.answers;
    result->tasks = answer.tasks;
    result->finished = answer.finished;
    result->running = answer.running;
    return result;
}

Answer fromWire(const wire::AnswerT &answer)
{
    return {.outcome = fromWire(answer.outcome),
            .reason = answer.reason,
            .status = static_cast<int>(answer.status),
            .retryAfter = {answer.retry_after_ms},
            .answers = answer.answers,
            .tasks = answer.tasks,
            .finished = answer.finished,
            .running = answer.running};
}

std::unique_ptr<wire::SubmissionT> toWire(const SubmissionRequest &request)
{
    auto result = std::make_unique<wire::SubmissionT>();
    result->kind = static_cast<wire::SubmissionKind>(request.kind);
    result->key = std::make_unique<wire::Key>(toWire(request.key));
    result->key_text = request.keyText;
    result->body_hash = request.bodyHash;
    result->service = request.service;
    result->call = request.call;
    result->team = request.team;
    result->tasks = request.tasks;
    result->budget_ms = request.budget.count;
    result->run_ms = request.runMs;
    result->cores = request.needs.cores;
    result->memory_gb = request.needs.memoryGb;
    result->accelerators = request.needs.accelerators;
    return result;
}

SubmissionRequest fromWire(const wire::SubmissionT &submission)
{
    return {.kind =
                submission.kind == wire::SubmissionKind::Job ? SubmissionKind::Job : SubmissionKind::Request,
            .key = submission.key ? fromWire(*submission.key) : Fingerprint{},
            .keyText = submission.key_text,
            .bodyHash = submission.body_hash,
            .service = submission.service,
            .call = submission.call,
            .team = submission.team,
            .tasks = submission.tasks,
            .budget = {submission.budget_ms},
            .runMs = submission.run_ms,
            .needs = {.cores = submission.cores,
                      .memoryGb = submission.memory_gb,
                      .accelerators = submission.accelerators}};
}

} // namespace turmericwell
