# Every instance hears of one fresh box in the same millisecond, with all boxes at 90% of their capacity (432/s: at 45%). Is
# it sent no more than its stated warm-up capacity within any 2 s, whatever the number of instances? "knowing" is told what
# none can know by itself: how much of their capacity the boxes are used.
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
site {
  balancers = var.instances
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
