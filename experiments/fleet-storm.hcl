# For 20 s, 60% of all responses are truncated after the work was done, at 70% load. Retries add
# work that no client asked for. Does the fleet stay within the retry budget although each
# instance has a budget of its own, and does service recover when the fault ends? Servers that
# are overloaded become slow and stay slow until they are nearly idle, so a retry storm can
# outlast its cause.
experiment "fleet-storm" {
  question = "Does a retry storm end with its cause?"
  duration = "60s"
  warmup   = "5s"
  repeats  = 3
  virtual  = true
}
vars {
  instances = 40
  rate      = "672/s"
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
    choke {
      at     = 4
      over   = "500ms"
      slower = 2.5
      below  = 1
      rest   = "1s"
      most   = "30s"
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
fault "break_answer" {
  at   = "10s"
  for  = "20s"
  part = 1.0
  size = 0.6
}
arm "budget" {
  policy = "tuliprock"
  retry_budget {
    share = 0.1
  }
}
arm "no_budget" {
  policy = "tuliprock"
  retry_budget {
    share = 1
    floor = "100000/s"
    most  = 1000000
  }
}
arm "two_choices" {
  policy = "two_choices"
}
expect {
  arm           = "budget"
  rules_kept    = true
  resends_under = 0.12
}
