#include "briarwood/routing/cold_start.h"

namespace briarwood::routing {

void ColdStart::OnListed(common::Duration warm_up, common::Time read_at) {
  listed_until_ = warm_up > common::Duration(0) ? read_at + warm_up : common::Time();
  if (read_at >= event_at_ + kListDelay) unconfirmed_until_ = {};
}

void ColdStart::OnMayBeCold(common::Time now) {
  event_at_ = now;
  unconfirmed_until_ = now + kMaxUnconfirmedPeriod;
}

}  // namespace briarwood::routing
