#include <endivespan/byte_budget.h>

namespace endivespan {

ByteBudget::ByteBudget(ByteBudgetLimits limits)
    : limits(limits)
{
}

void ByteBudget::setLimits(ByteBudgetLimits limits)
{
    this->limits = limits;
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
    this->entries.emplace(connection, Entry {phase, bytes, turn});
    this->bytes += bytes;
    this->holders += bytes > 0 ? 1 : 0;
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
    this->bytes -= entry.bytes;
    this->holders -= entry.bytes > 0 ? 1 : 0;
    if (entry.phase != Phase::Complete) {
        (entry.phase == Phase::Incomplete ? this->incompleteOrder : this->refusedOrder).erase(entry.turn);
    }
    this->entries.erase(found);
}

std::optional<ByteBudget::Connection> ByteBudget::toRefuse() const
{
    const bool tooManyBytes = this->bytes > this->limits.bytes && this->holders > 1;
    const bool tooMany = this->incompleteOrder.size() > this->limits.incomplete;
    if (this->incompleteOrder.empty() || !(tooManyBytes || tooMany)) {
        return std::nullopt;
    }
    return this->incompleteOrder.begin()->second;
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
