# Does the deployed program serve a service of three tiers while a noisy neighbour slows a server
# and another server crashes? Runs on real sockets: emulated servers and discovery on loopback,
# the built program in front of each tier, and clients in front of the first one.
experiment "first" {
  question = "Does the deployed program serve three tiers through a slow neighbour and a box that dies?"
  duration = "12s"
  warmup   = "1s"
}
vars {
  rate = "40/s"
}
site {
  balancers = 2
  network {
    delay  = "200us"
    jitter = 0.3
  }
  roster {
    delay  = "1s"
    spread = "300ms"
  }
  class "form-lookup" {
    effect   = "safe"
    share    = 0.4
    work     = "60ms"
    wait     = "20ms"
    spread   = "exponential"
    aim      = "500ms"
    deadline = "2s"
    worth    = 1
  }
  class "draft-save" {
    effect   = "safe"
    share    = 0.3
    work     = "70ms"
    wait     = "25ms"
    spread   = "lognormal"
    cv       = 0.6
    aim      = "500ms"
    deadline = "2s"
    worth    = 1
  }
  class "return-submit" {
    effect   = "unsafe"
    share    = 0.3
    work     = "80ms"
    wait     = "10ms"
    spread   = "lognormal"
    cv       = 0.5
    aim      = "500ms"
    deadline = "2s"
    worth    = 10
  }
  tenant "erie-county" {
    share = 0.7
    quota = "80/s"
  }
  tenant "huron-county" {
    share = 0.3
    quota = "40/s"
  }
  tier "form-gateway" {
    boxes = 4
    work  = 0.26
    calls = 1
    kind "fast" {
      share = 0.4
      speed = 1.3
      slots = 30
      queue = 300
    }
    kind "old" {
      share = 0.6
      speed = 0.8
      slots = 30
      queue = 300
    }
    cold {
      from = 0.31
      for  = "7s"
    }
    connections {
      work  = "1ms"
      limit = 600
      idle  = "30s"
    }
    report {
      every = "150ms"
      delay = "50ms"
      noise = 0.1
    }
  }
  tier "form-check" {
    boxes = 5
    work  = 0.36
    calls = 1
    kind "fast" {
      share = 0.44
      speed = 1.3
      slots = 15
      queue = 300
    }
    kind "std" {
      share = 0.56
      speed = 0.95
      slots = 15
      queue = 300
    }
    cold {
      from = 0.31
      for  = "7s"
    }
    connections {
      work  = "1ms"
      limit = 600
      idle  = "30s"
    }
  }
  tier "return-filing" {
    boxes = 6
    work  = 0.38
    kind "fast" {
      share = 0.44
      speed = 1.3
      slots = 8
      queue = 300
    }
    kind "std" {
      share = 0.56
      speed = 0.95
      slots = 8
      queue = 300
    }
    cold {
      from = 0.31
      for  = "7s"
    }
    connections {
      work  = "1ms"
      limit = 600
      idle  = "30s"
    }
  }
}
load {
  rate = var.rate
  clients {
    patience_least = 0.7
    retries        = 1
    retry_wait     = "200ms"
  }
}
fault "neighbour" {
  at   = "3s"
  for  = "4s"
  tier = "form-check"
  part = 0.2
  size = 0.6
}
fault "crash" {
  at   = "8s"
  for  = "2s"
  tier = "return-filing"
  part = 0.15
}
arm "design" {
  policy = "tuliprock"
}
expect {
  rules_kept          = true
  served_in_time_over = 0.9
}
