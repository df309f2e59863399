/** Limits the total number of bytes that several threads reserve. */
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

namespace lycheecleat
{

/** Sizes of a budget. */
struct ByteBudgetLimits
{
    /** Limit on the sum of all reservations. */
    std::size_t total_ = 0;
    /** Reservations larger than this leave smallPart_ of the total free. */
    std::size_t largestSmall_ = 0;
    std::size_t smallPart_ = 0;
};

/** A limit on the sum of all reservations. Thread-safe. */
class ByteBudget
{
public:
    explicit ByteBudget(ByteBudgetLimits limits)
        : limits_(limits)
    {
    }

    /** Grows a reservation of the given size; false, with nothing reserved, when the limit for its new size would be exceeded. */
    [[nodiscard]] auto tryGrow(std::size_t reserved, std::size_t bytes) -> bool
    {
        const auto limit = limitFor(reserved + bytes);
        auto used = used_.load();
        do {
            if (used + bytes > limit) {
                rejections_ += 1;
                return false;
            }
        } while (!used_.compare_exchange_weak(used, used + bytes));
        return true;
    }

    /** Whether a reservation of this size would fit now; counts as a rejection if not. */
    [[nodiscard]] auto hasRoomFor(std::size_t bytes) -> bool
    {
        const auto hasRoom = used_.load() + bytes <= limitFor(bytes);
        rejections_ += hasRoom ? 0 : 1;
        return hasRoom;
    }

    auto release(std::size_t bytes) -> void
    {
        used_.fetch_sub(bytes);
    }

    [[nodiscard]] auto limits() const -> const ByteBudgetLimits &
    {
        return limits_;
    }

    [[nodiscard]] auto used() const -> std::size_t
    {
        return used_;
    }

    /** Number of times that a reservation did not fit or could not grow. */
    [[nodiscard]] auto rejections() const -> std::int64_t
    {
        return rejections_;
    }

private:
    [[nodiscard]] auto limitFor(std::size_t bytes) const -> std::size_t
    {
        return bytes > limits_.largestSmall_ ? limits_.total_ - limits_.smallPart_ : limits_.total_;
    }

    const ByteBudgetLimits limits_;
    std::atomic<std::size_t> used_ = 0;
    std::atomic<std::int64_t> rejections_ = 0;
};

using ByteBudgetPointer = std::shared_ptr<ByteBudget>;

/** One holder's part of a budget, released by the destructor. A null budget has no limit. Not thread-safe. */
class ByteReservation
{
public:
    ByteReservation() = default;

    explicit ByteReservation(ByteBudgetPointer budget)
        : budget_(std::move(budget))
    {
    }

    ~ByteReservation()
    {
        shrinkTo(0);
    }

    ByteReservation(ByteReservation &&other) noexcept
        : budget_(std::move(other.budget_))
        , reserved_(std::exchange(other.reserved_, 0))
    {
    }

    auto operator=(ByteReservation &&other) noexcept -> ByteReservation &
    {
        std::swap(budget_, other.budget_);
        std::swap(reserved_, other.reserved_);
        return *this;
    }

    ByteReservation(const ByteReservation &) = delete;
    auto operator=(const ByteReservation &) -> ByteReservation & = delete;

    /** Grows the reservation to at least this size; false, with the reservation unchanged, when the budget's limit would be exceeded. */
    [[nodiscard]] auto growTo(std::size_t bytes) -> bool
    {
        if (bytes <= reserved_) {
            return true;
        }
        if (budget_ && !budget_->tryGrow(reserved_, bytes - reserved_)) {
            return false;
        }
        reserved_ = bytes;
        return true;
    }

    /** Gives back what exceeds this size. */
    auto shrinkTo(std::size_t bytes) -> void
    {
        if (bytes >= reserved_) {
            return;
        }
        if (budget_) {
            budget_->release(reserved_ - bytes);
        }
        reserved_ = bytes;
    }

private:
    ByteBudgetPointer budget_;
    std::size_t reserved_ = 0;
};

}
