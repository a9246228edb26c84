#include "service_task.h"

#include "answer.h"

#include <endivespan/access.h>
#include <endivespan/log.h>

#include <utility>

namespace endivespan {

ServiceTask::ServiceTask(NodeContext &context, ClaimTask &claims, std::unique_ptr<ServerPicker> picker)
    : context(context)
    , claims(claims)
    , picker(std::move(picker))
{
}

ServiceTask::~ServiceTask() = default;

void ServiceTask::serve(const std::shared_ptr<HttpExchange> &exchange, const Caller &caller)
{
    auto job = this->admit(exchange, caller);
    if (!job) {
        const ErrorKind kind = job.error().kind;
        logLine("service", "{} refused: {}", caller.requestId, job.error().detail);
        this->context.metrics.count("refusals", fmt::format("kind=\"{}\"", errorAnswer(kind).name));
        replyError(*exchange,
                   job.error(),
                   {this->context.settings.host, caller.requestId, retryHint(kind, this->context.random())});
        return;
    }
    const std::uint64_t id = this->nextId++;
    ++this->runsByOrganisation[caller.organisation];
    auto run = std::make_unique<ServiceRun>(
        this->context, this->claims, *this->picker, std::move(job.value()), id, static_cast<ServiceObserver &>(*this));
    ServiceRun &started = *run;
    this->runs.emplace(id, std::move(run));
    started.start();
}

Result<ServiceJob> ServiceTask::admit(const std::shared_ptr<HttpExchange> &exchange, const Caller &caller)
{
    auto request = parseServiceRequest(exchange->request(), this->context.settings.limits.defaultDeadline);
    if (!request) {
        return request.error();
    }
    const Fleet &fleet = this->context.fleet.fleet();
    const auto service = serviceFor(fleet, caller.organisation, request.value().service);
    if (!service) {
        return service.error();
    }
    if (this->runs.size() >= this->context.settings.limits.requestsInFlight) {
        return Error {ErrorKind::Overloaded, "this host has reached its limit of calls under way"};
    }
    const Organisation &organisation = fleet.organisations.at(caller.organisation);
    if (this->inFlightOf(caller.organisation) >= organisation.limits.requestsInFlight) {
        return Error {ErrorKind::OrganisationOverLimit, "the organisation has reached its limit of calls under way"};
    }
    ServiceJob job {exchange, caller, std::move(request.value()), false};
    job.idempotent = isIdempotent(service.value(), job.request);
    if (!job.idempotent && job.request.key.empty()) {
        job.request.key = makeId(this->context.random) + makeId(this->context.random);
    }
    return job;
}

void ServiceTask::tick()
{
    this->endedRuns.clear();
}

std::size_t ServiceTask::inFlight() const
{
    return this->runs.size();
}

std::size_t ServiceTask::inFlightOf(const std::string &organisation) const
{
    const auto found = this->runsByOrganisation.find(organisation);
    return found == this->runsByOrganisation.end() ? 0 : found->second;
}

bool ServiceTask::mayRetry()
{
    return this->retries.tryTake();
}

void ServiceTask::onEnd(std::uint64_t id, bool answered)
{
    if (answered) {
        this->retries.onSuccess();
    }
    auto ended = this->runs.extract(id);
    const std::string &organisation = ended.mapped()->request().caller.organisation;
    if (const auto count = this->runsByOrganisation.find(organisation); --count->second == 0) {
        this->runsByOrganisation.erase(count);
    }
    this->endedRuns.push_back(std::move(ended.mapped()));
}

} // namespace endivespan
