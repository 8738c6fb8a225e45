# 80 sidecars and 60 servers at a low rate: 32 sidecars in front of the first tier, tiers of 18,
# 30 and 12 servers, and a sidecar beside each server of the first two tiers. Each of the 32
# sends two requests a second, so that it sends each server a request about every 10 s. A file
# that includes this one sets the faults and the expectations.
vars {
  callers = 32
  rate    = "60/s"
}
site {
  balancers = var.callers
  attempts  = 5
  roster {
    delay  = "2s"
    spread = "300ms"
  }
  class "lookup" {
    effect   = "safe"
    share    = 0.35
    work     = "500ms"
    spread   = "exponential"
    aim      = "2500ms"
    deadline = "6s"
  }
  class "save" {
    effect   = "safe"
    share    = 0.35
    work     = "550ms"
    spread   = "exponential"
    aim      = "2500ms"
    deadline = "6s"
  }
  class "submit" {
    effect   = "unsafe"
    share    = 0.3
    work     = "700ms"
    spread   = "exponential"
    aim      = "2500ms"
    deadline = "6s"
    worth    = 10
  }
  tenant "large" {
    share = 0.7
    quota = "60/s"
  }
  tenant "small" {
    share = 0.3
    quota = "25/s"
  }
  tier "gateway" {
    boxes = 18
    work  = 0.26
    calls = 1
    kind "fast" {
      share = 0.3
      speed = 1.3
      slots = 30
      queue = 300
    }
    kind "std" {
      share = 0.7
      slots = 30
      queue = 300
    }
    cold {
      from = 0.31
      for  = "9s"
    }
  }
  tier "check" {
    boxes = 30
    work  = 0.44
    calls = 1
    kind "std" {
      slots = 15
      queue = 300
    }
    cold {
      from = 0.31
      for  = "9s"
    }
  }
  tier "filing" {
    boxes = 12
    work  = 0.3
    kind "std" {
      cores = 2
      slots = 15
      queue = 300
    }
    cold {
      from = 0.31
      for  = "9s"
    }
  }
}
load {
  rate = var.rate
}
arm "design" {
  policy = "tuliprock"
}
