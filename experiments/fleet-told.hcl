# Forty instances that are told a wrong number: they are one, forty, or four hundred. Does it harm service, or a fresh box?
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
site {
  balancers = var.instances
  told      = var.told
  roster {
    delay  = "200ms"
    spread = "0s"
  }
  rules {
    fall_window = "2s"
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
