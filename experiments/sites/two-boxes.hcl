# Two boxes that answer in a millisecond, one caller that asks 33 times a second, and a roster that says nothing of faults, as a
# list in a file would not. Files that include it add faults from the tenth second on.
vars {
  effect    = "safe"
  instances = 1
  rate      = "33/s"
}
site {
  balancers = var.instances
  network {
    delay  = "50us"
    jitter = 0.3
  }
  class "lookup" {
    effect   = var.effect
    work     = "1ms"
    spread   = "exponential"
    aim      = "500ms"
    deadline = "2s"
  }
  tier "box" {
    boxes = 2
    kind "box" {
      slots = 64
      queue = 64
    }
  }
}
load {
  rate    = var.rate
  process = "steady"
}
fault "roster_silent" {
  at  = "100ms"
  for = "1h"
}
arm "design" {
  policy = "tuliprock"
}
arm "random" {
  policy = "random"
}
arm "round_robin" {
  policy = "round_robin"
}
arm "least_outstanding" {
  policy = "least_outstanding"
}
arm "two_choices" {
  policy = "two_choices"
}
arm "peak_ewma" {
  policy = "peak_ewma"
}
