# What latency does each policy have without faults, and does each serve all requests?
experiment "calm" {
  question = "On a calm day, what does each policy cost in latency?"
  duration = "40s"
  warmup   = "5s"
  seeds    = [1, 2, 3, 4, 5]
  virtual  = true
}
vars {
  rate = "60/s"
}
include "sites/three-tiers.hcl" {}
load {
  rate = var.rate
  clients {
    patience_least = 0.7
    retries        = 1
    retry_wait     = "200ms"
  }
}
include "variants/policies.hcl" {}
expect {
  arm                 = "design"
  rules_kept          = true
  served_in_time_over = 0.98
}
