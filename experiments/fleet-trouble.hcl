# Forty instances at 60% load while the roster fails them all at once and boxes come and go: it says nothing for 8 s in which a
# deploy begins, a box flaps, and then all boxes but one are replaced within seconds, so that nearly the whole fleet is cold.
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
