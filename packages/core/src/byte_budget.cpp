#include <endivespan/byte_budget.h>

namespace endivespan {

ByteBudget::ByteBudget(ByteBudgetLimits limits)
    : limits(limits)
{
}

void ByteBudget::setLimits(ByteBudgetLimits limits)
{
    this->limits = limits;
    this->smallBytes = 0;
    for (const auto &[connection, entry] : this->entries) {
        this->smallBytes += this->isSmall(entry) ? entry.bytes : 0;
    }
}

bool ByteBudget::isSmall(const Entry &entry) const
{
    return entry.bytes <= this->limits.small;
}

void ByteBudget::count(const Entry &entry, bool isAdded)
{
    const auto change
        = [isAdded](std::size_t &sum, std::size_t amount) { sum = isAdded ? sum + amount : sum - amount; };
    change(this->bytes, entry.bytes);
    change(this->smallBytes, this->isSmall(entry) ? entry.bytes : 0);
    change(this->incompleteBytes, entry.phase == Phase::Incomplete ? entry.bytes : 0);
    change(this->holders, entry.bytes > 0 ? 1 : 0);
}

void ByteBudget::record(Connection connection, Phase phase, std::size_t bytes)
{
    std::uint64_t turn = this->nextTurn++;
    if (const auto found = this->entries.find(connection);
        found != this->entries.end() && phase == Phase::Refused && found->second.phase == Phase::Refused) {
        // What a caller sends behind the refusal does not prolong its stay.
        turn = found->second.turn;
    }
    this->remove(connection);
    const Entry entry {phase, bytes, turn};
    this->entries.emplace(connection, entry);
    this->count(entry, true);
    if (phase != Phase::Complete) {
        (phase == Phase::Incomplete ? this->incompleteOrder : this->refusedOrder).emplace(turn, connection);
    }
}

void ByteBudget::remove(Connection connection)
{
    const auto found = this->entries.find(connection);
    if (found == this->entries.end()) {
        return;
    }
    const Entry &entry = found->second;
    this->count(entry, false);
    if (entry.phase != Phase::Complete) {
        (entry.phase == Phase::Incomplete ? this->incompleteOrder : this->refusedOrder).erase(entry.turn);
    }
    this->entries.erase(found);
}

std::optional<ByteBudget::Connection> ByteBudget::oldestIncomplete(std::size_t least) const
{
    for (const auto &[turn, connection] : this->incompleteOrder) {
        if (this->entries.at(connection).bytes >= least) {
            return connection;
        }
    }
    return std::nullopt;
}

// Callers that send little are not refused for what others hold: no small request is as long as all of them need no
// more than their reserve, and beyond that none that holds less than half of the mean.
std::optional<ByteBudget::Connection> ByteBudget::toRefuse() const
{
    if (this->incompleteOrder.empty()) {
        return std::nullopt;
    }
    if (this->incompleteOrder.size() > this->limits.incomplete) {
        return this->incompleteOrder.begin()->second;
    }
    if (this->bytes <= this->limits.bytes || this->holders <= 1) {
        return std::nullopt;
    }
    if (this->smallBytes <= this->limits.reserve) {
        return this->oldestIncomplete(this->limits.small + 1);
    }
    return this->oldestIncomplete(this->incompleteBytes / this->incompleteOrder.size() / 2);
}

std::optional<ByteBudget::Connection> ByteBudget::toClose() const
{
    if (this->refusedOrder.size() <= this->limits.refused) {
        return std::nullopt;
    }
    return this->refusedOrder.begin()->second;
}

std::size_t ByteBudget::held() const
{
    return this->bytes;
}

std::size_t ByteBudget::incomplete() const
{
    return this->incompleteOrder.size();
}

} // namespace endivespan
