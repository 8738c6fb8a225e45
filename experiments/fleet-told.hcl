# The setting for the number of instances is wrong in most runs: the 40 instances are told that
# they are 1, 10, 40 or 400. Does this harm service, or overload a cold server?
experiment "fleet-told" {
  question = "Does a fresh box get no more than its stated warm-up capacity, whatever number of instances they are told?"
  duration = "24s"
  warmup   = "1s"
  repeats  = 3
  virtual  = true
}
vars {
  instances = 40
  told      = 40
  rate      = "864/s"
  careful   = 0.9
}
sweep "told" {
  values = [1, 10, 40, 400]
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
expect {
  arm              = "careful"
  rules_kept       = true
  fresh_peak_under = 1
}
