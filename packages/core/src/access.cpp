#include <endivespan/access.h>
#include <endivespan/prefix.h>

namespace endivespan {

void AccessIndex::update(const Fleet &fleet)
{
    if (this->revision == fleet.revision) {
        return;
    }
    this->revision = fleet.revision;
    this->organisationByDigest.clear();
    for (const auto &[name, organisation] : fleet.organisations) {
        for (const std::string &digest : organisation.keyDigests) {
            this->organisationByDigest[digest] = name;
        }
    }
}

Result<std::string> AccessIndex::organisationOf(std::string_view apiKey) const
{
    const auto found = this->organisationByDigest.find(sha256Hex(apiKey));
    if (found == this->organisationByDigest.end()) {
        return Error {ErrorKind::Unauthorized, "no organisation has this API key"};
    }
    return found->second;
}

Result<Model> modelFor(const Fleet &fleet, const std::string &organisation, const std::string &name)
{
    const auto model = fleet.models.find(name);
    if (model == fleet.models.end()) {
        return Error {ErrorKind::UnknownModel, "no model is named '" + name + "'"};
    }
    const auto caller = fleet.organisations.find(organisation);
    if (caller == fleet.organisations.end() || !caller->second.models.contains(name)) {
        return Error {ErrorKind::NotPermitted, "the organisation may not use model '" + name + "'"};
    }
    return model->second;
}

Result<PlainService> serviceFor(const Fleet &fleet, const std::string &organisation, const std::string &name)
{
    const auto service = fleet.services.find(name);
    if (service == fleet.services.end()) {
        return Error {ErrorKind::UnknownService, "no service is named '" + name + "'"};
    }
    const auto caller = fleet.organisations.find(organisation);
    if (caller == fleet.organisations.end() || !caller->second.services.contains(name)) {
        return Error {ErrorKind::NotPermitted, "the organisation may not call service '" + name + "'"};
    }
    return service->second;
}

bool mayTakeWork(const Fleet &fleet, const BackendServer &server)
{
    const auto domain = fleet.domains.find(server.domain);
    const bool domainServes = domain != fleet.domains.end() && domain->second.service == ServiceState::InService;
    return domainServes && server.service == ServiceState::InService;
}

} // namespace endivespan
