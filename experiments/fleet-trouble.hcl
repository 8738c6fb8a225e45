# Forty instances at 60% load, with faults of discovery that affect all of them at once and
# servers that come and go: discovery is silent for 8 s, a server crashes and restarts
# repeatedly, and then all servers but one are replaced within seconds, so that nearly all are
# cold.
experiment "fleet-trouble" {
  question = "Do forty instances that share nothing get through a silent roster, a flapping box and a cold fleet?"
  duration = "50s"
  warmup   = "3s"
  repeats  = 3
  virtual  = true
}
vars {
  instances = 40
  rate      = "576/s"
  careful   = 0.9
}
include "sites/fleet.hcl" {}
load {
  rate = var.rate
  clients {
    retries    = 2
    retry_wait = "100ms"
    heed       = true
  }
}
fault "roster_silent" {
  at  = "6s"
  for = "8s"
}
fault "crash" {
  at   = "16s"
  for  = "2s"
  part = 0.05
}
fault "crash" {
  at   = "20s"
  for  = "2s"
  part = 0.05
}
fault "crash" {
  at   = "24s"
  for  = "2s"
  part = 0.05
}
fault "deploy" {
  at     = "28s"
  for    = "10s"
  part   = 1.0
  size   = 0.17
  period = "1s"
}
arm "careful" {
  policy     = "tuliprock"
  cold_share = var.careful
}
arm "platform" {
  policy = "tuliprock"
}
arm "round_robin" {
  policy = "round_robin"
}
arm "two_choices" {
  policy = "two_choices"
}
expect {
  arm        = "careful"
  rules_kept = true
}
