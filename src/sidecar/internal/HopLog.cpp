#include "sidecar/internal/HopLog.h"
#include "sidecar/internal/UpstreamStatement.h"

namespace lycheethread::sidecar {

void logHopOutcome(NodeContext &Context, const HopJob &Job,
                   const HopOutcome &Outcome, const mesh::HopQueue &Queue,
                   Milliseconds Service) {
  const SteadyTime Now = Context.now();
  const mesh::Upstream &Upstream = Context.Registered.Current;
  Context.Log.write(
      LogClass::Failure, Now,
      Outcome.End == HopResult::NotRun ? "hop-refused" : "hop-failed",
      {{"request", Job.Id.str()},
       {"reason", std::string(toString(Outcome.Reason))},
       {"reached", Outcome.Reached ? "yes" : "no"},
       {"route", Job.Info.Route.str()},
       {"rank", std::to_string(Job.Info.Rank)},
       {"organisation", Job.Info.Organisation.str()},
       {"share_level",
        std::to_string(mesh::shareLevel(Queue.Shares, Job.Info.Organisation))},
       {"upstream", Upstream.Id.str()},
       {"check_in_age_ms",
        std::to_string(elapsed(Context.Registered.HeardAt, Now).count())},
       {"slots", std::to_string(Queue.Slots)},
       {"running", std::to_string(Queue.Running)},
       {"waiting", std::to_string(Queue.Waiting.size())},
       {"service_ms", std::to_string(Service.count())},
       {"room_in_ms", std::to_string(Outcome.RetryDelay.count())},
       {"limit_per_s", rateText(mesh::limitOf(Queue, Now))},
       {"left_ms", std::to_string(elapsed(Now, Job.Info.DeadlineAt).count())}});
}

} // namespace lycheethread::sidecar
