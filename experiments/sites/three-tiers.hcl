# A service of three tiers with two tenants, and two instances in front of the first tier. A file
# that includes this one sets the load, the faults, the variants and the expectations.
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
