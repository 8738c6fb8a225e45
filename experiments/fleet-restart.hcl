# Instances are killed, one every 6 s, and start again 200 ms later, at 75% load. Two of the
# servers have noisy neighbours. What does an instance gain by starting with the learned state of
# a snapshot?
experiment "fleet-restart" {
  question = "What does a snapshot spare an instance that starts again?"
  duration = "36s"
  warmup   = "8s"
  repeats  = 10
  virtual  = true
}
vars {
  instances = 4
  downtime  = "200ms"
  rate      = "720/s"
}
sweep "instances" {
  values = [1, 4]
}
site {
  balancers = var.instances
  attempts  = 5
  class "form-lookup" {
    effect   = "safe"
    share    = 0.9
    work     = "50ms"
    spread   = "exponential"
    aim      = "500ms"
    deadline = "2s"
  }
  class "return-submit" {
    effect   = "unsafe"
    share    = 0.1
    work     = "50ms"
    spread   = "lognormal"
    cv       = 0.5
    aim      = "500ms"
    deadline = "2s"
    worth    = 10
  }
  tier "form-check" {
    boxes = 12
    kind "std" {
      cores = 4
      slots = 40
      queue = 300
    }
    connections {
      work = "1ms"
      idle = "30s"
    }
  }
}
load {
  rate = var.rate
  clients {
    retries    = 2
    retry_wait = "100ms"
  }
}
fault "neighbour" {
  at     = "0s"
  for    = "36s"
  part   = 0.17
  size   = 0.7
  period = "60s"
}
fault "kill_sidecar" {
  at     = "10s"
  for    = var.downtime
  count  = 4
  period = "6s"
}
arm "snapshot" {
  policy   = "tuliprock"
  snapshot = true
}
arm "anew" {
  policy = "tuliprock"
}
arm "two_choices" {
  policy = "two_choices"
}
expect {
  arm                 = "snapshot"
  rules_kept          = true
  served_in_time_over = 0.95
}
