#include <endivespan/keep.h>

namespace endivespan {

namespace {

class LruPolicy : public KeepPolicy
{
public:
    [[nodiscard]] double
    value(const PieceUse &piece, const OrganisationUse &, const KeepRates &, TimePoint now) const override
    {
        const double age = std::chrono::duration<double>(now - piece.lastUse).count();
        return 1.0 / (1.0 + age);
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "lru";
    }
};

} // namespace

std::unique_ptr<KeepPolicy> makeLruPolicy()
{
    return std::make_unique<LruPolicy>();
}

} // namespace endivespan
