# The simplest fault there is. The roster says nothing of it, as a file that others write would not.
experiment "one-of-two-dies" {
  question = "Two boxes, one caller: when one is killed, does the other serve all that comes?"
  duration = "9s"
  seeds    = [1, 2, 3, 4, 5, 6, 7, 8]
  virtual  = true
}
site {
  balancers = 1
  network {
    delay  = "50us"
    jitter = 0.3
  }
  class "lookup" {
    effect   = "safe"
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
  rate    = "33/s"
  process = "steady"
}
fault "roster_silent" {
  at  = "100ms"
  for = "30s"
}
fault "crash" {
  at   = "200ms"
  for  = "4s"
  part = 0.5
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
expect {
  arm                     = "design"
  rules_kept              = true
  refused_or_failed_under = 0.001
}
