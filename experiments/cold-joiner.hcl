# Many instances send requests to one cold server from the same moment on. Does the server stay
# up, whatever the number of instances?
experiment "cold-joiner" {
  question = "Many instances meet one cold box at once: does it live?"
  duration = "30s"
  warmup   = "1s"
  seeds    = [1, 2, 3]
  virtual  = true
}
vars {
  instances = 40
}
sweep "instances" {
  values = [1, 10, 40, 100]
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
    boxes = 12
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
  rate = "240/s"
}
fault "deploy" {
  at     = "8s"
  for    = "1s"
  part   = 0.05
  size   = 0.05
  period = "2s"
}
include "variants/policies.hcl" {}
expect {
  arm        = "design"
  rules_kept = true
}
