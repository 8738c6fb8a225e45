# When boxes fail fast, lose their cores to neighbours, die and vanish, how much does each policy still serve in time?
experiment "trouble" {
  question = "When boxes fail fast, slow down, die and vanish, how much does each policy still serve in time?"
  duration = "50s"
  warmup   = "2s"
  seeds    = [1, 2, 3, 4, 5]
  virtual  = true
}
vars {
  rate = "80/s"
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
    quota = "120/s"
  }
  tenant "huron-county" {
    share = 0.3
    quota = "60/s"
  }
  tier "form-gateway" {
    boxes = 8
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
    boxes = 10
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
    boxes = 12
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
    patience_least = 0.6
    retries        = 1
    retry_wait     = "200ms"
    leave          = 0.01
  }
}
fault "fast_errors" {
  at   = "5s"
  for  = "8s"
  tier = "form-gateway"
  part = 0.1
  size = 0.8
}
fault "neighbour" {
  at     = "12s"
  for    = "12s"
  tier   = "form-check"
  part   = 0.25
  size   = 0.6
  period = "2s"
}
fault "crash" {
  at   = "22s"
  for  = "4s"
  tier = "return-filing"
  part = 0.15
}
fault "vanish" {
  at   = "30s"
  for  = "6s"
  tier = "form-gateway"
  part = 0.12
}
fault "break_after" {
  at   = "38s"
  for  = "4s"
  tier = "form-check"
  part = 0.3
  size = 0.1
}
fault "shared_slow" {
  at   = "43s"
  for  = "4s"
  size = 1.8
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
arm "reverse_proxy" {
  policy = "reverse_proxy"
}
expect {
  arm                 = "design"
  rules_kept          = true
  served_in_time_over = 0.8
}
