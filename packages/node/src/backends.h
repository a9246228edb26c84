#pragma once

#include "fleet_source.h"

#include <endivespan/credit.h>
#include <endivespan/directory.h>
#include <endivespan/engine_client.h>
#include <endivespan/host_list.h>
#include <endivespan/load_table.h>
#include <endivespan/name_table.h>
#include <endivespan/store_client.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// This host's view of the backend servers: their configuration, load reports and cache hints.
namespace endivespan {

/// One runner or plain server of the fleet.
struct Backend {
    std::string name;
    ServerKind kind = ServerKind::Runner;
    std::string address;
    std::string domain;
    std::string pool;
    std::string incarnation; ///< As last reported; empty before the first report.
    std::uint32_t coldConcurrency = 1;
    std::uint32_t warmConcurrency = 1;
    std::uint32_t inFlight = 0; ///< Requests of this host that are under way at the server.
    bool configured = false; ///< Part of the configuration in force.
    bool mayTakeWork = false; ///< The configuration allows new requests to it.
    bool leaving = false; ///< The platform's host list states that it is leaving or gone.
    std::uint64_t nextEvent = 0; ///< Number of the first cache event that has not been read.
    bool loadAsked = false; ///< A load poll is under way.
    bool loadKnown = false; ///< The first load poll has ended, successfully or not.
    bool eventsAsked = false; ///< A poll for cache events is under way.
};

/// One store host of the fleet.
struct StoreHost {
    std::string name;
    std::string address;
    std::string domain;
    std::string incarnation;
    std::string listAfter; ///< Position from which the next page of the piece list is read.
    bool configured = false; ///< Part of the configuration in force.
    bool loadAsked = false; ///< A load poll is under way.
    bool listAsked = false; ///< A page of the piece list is being read.
};

/// Restricts which of the servers that the configuration allows may receive requests now. Notified of what happens at
/// the servers.
class ServerGate
{
public:
    virtual ~ServerGate() = default;

    /// @returns false for a server that is leaving.
    [[nodiscard]] virtual bool mayTakeWork(const Backend &server) const = 0;

    /// @returns false while a cold server has no credit left for this host.
    [[nodiscard]] virtual bool hasCredit(const Backend &server) const = 0;

    /// Handles a load report of @p server.
    virtual void onLoad(const Backend &server, const EngineLoad &load) = 0;

    /// Handles that a server refused a connection or did not answer in time.
    virtual void onUnreachable(const Backend &server) = 0;

    /// Handles that a request needs a server of @p pool.
    virtual void onDemand(const std::string &pool) = 0;

    /// Takes one unit of credit for a request; must be called directly before dispatch.
    /// @returns the credit taken, or nothing when the request must not be sent.
    [[nodiscard]] virtual std::optional<CreditUse> begin(ServerHandle server) = 0;

    /// Returns the credit that begin() took and records how the request ended.
    virtual void end(const CreditUse &use, CreditOutcome outcome) = 0;
};

/// Maintains the servers and stores of the configuration, and polls them for load, cache events and pieces.
class Backends
{
public:
    /// @param fleet Source of the configuration; must outlive this object, as must @p engines.
    Backends(Loop &loop, const FleetSource &fleet, EngineClient &engines);

    /// Sets the gate that may hold back requests from servers; none by default.
    void setGate(ServerGate *newGate);

    /// @returns the gate, or null where none is set.
    [[nodiscard]] ServerGate *serverGate() const;

    /// Applies a changed configuration and starts the polls that are due.
    void tick(TimePoint now);

    /// @returns true once every server of the first configuration was polled, so that routing can use load reports.
    [[nodiscard]] bool isReady() const;

    /// @returns all runners and plain servers since the start, indexed by handle; removed ones stay in the list.
    [[nodiscard]] const std::vector<Backend> &servers() const;

    /// Applies the platform's host list; servers that it states as leaving or gone get no new requests.
    void applyHostList(const std::vector<PlatformHost> &hosts);

    [[nodiscard]] Backend &server(ServerHandle handle);

    /// @returns true when a new request may be sent to @p server now.
    [[nodiscard]] bool mayDispatch(const Backend &server) const;

    [[nodiscard]] StoreHost &store(StoreHandle handle);
    [[nodiscard]] const std::vector<StoreHost> &stores() const;

    /// Asks a store not to free a piece for @p time, while a runner imports it. The answer is ignored.
    void pin(const StoreCopy &copy, const PieceKey &piece, std::chrono::milliseconds time);

    /// @returns the handle of a weight version, which identifies the pair of model and version.
    VersionHandle versionOf(const std::string &model, const std::string &version);

    /// @returns the handle of an organisation.
    OrganisationHandle organisationOf(const std::string &name);

    /// @returns the handle of a model.
    ModelHandle modelOf(const std::string &name);

    LoadTable loads;
    Directory directory;

private:
    void sync();
    void syncServer(const Fleet &fleet, const BackendServer &server);
    void syncStore(const BackendServer &server);
    void serveVersions(ServerHandle handle, const std::vector<std::string> &versions);
    void refreshService();
    void noteReady();
    void pollServer(ServerHandle handle);
    void pollEvents(ServerHandle handle);
    void pollStore(StoreHandle handle);
    void onLoad(ServerHandle handle, const Result<EngineLoad> &load, TimePoint askedAt);
    void onEvents(ServerHandle handle, const Result<EngineCacheEvents> &events);
    void onStorePage(StoreHandle handle, const Result<StorePage> &page);

    Loop &loop;
    const FleetSource &fleet;
    EngineClient &engines;
    std::unique_ptr<StoreClient> storeClient;
    ServerGate *gate = nullptr;
    std::uint64_t syncedRevision = 0;
    bool everReady = false;
    TimePoint nextPoll;
    TimePoint nextList;
    NameTable<ServerHandle> serverNames;
    NameTable<StoreHandle> storeNames;
    NameTable<ModelHandle> modelNames;
    NameTable<VersionHandle> versionNames;
    NameTable<OrganisationHandle> organisationNames;
    std::vector<Backend> serverList;
    std::vector<StoreHost> storeList;
};

} // namespace endivespan
