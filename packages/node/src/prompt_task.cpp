#include "prompt_task.h"

#include <endivespan/access.h>
#include <endivespan/config.h>
#include <endivespan/log.h>

#include <algorithm>
#include <array>
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
        this->context, *this->router, this->exports, std::move(job.value()), id, static_cast<PromptObserver &>(*this));
    const PromptRun &waiting = *run;
    this->runs.emplace(id, std::move(run));
    this->enqueue(id, waiting);
}

void PromptTask::enqueue(std::uint64_t id, const PromptRun &run)
{
    const PromptJob &job = run.request();
    const Organisation &organisation = this->context.fleet.fleet().organisations.at(job.caller.organisation);
    AdmissionRequest request;
    request.id = id;
    request.organisation = this->context.backends.organisationOf(job.caller.organisation);
    request.prefillTokens = run.expectedPrefillTokens();
    request.maxTokens = job.request.maxTokens;
    request.deadline = run.deadlineAt();
    request.random = this->context.random();
    // The load balancer spreads the callers over the hosts. Each host allows twice an even share of the limit, since
    // the spread is not even.
    const std::size_t share = (2 * organisation.limits.requestsInFlight + this->liveHosts - 1) / this->liveHosts;
    Admission &queue = this->queueOf(job.model.name);
    queue.setOrganisation(request.organisation, organisation.limits.weight, static_cast<std::uint32_t>(share));
    AdmissionActions actions;
    queue.offer(request, this->context.loop.now(), actions);
    this->carryOut(actions);
}

void PromptTask::carryOut(const AdmissionActions &actions)
{
    for (const AdmissionStart &start : actions.start) {
        this->runs.at(start.id)->start(start.priority);
    }
    for (const AdmissionRefusal &refusal : actions.refuse) {
        const auto retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(refusal.retryAfter);
        this->runs.at(refusal.id)->refuse(refusal.kind, retryAfter);
    }
}

Admission &PromptTask::queueOf(const std::string &model)
{
    std::unique_ptr<Admission> &queue = this->queues[model];
    if (!queue) {
        queue = std::make_unique<Admission>();
        AdmissionActions none;
        queue->setCapacity(this->capacityOf(model), this->context.loop.now(), none);
    }
    return *queue;
}

AdmissionCapacity PromptTask::capacityOf(const std::string &model) const
{
    Backends &backends = this->context.backends;
    return capacityOfHost(backends.loads.poolCapacity(backends.modelOf(model)), this->liveHosts);
}

Admission *PromptTask::queueOfRun(std::uint64_t id)
{
    const auto run = this->runs.find(id);
    return run == this->runs.end() ? nullptr : &this->queueOf(run->second->request().model.name);
}

Result<PromptJob>
PromptTask::admit(PromptApi api, const std::shared_ptr<HttpExchange> &exchange, const Caller &caller) const
{
    if (this->runs.size() >= this->context.settings.limits.requestsInFlight) {
        return Error {ErrorKind::Overloaded, "this host has reached its limit of prompts under way"};
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
        // A resumed answer must be continued with the version of the weights that it was started with.
        job.caller.requestId = resume.value().requestId;
        job.model.version = resume.value().version;
    }
    return job;
}

void PromptTask::onPlanned(std::uint64_t id, std::uint32_t recomputeTokens)
{
    if (Admission *queue = this->queueOfRun(id); queue != nullptr) {
        queue->planned(id, recomputeTokens);
    }
}

void PromptTask::onFirstToken(std::uint64_t id)
{
    if (Admission *queue = this->queueOfRun(id); queue != nullptr) {
        AdmissionActions actions;
        queue->firstToken(id, this->context.loop.now(), actions);
        this->carryOut(actions);
    }
}

bool PromptTask::mayRetryRefusal()
{
    return this->retries.tryTake();
}

void PromptTask::onEnd(std::uint64_t id, PromptEnd how)
{
    constexpr std::array<std::string_view, 3> Names {"answered", "failed", "caller_gone"};
    this->context.metrics.count("prompts", fmt::format("end=\"{}\"", Names.at(static_cast<std::size_t>(how))));
    if (how == PromptEnd::Answered) {
        this->retries.onSuccess();
    }
    Admission *queue = this->queueOfRun(id);
    auto found = this->runs.extract(id);
    if (queue == nullptr || found.empty()) {
        return;
    }
    AdmissionActions actions;
    if (found.mapped()->isStarted()) {
        queue->finished(id, this->context.loop.now(), actions);
    } else {
        queue->abandon(id);
    }
    this->ended.push_back(std::move(found.mapped()));
    this->carryOut(actions);
}

void PromptTask::tick(std::size_t hosts)
{
    // Destroying a run may cancel its attempt, which must not change the list that is being destroyed.
    const auto freed = std::exchange(this->ended, {});
    this->liveHosts = std::max<std::size_t>(hosts, 1);
    const TimePoint now = this->context.loop.now();
    for (const auto &[model, queue] : this->queues) {
        AdmissionActions actions;
        queue->setCapacity(this->capacityOf(model), now, actions);
        queue->tick(now, actions);
        this->carryOut(actions);
    }
    this->exports.tick();
}

} // namespace endivespan
