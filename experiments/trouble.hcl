# How much does each policy still serve in time while servers return errors at once, lose their
# cores to noisy neighbours, crash and become unreachable?
experiment "trouble" {
  question = "When boxes fail fast, slow down, die and vanish, how much does each policy still serve in time?"
  duration = "50s"
  warmup   = "2s"
  seeds    = [1, 2, 3, 4, 5]
  virtual  = true
}
vars {
  rate = "80/s"
}
include "sites/three-tiers.hcl" {}
load {
  rate = var.rate
  clients {
    patience_least = 0.6
    retries        = 1
    retry_wait     = "200ms"
    leave          = 0.01
  }
}
fault "fast_errors" {
  at   = "5s"
  for  = "8s"
  tier = "form-gateway"
  part = 0.1
  size = 0.8
}
fault "neighbour" {
  at     = "12s"
  for    = "12s"
  tier   = "form-check"
  part   = 0.25
  size   = 0.6
  period = "2s"
}
fault "crash" {
  at   = "22s"
  for  = "4s"
  tier = "return-filing"
  part = 0.15
}
fault "vanish" {
  at   = "30s"
  for  = "6s"
  tier = "form-gateway"
  part = 0.12
}
fault "break_after" {
  at   = "38s"
  for  = "4s"
  tier = "form-check"
  part = 0.3
  size = 0.1
}
fault "shared_slow" {
  at   = "43s"
  for  = "4s"
  size = 1.8
}
include "variants/policies.hcl" {}
expect {
  arm                 = "design"
  rules_kept          = true
  served_in_time_over = 0.8
}
