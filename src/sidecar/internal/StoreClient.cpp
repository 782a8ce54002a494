#include "sidecar/internal/StoreClient.h"

#include "settings/Settings.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/NumberParser.h>

namespace lycheethread::sidecar {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

/// The store may be slow; a call that takes longer is repeated later or at
/// another node.
constexpr Milliseconds CallTimeout{1500};
/// The one-way time to the other region is 30 ms.
constexpr Milliseconds ConnectTimeout{600};
constexpr Milliseconds MaxIdle{60000};

} // namespace

StoreClient::StoreClient(NodeContext &Context)
    : Context_(Context), Pool_(Context.Loop) {}

StoreClient::~StoreClient() = default;

void StoreClient::updateReachable(bool Reachable, int Status) {
  if (Reachable == Reachable_)
    return;
  Reachable_ = Reachable;
  Context_.Log.write(LogClass::State, Context_.now(),
                     Reachable ? "store-regained" : "store-lost",
                     {{"status", std::to_string(Status)}});
}

/// Returns the era in an answer; a store that states none is in era 0.
StoreEra StoreClient::readEra(const Poco::Net::HTTPResponse &Head) {
  Poco::Int64 Stated = 0;
  if (!Poco::NumberParser::tryParse64(
          Head.get(Context_.Platform.Store.EraHeader, ""), Stated) ||
      Stated < 0)
    return Era_.value_or(StoreEra());
  const StoreEra Era(Stated);
  if (Era_ && Era <= *Era_)
    return Era;
  Context_.Log.write(LogClass::State, Context_.now(), "store-era",
                     {{"era", std::to_string(Stated)},
                      {"restored", Era_ ? "yes" : "unknown"}});
  Era_ = Era;
  return Era;
}

void StoreClient::call(const StoreCall &Call, Milliseconds Timeout,
                       AnswerCallback Done) {
  struct Pending {
    ClientConnectionPtr Connection;
    reactor::TimerId Timer;
    AnswerCallback Done;
    bool Ended = false;
  };
  const Endpoint To = Context_.Settings.Store;
  auto Item = std::make_shared<Pending>();
  Item->Done = std::move(Done);
  Item->Connection = Pool_.take(To, MaxIdle);
  if (!Item->Connection)
    Item->Connection =
        ClientConnection::open(Context_.Loop, To, ConnectTimeout);
  HTTPRequest Head(Call.Method, Call.Target, HTTPMessage::HTTP_1_1);
  Head.set(HTTPRequest::HOST, settings::toString(To));
  ClientRequest Request;
  Request.Method = Call.Method;
  if (!Call.ContentType.empty()) {
    Head.setContentType(Call.ContentType);
    Head.setContentLength64(static_cast<std::int64_t>(Call.Body.size()));
    Request.Body = BodyPipe::complete(Call.Body);
  }
  Request.Head = http::serialize(Head);
  const auto End = [this, Item](const Answer &Read) {
    if (Item->Ended)
      return;
    Item->Ended = true;
    Context_.Loop.cancel(Item->Timer);
    updateReachable(Read.Status != 0, Read.Status);
    const ClientConnectionPtr Used = std::move(Item->Connection);
    const auto Callback = std::move(Item->Done);
    if (Read.Status == 0)
      Used->close();
    else
      Pool_.recycle(Used);
    Callback(Read);
  };
  Item->Timer = Context_.Loop.runAfter(Timeout, [End] { End({}); });
  auto Body = std::make_shared<std::string>();
  auto Read = std::make_shared<Answer>();
  ClientCallbacks Callbacks;
  // The body of a large configuration arrives in parts.
  Callbacks.OnAnswer = [this, Body, Read](const ClientAnswer &Received) {
    Read->Status = Received.Head.getStatus();
    Read->Era = readEra(Received.Head);
    collectBody(Received, Body);
  };
  Callbacks.OnComplete = [End, Body, Read] {
    Read->Body = std::move(*Body);
    End(*Read);
  };
  Callbacks.OnFailure = [End](ClientFailure) { End({}); };
  Item->Connection->start(std::move(Request), std::move(Callbacks));
}

void StoreClient::read(StoreTopic Topic, Offset From, Milliseconds Wait,
                       std::function<void(StoreRead)> Done) {
  const StoreProtocol &Store = Context_.Platform.Store;
  call(Store.Read(Topic, plainOffset(From), Wait), Wait + CallTimeout,
       [&Store, From, Done = std::move(Done)](const Answer &Read) {
         StoreRead Result = Store.ParseRead(Read.Status, Read.Body);
         // Only an answer of the store itself tells its era.
         const bool IsOtherEra =
             Result.Outcome == StoreOutcome::Done && Read.Era != eraOf(From);
         if (IsOtherEra) {
           Result = {};
           Result.Outcome = StoreOutcome::Trimmed;
         }
         Offset At = From;
         for (StoreItem &Item : Result.Items) {
           Item.At = At;
           At = At.next();
         }
         Result.End = positionOf(Read.Era, Result.End);
         Done(std::move(Result));
       });
}

void StoreClient::readPage(StoreTopic Topic, const std::string &After,
                           std::shared_ptr<StoreRead> Sum, bool ReadsAll,
                           std::function<void(StoreRead)> Done) {
  const StoreProtocol &Store = Context_.Platform.Store;
  call(Store.Newest(Topic, After), CallTimeout,
       [this, &Store, Topic, Sum, ReadsAll,
        Done = std::move(Done)](const Answer &Read) {
         const StoreRead Page = Store.ParseNewest(Read.Status, Read.Body);
         Sum->Outcome = Page.Outcome;
         // Records that are added while pages are read lie after this end, so
         // reading on from it misses none.
         if (Sum->Items.empty())
           Sum->End = positionOf(Read.Era, Page.End);
         // Pages of two eras do not belong together; they are read again.
         if (Page.Outcome == StoreOutcome::Done && Read.Era != eraOf(Sum->End))
           Sum->Outcome = StoreOutcome::Unavailable;
         for (StoreItem Item : Page.Items) {
           Item.At = positionOf(Read.Era, Item.At);
           Sum->Items.push_back(std::move(Item));
         }
         if (Sum->Outcome == StoreOutcome::Done && ReadsAll && Page.HasMore &&
             !Page.Items.empty())
           readPage(Topic, Page.Items.back().Key, Sum, ReadsAll, Done);
         else
           Done(std::move(*Sum));
       });
}

void StoreClient::readNewest(StoreTopic Topic,
                             std::function<void(StoreRead)> Done) {
  readPage(Topic, "", std::make_shared<StoreRead>(), true, std::move(Done));
}

void StoreClient::readNewestAfter(StoreTopic Topic, const std::string &After,
                                  std::function<void(StoreRead)> Done) {
  readPage(Topic, After, std::make_shared<StoreRead>(), false, std::move(Done));
}

void StoreClient::append(StoreTopic Topic, const std::string &Key,
                         const std::string &Value, std::optional<Offset> At,
                         std::function<void(StoreAppend)> Done) {
  const StoreProtocol &Store = Context_.Platform.Store;
  std::optional<Offset> Plain;
  if (At)
    Plain = plainOffset(*At);
  call(Store.Append(Topic, Key, Value, Plain), CallTimeout,
       [&Store, At, Done = std::move(Done)](const Answer &Read) {
         StoreAppend Result = Store.ParseAppend(Read.Status, Read.Body);
         Result.End = positionOf(Read.Era, Result.End);
         // The condition was about a topic that no longer exists like that, so
         // the caller has to read it again.
         if (At && Result.Outcome == StoreOutcome::Done &&
             Read.Era != eraOf(*At))
           Result.Outcome = StoreOutcome::Conflict;
         Done(std::move(Result));
       });
}

} // namespace lycheethread::sidecar
