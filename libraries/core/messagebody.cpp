#include "core/messagebody.h"

#include <algorithm>
#include <utility>

namespace lycheecleat
{

namespace
{

/** Pieces are large enough to be returned to the system when they are freed, and to need few calls to be written. */
constexpr auto defaultLargestPiece = std::size_t { 256 } * 1024;

/** First piece of a body of unknown length; each further piece doubles the body. */
constexpr auto smallestPiece = std::size_t { 4 } * 1024;

}

MessageBody::MessageBody(std::string text)
{
    if (!text.empty()) {
        auto storage = std::make_shared<Storage>();
        storage->size_ = text.size();
        storage->pieces_.push_back(std::move(text));
        storage_ = std::move(storage);
    }
}

MessageBody::MessageBody(const char *text)
    : MessageBody(std::string(text))
{
}

MessageBody::MessageBody(std::shared_ptr<const Storage> storage)
    : storage_(std::move(storage))
{
}

auto MessageBody::size() const -> std::size_t
{
    return storage_ ? storage_->size_ : 0;
}

auto MessageBody::empty() const -> bool
{
    return size() == 0;
}

auto MessageBody::pieces() const -> const std::vector<std::string> &
{
    static const auto none = std::vector<std::string> {};
    return storage_ ? storage_->pieces_ : none;
}

auto MessageBody::text() const -> std::string
{
    auto all = std::string {};
    all.reserve(size());
    for (const auto &piece : pieces()) {
        all += piece;
    }
    return all;
}

auto MessageBody::operator==(const MessageBody &other) const -> bool
{
    return storage_ == other.storage_ || (size() == other.size() && text() == other.text());
}

MessageBodyBuilder::MessageBodyBuilder(ByteBudgetPointer budget)
    : budget_(std::move(budget))
    , storage_ { {}, 0, ByteReservation(budget_) }
    , largestPiece_(defaultLargestPiece)
{
}

auto MessageBodyBuilder::limitPieces(std::size_t bytes) -> void
{
    largestPiece_ = std::min(bytes, defaultLargestPiece);
}

auto MessageBodyBuilder::expect(std::uint64_t bytes) -> void
{
    expected_ = bytes;
}

auto MessageBodyBuilder::prepare(std::size_t bytes) -> bool
{
    // The bytes may be followed by those of another message.
    const auto needed = expected_ > 0 ? static_cast<std::size_t>(std::min<std::uint64_t>(bytes, expected_)) : bytes;
    while (free_ < needed) {
        if (!beginPiece()) {
            return false;
        }
    }
    return true;
}

// Pieces never grow, since growing would hold the old and the new memory at the same time.
auto MessageBodyBuilder::beginPiece() -> bool
{
    const auto wanted = expected_ > free_ ? static_cast<std::size_t>(expected_ - free_) : std::max(smallestPiece, capacity_);
    const auto capacity = std::min(wanted, largestPiece_);
    if (!storage_.reservation_.growTo(capacity_ + capacity)) {
        return false;
    }
    auto &piece = storage_.pieces_.emplace_back();
    piece.reserve(capacity);
    capacity_ += piece.capacity();
    free_ += piece.capacity();
    return true;
}

auto MessageBodyBuilder::append(std::string_view bytes) -> void
{
    storage_.size_ += bytes.size();
    free_ -= bytes.size();
    expected_ -= std::min<std::uint64_t>(bytes.size(), expected_);
    while (!bytes.empty()) {
        auto &piece = storage_.pieces_[current_];
        const auto count = std::min(bytes.size(), piece.capacity() - piece.size());
        piece.append(bytes.substr(0, count));
        bytes.remove_prefix(count);
        current_ += bytes.empty() ? 0 : 1;
    }
}

auto MessageBodyBuilder::size() const -> std::size_t
{
    return storage_.size_;
}

auto MessageBodyBuilder::take() -> MessageBody
{
    auto storage = std::exchange(storage_, MessageBody::Storage { {}, 0, ByteReservation(budget_) });
    capacity_ = 0;
    free_ = 0;
    current_ = 0;
    if (storage.size_ == 0) {
        return {};
    }
    return MessageBody(std::make_shared<const MessageBody::Storage>(std::move(storage)));
}

}
