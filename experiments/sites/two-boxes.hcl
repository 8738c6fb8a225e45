# Two servers that respond in 1 ms, one instance that sends 33 requests a second, and a silent
# discovery: faults do not change the endpoint list, just as they would not change a static list.
# A file that includes this one adds the other faults.
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
