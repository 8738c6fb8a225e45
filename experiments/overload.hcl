# How much does a service still serve in time beyond its capacity, by policy? The sweep raises
# the load past the capacity, and servers slow down if they are overloaded for too long. There
# are no tenants: a request that a quota rejects is not a failure of the policy, and the
# baselines have no quotas.
experiment "overload" {
  question = "Through and past its capacity, what does a service still serve in time?"
  duration = "30s"
  warmup   = "3s"
  seeds    = [1, 2, 3]
  virtual  = true
}
vars {
  rate = "200/s"
}
sweep "rate" {
  values = ["160/s", "220/s", "280/s", "360/s", "480/s"]
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
    choke {
      at     = 5
      over   = "2s"
      slower = 2.5
      below  = 0.4
      rest   = "3s"
      most   = "20s"
    }
  }
}
load {
  rate = var.rate
  clients {
    patience_least = 0.6
    retries        = 2
    retry_wait     = "300ms"
    heed           = true
  }
}
include "variants/policies.hcl" {}
expect {
  arm        = "design"
  rules_kept = true
}
