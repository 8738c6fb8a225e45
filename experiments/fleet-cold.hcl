# All instances learn of a cold server in the same millisecond, with all servers at 90% of their
# capacity (at 45% if rate is set to 432/s). Does the cold server get no more than its stated
# warm-up capacity within any 2 s, whatever the number of instances? The variant "knowing" is
# configured for the utilization of the servers, which no instance can know by itself.
experiment "fleet-cold" {
  question = "Does a fresh box get no more than its stated warm-up capacity, however many instances meet it?"
  duration = "24s"
  warmup   = "1s"
  repeats  = 3
  virtual  = true
}
vars {
  instances = 40
  rate      = "864/s"
  careful   = 0.9
}
sweep "instances" {
  values = [1, 10, 40, 100, 400]
}
include "sites/fleet.hcl" {}
load {
  rate = var.rate
}
fault "deploy" {
  at     = "8s"
  for    = "1s"
  part   = 0.05
  size   = 0.05
  period = "2s"
}
arm "careful" {
  policy     = "tuliprock"
  cold_share = var.careful
}
arm "platform" {
  policy = "tuliprock"
}
arm "knowing" {
  policy     = "tuliprock"
  cold_share = 1.1
}
arm "round_robin" {
  policy = "round_robin"
}
arm "reverse_proxy" {
  policy = "reverse_proxy"
}
arm "two_choices" {
  policy = "two_choices"
}
expect {
  arm              = "careful"
  rules_kept       = true
  fresh_peak_under = 1
}
