# There are no faults, and the servers are at half of their capacity, so every request that a
# sidecar rejects is rejected because of random variation alone.
experiment "growth-calm" {
  question = "Do many callers with little to send refuse nothing while their boxes have room?"
  duration = "40s"
  warmup   = "1s"
  repeats  = 3
  virtual  = true
}
include "../sites/thin.hcl" {}
expect {
  arm                     = "design"
  rules_kept              = true
  refused_or_failed_under = 0.02
  served_in_time_over     = 0.93
}
