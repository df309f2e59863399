/** Bounds the bytes that several threads hold together. */
#pragma once

#include <atomic>
#include <cstddef>

namespace lycheecleat
{

/** A number of bytes shared by reservations. Thread-safe. */
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit)
        : limit_(limit)
    {
    }

    /** Takes bytes; false, and nothing taken, when they are not left. */
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

/** Bytes of a budget that one message holds until the end of this object. A null budget has no bound. */
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

    /** Holds at least as many bytes; false when the budget has no more. */
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
