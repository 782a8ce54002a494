#include "http/types/AnswerOrder.h"

#include <algorithm>

namespace lycheethread::http {

namespace {

auto findSlot(const AnswerOrder &Order, RequestNumber Number) {
  return std::find_if(
      Order.Slots.begin(), Order.Slots.end(),
      [Number](const AnswerSlot &Slot) { return Slot.Number == Number; });
}

auto findSlot(AnswerOrder &Order, RequestNumber Number) {
  return std::find_if(
      Order.Slots.begin(), Order.Slots.end(),
      [Number](const AnswerSlot &Slot) { return Slot.Number == Number; });
}

} // namespace

RequestNumber addRequest(AnswerOrder &Order, bool EndsConnection) {
  AnswerSlot Slot;
  Slot.Number = RequestNumber(Order.NextNumber++);
  Slot.EndsConnection = EndsConnection;
  Order.Slots.push_back(Slot);
  return Slot.Number;
}

bool mayReadRequest(const AnswerOrder &Order, bool IsStopping) {
  if (Order.Slots.empty())
    return true;
  return !IsStopping && Order.Slots.size() < MaxPipelinedRequests &&
         !Order.Slots.back().EndsConnection;
}

void setReady(AnswerOrder &Order, RequestNumber Number) {
  const auto Found = findSlot(Order, Number);
  if (Found != Order.Slots.end())
    Found->IsReady = true;
}

std::optional<RequestNumber> nextToWrite(const AnswerOrder &Order) {
  if (Order.Slots.empty() || !Order.Slots.front().IsReady)
    return std::nullopt;
  return Order.Slots.front().Number;
}

bool isLastAnswer(const AnswerOrder &Order, RequestNumber Number,
                  bool IsStopping) {
  const auto Found = findSlot(Order, Number);
  if (Found == Order.Slots.end())
    return false;
  return Found->EndsConnection ||
         (IsStopping && Number == Order.Slots.back().Number);
}

std::vector<RequestNumber> endAfter(AnswerOrder &Order, RequestNumber Number) {
  std::vector<RequestNumber> Removed;
  const auto Found = findSlot(Order, Number);
  if (Found == Order.Slots.end())
    return Removed;
  Found->EndsConnection = true;
  for (auto Behind = std::next(Found); Behind != Order.Slots.end(); ++Behind)
    Removed.push_back(Behind->Number);
  Order.Slots.erase(std::next(Found), Order.Slots.end());
  return Removed;
}

bool finishFront(AnswerOrder &Order) {
  const bool StaysOpen = !Order.Slots.front().EndsConnection;
  Order.Slots.pop_front();
  return StaysOpen;
}

std::vector<RequestNumber> removeAll(AnswerOrder &Order) {
  std::vector<RequestNumber> Removed;
  for (const AnswerSlot &Slot : Order.Slots)
    Removed.push_back(Slot.Number);
  Order.Slots.clear();
  return Removed;
}

std::optional<RequestNumber> takeNewFirst(AnswerOrder &Order, bool AllSent) {
  if (!AllSent || Order.Slots.empty() || Order.Slots.front().IsFirst)
    return std::nullopt;
  Order.Slots.front().IsFirst = true;
  return Order.Slots.front().Number;
}

bool isFirst(const AnswerOrder &Order, RequestNumber Number) {
  const auto Found = findSlot(Order, Number);
  return Found != Order.Slots.end() && Found->IsFirst;
}

std::optional<RequestNumber> requestBefore(const AnswerOrder &Order,
                                           RequestNumber Number) {
  const auto Found = findSlot(Order, Number);
  if (Found == Order.Slots.end() || Found == Order.Slots.begin())
    return std::nullopt;
  return std::prev(Found)->Number;
}

} // namespace lycheethread::http
