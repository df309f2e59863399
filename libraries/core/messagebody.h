/** Bodies of messages, which are passed on without being copied and count toward a budget of memory. */
#pragma once

#include "core/bytebudget.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/** An immutable body. Copies share its bytes, and its part of the budget is released with the last of them. */
class MessageBody
{
public:
    MessageBody() = default;
    // Implicit, since most bodies are short texts.
    MessageBody(std::string text);
    MessageBody(const char *text);

    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto empty() const -> bool;

    /** The bytes in order. */
    [[nodiscard]] auto pieces() const -> const std::vector<std::string> &;

    /** A copy of all bytes. */
    [[nodiscard]] auto text() const -> std::string;

    auto operator==(const MessageBody &other) const -> bool;

private:
    friend class MessageBodyBuilder;

    struct Storage
    {
        std::vector<std::string> pieces_;
        std::size_t size_ = 0;
        ByteReservation reservation_;
    };

    explicit MessageBody(std::shared_ptr<const Storage> storage);

    std::shared_ptr<const Storage> storage_;
};

/** Collects the bytes of a body while it is received, also in several parts. Not thread-safe. */
class MessageBodyBuilder
{
public:
    explicit MessageBodyBuilder(ByteBudgetPointer budget = nullptr);

    /** Sets the number of bytes that will be appended, so that no more memory than that is taken. */
    auto expect(std::uint64_t bytes) -> void;

    /** Sets the size of the largest piece of memory to take at once; smaller ones find room in the part of the budget for small bodies. */
    auto limitPieces(std::size_t bytes) -> void;

    /** Takes memory for further bytes, of which append will take no more; false, with nothing changed, when they exceed the budget. */
    [[nodiscard]] auto prepare(std::size_t bytes) -> bool;

    /** Appends bytes for which prepare has taken memory. */
    auto append(std::string_view bytes) -> void;

    /** Bytes since the last call of take. */
    [[nodiscard]] auto size() const -> std::size_t;

    /** The bytes that have been appended since the last call. */
    [[nodiscard]] auto take() -> MessageBody;

private:
    [[nodiscard]] auto beginPiece() -> bool;

    ByteBudgetPointer budget_;
    MessageBody::Storage storage_;
    /** Bytes that will still be appended; 0 if their number is not known. */
    std::uint64_t expected_ = 0;
    std::size_t largestPiece_;
    /** Memory of all pieces, and the part of it that is free. */
    std::size_t capacity_ = 0;
    std::size_t free_ = 0;
    /** Index of the piece that is being filled. */
    std::size_t current_ = 0;
};

}
