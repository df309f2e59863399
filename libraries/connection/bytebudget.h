/** Limits the total number of bytes that several threads reserve. */
#pragma once

#include <atomic>
#include <cstddef>

namespace lycheecleat
{

/** A limit on the sum of all reservations. Thread-safe. */
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit)
        : limit_(limit)
    {
    }

    /** Reserves bytes; false, with nothing reserved, when the limit would be exceeded. */
    [[nodiscard]] auto tryReserve(std::size_t bytes) -> bool
    {
        if (used_.fetch_add(bytes) + bytes <= limit_) {
            return true;
        }
        release(bytes);
        return false;
    }

    auto release(std::size_t bytes) -> void
    {
        used_.fetch_sub(bytes);
    }

private:
    const std::size_t limit_;
    std::atomic<std::size_t> used_ = 0;
};

/** One message's reservation, released by the destructor. A null budget has no limit. Not thread-safe. */
class ByteReservation
{
public:
    explicit ByteReservation(ByteBudget *budget)
        : budget_(budget)
    {
    }

    ~ByteReservation()
    {
        if (budget_ != nullptr) {
            budget_->release(reserved_);
        }
    }

    ByteReservation(const ByteReservation &) = delete;
    auto operator=(const ByteReservation &) -> ByteReservation & = delete;

    /** Grows the reservation to at least this size; false, with the reservation unchanged, when the budget's limit would be exceeded. */
    [[nodiscard]] auto growTo(std::size_t bytes) -> bool
    {
        if (bytes <= reserved_) {
            return true;
        }
        if (budget_ != nullptr && !budget_->tryReserve(bytes - reserved_)) {
            return false;
        }
        reserved_ = bytes;
        return true;
    }

private:
    ByteBudget *budget_;
    std::size_t reserved_ = 0;
};

}
