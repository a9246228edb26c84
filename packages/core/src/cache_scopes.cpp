#include <endivespan/cache_scopes.h>
#include <endivespan/config.h>
#include <endivespan/digest.h>

#include <algorithm>
#include <charconv>

namespace endivespan {

namespace {

constexpr char Separator = '/';
constexpr char Escape = '%';
constexpr std::string_view EscapedSeparator = "%2F";
constexpr std::string_view EscapedEscape = "%25";
constexpr std::size_t DigestBytes = 16; // Of a SHA-256; enough that no two sets give the same digest.

std::string escaped(const std::string &name)
{
    std::string text;
    for (const char character : name) {
        if (character == Separator) {
            text += EscapedSeparator;
        } else if (character == Escape) {
            text += EscapedEscape;
        } else {
            text += character;
        }
    }
    return text;
}

std::string unescaped(const std::string &text)
{
    std::string name;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const std::string_view code = std::string_view(text).substr(i, EscapedSeparator.size());
        if (code == EscapedSeparator || code == EscapedEscape) {
            name += code == EscapedSeparator ? Separator : Escape;
            i += code.size() - 1;
        } else {
            name += text[i];
        }
    }
    return name;
}

std::string sharersAlone(const std::string &organisation)
{
    return "only:" + escaped(organisation);
}

std::string sharersTogether(const std::set<std::string> &organisations)
{
    CanonicalEncoder names;
    for (const std::string &organisation : organisations) {
        names.add(organisation);
    }
    const Digest digest = sha256(names.bytes());
    return "all:" + hexText(std::span(digest).first(DigestBytes));
}

} // namespace

std::string CacheScope::text() const
{
    return escaped(this->model) + Separator + std::to_string(this->version) + Separator + this->sharers;
}

std::optional<CacheScope> CacheScope::parse(const std::string &text)
{
    const std::size_t first = text.find(Separator);
    const std::size_t second = first == std::string::npos ? first : text.find(Separator, first + 1);
    if (second == std::string::npos) {
        return std::nullopt;
    }
    CacheScope scope {unescaped(text.substr(0, first)), 0, text.substr(second + 1)};
    const char *end = text.data() + second;
    if (std::from_chars(text.data() + first + 1, end, scope.version).ptr != end || scope.text() != text) {
        return std::nullopt;
    }
    return scope;
}

// An organisation that is removed while it is isolated does not change the common scope, so that its parts from before
// its isolation stay out of use.
void CacheScopes::setOrganisations(const std::vector<ForwardOrganisation> &organisations, TimePoint now)
{
    std::set<std::string> shared;
    std::set<std::string> isolated;
    for (const ForwardOrganisation &organisation : organisations) {
        (organisation.isolated ? isolated : shared).insert(organisation.name);
    }
    std::set<std::string> used;
    for (const std::string &name : isolated) {
        shared.erase(name);
        used.insert(sharersAlone(name));
    }
    this->sharing = std::move(shared);
    this->common = sharersTogether(this->sharing);
    used.insert(this->common);
    if (used == this->inUse) {
        return;
    }
    if (!this->inUse.empty()) {
        this->changedAt = now;
    }
    for (const std::string &sharers : this->inUse) {
        this->unusedSince.emplace(sharers, now);
    }
    for (const std::string &sharers : used) {
        this->unusedSince.erase(sharers);
    }
    while (this->unusedSince.size() > config::UnusedScopesKept) {
        this->unusedSince.erase(std::min_element(this->unusedSince.begin(),
                                                 this->unusedSince.end(),
                                                 [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    this->inUse = std::move(used);
}

std::string CacheScopes::sharers(const std::string &organisation) const
{
    return organisation.empty() || this->sharing.contains(organisation) ? this->common : sharersAlone(organisation);
}

// A host that frees parts knows the configuration as of at most TransferFreshness ago.
bool CacheScopes::mayTransfer(TimePoint now) const
{
    return !this->changedAt || now - *this->changedAt > config::TransferFreshness + config::StoreEventsTimeout;
}

bool CacheScopes::mayFree(const std::string &sharers, TimePoint now) const
{
    const auto found = this->unusedSince.find(sharers);
    return found != this->unusedSince.end() && now - found->second > config::UnusedScopeTime;
}

} // namespace endivespan
