# All instances are killed at the same instant and start again 300 ms later, at 75% load. While
# they are down, a server is replaced by a cold one, of which all instances learn as they come
# back. Two of the servers have noisy neighbours.
# Known failure: with snapshots and 100 instances, some seeds still send the cold server more
# than it can take (docs/results/recovery.md). The expectation stays although it is not met with
# every seed.
experiment "fleet-mass-restart" {
  question = "Does a fleet that restarts at once come back without pushing a box over, with and without snapshots?"
  duration = "30s"
  warmup   = "8s"
  repeats  = 3
  virtual  = true
}
vars {
  instances = 100
  downtime  = "300ms"
  rate      = "720/s"
}
sweep "instances" {
  values = [10, 100, 1000]
}
include "sites/fleet.hcl" {}
load {
  rate = var.rate
  clients {
    retries    = 2
    retry_wait = "100ms"
  }
}
fault "neighbour" {
  at     = "0s"
  for    = "30s"
  part   = 0.17
  size   = 0.7
  period = "60s"
}
fault "deploy" {
  at     = "9.9s"
  for    = "0.1s"
  part   = 0.05
  size   = 0.05
  period = "0.1s"
}
fault "kill_sidecar" {
  at     = "10s"
  for    = var.downtime
  count  = var.instances
  period = "0s"
}
arm "snapshot" {
  policy     = "tuliprock"
  snapshot   = true
  cold_share = 0.9
}
arm "anew" {
  policy     = "tuliprock"
  cold_share = 0.9
}
arm "round_robin" {
  policy = "round_robin"
}
expect {
  arm              = "snapshot"
  rules_kept       = true
  fresh_peak_under = 1
}
