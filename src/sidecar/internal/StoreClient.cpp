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

void StoreClient::readEra(const Poco::Net::HTTPResponse &Head) {
  Poco::Int64 Stated = 0;
  if (!Poco::NumberParser::tryParse64(
          Head.get(Context_.Platform.Store.EraHeader, ""), Stated) ||
      StoreEra(Stated) <= Era_)
    return;
  const bool IsFirst = Era_ == StoreEra();
  Era_ = StoreEra(Stated);
  Context_.Log.write(LogClass::State, Context_.now(), "store-era",
                     {{"era", std::to_string(Stated)},
                      {"restored", IsFirst ? "unknown" : "yes"}});
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
  const auto End = [this, Item](int Status, const std::string &Body) {
    if (Item->Ended)
      return;
    Item->Ended = true;
    Context_.Loop.cancel(Item->Timer);
    updateReachable(Status != 0, Status);
    const ClientConnectionPtr Used = std::move(Item->Connection);
    const auto Callback = std::move(Item->Done);
    if (Status == 0)
      Used->close();
    else
      Pool_.recycle(Used);
    Callback(Status, Body);
  };
  Item->Timer = Context_.Loop.runAfter(Timeout, [End] { End(0, ""); });
  auto Body = std::make_shared<std::string>();
  auto Status = std::make_shared<int>(0);
  ClientCallbacks Callbacks;
  // The body of a large configuration arrives in parts.
  Callbacks.OnAnswer = [this, Body, Status](const ClientAnswer &Answer) {
    *Status = Answer.Head.getStatus();
    readEra(Answer.Head);
    collectBody(Answer, Body);
  };
  Callbacks.OnComplete = [End, Body, Status] { End(*Status, *Body); };
  Callbacks.OnFailure = [End](ClientFailure) { End(0, ""); };
  Item->Connection->start(std::move(Request), std::move(Callbacks));
}

void StoreClient::read(StoreTopic Topic, Offset From, Milliseconds Wait,
                       std::function<void(StoreRead)> Done) {
  call(Context_.Platform.Store.Read(Topic, From, Wait), Wait + CallTimeout,
       [this, From, Done = std::move(Done)](int Status,
                                            const std::string &Body) {
         StoreRead Result = Context_.Platform.Store.ParseRead(Status, Body);
         Offset At = From;
         for (StoreItem &Item : Result.Items) {
           Item.At = At;
           At = At.next();
         }
         Done(std::move(Result));
       });
}

void StoreClient::readPage(StoreTopic Topic, const std::string &After,
                           std::shared_ptr<StoreRead> Sum,
                           std::function<void(StoreRead)> Done) {
  call(Context_.Platform.Store.Newest(Topic, After), CallTimeout,
       [this, Topic, After, Sum,
        Done = std::move(Done)](int Status, const std::string &Body) {
         const StoreRead Page =
             Context_.Platform.Store.ParseNewest(Status, Body);
         Sum->Outcome = Page.Outcome;
         // Records that are added while pages are read lie after this end, so
         // reading on from it misses none.
         if (After.empty())
           Sum->End = Page.End;
         Sum->Items.insert(Sum->Items.end(), Page.Items.begin(),
                           Page.Items.end());
         if (Page.Outcome == StoreOutcome::Done && Page.HasMore &&
             !Page.Items.empty())
           readPage(Topic, Page.Items.back().Key, Sum, Done);
         else
           Done(std::move(*Sum));
       });
}

void StoreClient::readNewest(StoreTopic Topic,
                             std::function<void(StoreRead)> Done) {
  readPage(Topic, "", std::make_shared<StoreRead>(), std::move(Done));
}

void StoreClient::append(StoreTopic Topic, const std::string &Key,
                         const std::string &Value, std::optional<Offset> At,
                         std::function<void(StoreAppend)> Done) {
  call(Context_.Platform.Store.Append(Topic, Key, Value, At), CallTimeout,
       [this, Done = std::move(Done)](int Status, const std::string &Body) {
         Done(Context_.Platform.Store.ParseAppend(Status, Body));
       });
}

} // namespace lycheethread::sidecar
