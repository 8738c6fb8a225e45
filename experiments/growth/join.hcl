# 60% of the gateways are replaced within 7 s by cold ones. The few warm gateways are overloaded
# and slow down meanwhile, unless the cold ones get as much load as they can take while they warm
# up.
experiment "growth-join" {
  question = "Do many callers with little to send use what fresh boxes can do, while six in ten are replaced?"
  duration = "45s"
  warmup   = "1s"
  repeats  = 6
  virtual  = true
}
include "../sites/thin.hcl" {}
fault "deploy" {
  at     = "12s"
  for    = "7s"
  tier   = "gateway"
  part   = 0.6
  size   = 0.2
  period = "5s"
}
expect {
  arm                 = "design"
  rules_kept          = true
  served_in_time_over = 0.889
}
