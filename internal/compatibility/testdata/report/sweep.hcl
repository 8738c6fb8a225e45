experiment "sweep" {
  question = "What does a report of a sweep, with a fault and an expectation that is not met, hold?"
  duration = "8s"
  warmup   = "1s"
  seeds    = [1, 2]
  virtual  = true
}
vars {
  instances = 40
}
sweep "instances" {
  values = [1, 4]
}
site {
  balancers = var.instances
  roster {
    delay  = "500ms"
    spread = "0s"
  }
  class "form-lookup" {
    effect   = "safe"
    share    = 0.7
    work     = "50ms"
    spread   = "exponential"
    aim      = "500ms"
    deadline = "2s"
  }
  class "return-submit" {
    effect   = "unsafe"
    share    = 0.3
    work     = "60ms"
    spread   = "lognormal"
    cv       = 0.5
    aim      = "500ms"
    deadline = "2s"
    worth    = 10
  }
  tier "form-check" {
    boxes = 6
    kind "std" {
      cores = 2
      slots = 20
      queue = 300
    }
    cold {
      from = 0.31
      for  = "8s"
    }
    connections {
      work = "1ms"
      idle = "30s"
    }
  }
}
load {
  rate = "900/s"
}
fault "deploy" {
  at     = "2s"
  for    = "1s"
  part   = 0.2
  size   = 0.2
  period = "2s"
}
arm "design" {
  policy = "tuliprock"
}
expect {
  arm                 = "design"
  served_in_time_over = 0.98
}
