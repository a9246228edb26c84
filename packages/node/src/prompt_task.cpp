#include "prompt_task.h"

#include <endivespan/access.h>
#include <endivespan/config.h>
#include <endivespan/log.h>

#include <utility>

namespace endivespan {

namespace {

std::unique_ptr<Router> makeRouter(RoutingPolicy policy)
{
    switch (policy) {
    case RoutingPolicy::RoundRobin:
        return makeRoundRobinRouter();
    case RoutingPolicy::LeastLoaded:
        return makeLeastLoadedRouter();
    case RoutingPolicy::Affinity:
        return makeAffinityRouter();
    case RoutingPolicy::AlwaysRecompute:
        return makeRecomputeRouter();
    case RoutingPolicy::AlwaysImport:
        return makeImportRouter();
    case RoutingPolicy::Expected:
        break;
    }
    return makeExpectedRouter();
}

} // namespace

PromptTask::PromptTask(NodeContext &context)
    : context(context)
    , router(makeRouter(context.settings.routing))
    , exports(context)
{
}

PromptTask::~PromptTask() = default;

std::size_t PromptTask::inFlight() const
{
    return this->runs.size();
}

void PromptTask::serve(PromptApi api, const std::shared_ptr<HttpExchange> &exchange, const Caller &caller)
{
    auto job = this->admit(api, exchange, caller);
    if (!job) {
        const ErrorKind kind = job.error().kind;
        this->context.metrics.count("prompt_refusals", fmt::format("kind=\"{}\"", errorAnswer(kind).name));
        replyError(*exchange,
                   job.error(),
                   {this->context.settings.host, caller.requestId, retryHint(kind, this->context.random())});
        return;
    }
    const std::uint64_t id = this->nextId++;
    auto run = std::make_unique<PromptRun>(
        this->context, *this->router, this->exports, std::move(job.value()), [this, id](PromptEnd how) {
            this->onEnd(id, how);
        });
    PromptRun &started = *run;
    this->runs.emplace(id, std::move(run));
    started.start();
}

Result<PromptJob>
PromptTask::admit(PromptApi api, const std::shared_ptr<HttpExchange> &exchange, const Caller &caller) const
{
    if (this->runs.size() >= this->context.settings.limits.requestsInFlight) {
        return Error {ErrorKind::Overloaded, "this host has as many prompts under way as it bears"};
    }
    const auto request
        = parsePromptRequest(api, exchange->request().body, this->context.settings.limits.defaultDeadline);
    if (!request) {
        return request.error();
    }
    const auto resume = parseResumePoint(exchange->request().headers);
    if (!resume) {
        return resume.error();
    }
    const Fleet &fleet = this->context.fleet.fleet();
    const auto model = modelFor(fleet, caller.organisation, request.value().model);
    if (!model) {
        return model.error();
    }
    PromptJob job {exchange, caller, request.value(), model.value(), resume.value().firstIndex};
    if (!resume.value().requestId.empty()) {
        // An answer goes on with the weights that began it.
        job.caller.requestId = resume.value().requestId;
        job.model.version = resume.value().version;
    }
    return job;
}

void PromptTask::onEnd(std::uint64_t id, PromptEnd how)
{
    constexpr std::array<std::string_view, 3> Names {"answered", "failed", "caller_gone"};
    this->context.metrics.count("prompts", fmt::format("end=\"{}\"", Names.at(static_cast<std::size_t>(how))));
    if (auto found = this->runs.extract(id); !found.empty()) {
        this->ended.push_back(std::move(found.mapped()));
    }
}

void PromptTask::tick()
{
    // Destroying a run may cancel its attempt, which must not see this list change.
    const auto freed = std::exchange(this->ended, {});
    this->exports.tick();
}

} // namespace endivespan
