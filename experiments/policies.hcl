# What do timeouts, retries, hedged requests and queues gain while connections break before and
# after the last byte of a request, servers respond slowly or not at all, and errors are returned
# at once?
experiment "policies" {
  question = "What do an operator's policies bring while boxes break connections, err, turn slow and fall silent?"
  duration = "52s"
  warmup   = "2s"
  seeds    = [1, 2, 3]
  virtual  = true
}
site {
  balancers = 2
  attempts  = 3
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
    share    = 0.5
    work     = "12ms"
    wait     = "4ms"
    spread   = "exponential"
    aim      = "150ms"
    deadline = "2s"
    worth    = 1
  }
  class "return-submit" {
    effect   = "unsafe"
    share    = 0.5
    work     = "16ms"
    spread   = "lognormal"
    cv       = 0.5
    aim      = "300ms"
    deadline = "2s"
    worth    = 10
  }
  tier "forms" {
    boxes = 12
    kind "fast" {
      share = 0.5
      cores = 2
      speed = 1.3
      slots = 12
      queue = 200
    }
    kind "old" {
      share = 0.5
      cores = 2
      speed = 0.8
      slots = 12
      queue = 200
    }
    cold {
      from = 0.3
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
  rate    = "300/s"
  process = "poisson"
  clients {
    patience_least = 0.8
    retries        = 0
  }
}
fault "break_before" {
  at   = "6s"
  for  = "6s"
  part = 0.25
  size = 0.3
}
fault "break_after" {
  at   = "14s"
  for  = "6s"
  part = 0.25
  size = 0.3
}
fault "slow_answer" {
  at   = "22s"
  for  = "6s"
  part = 0.34
  size = 0.5
}
fault "fast_errors" {
  at   = "30s"
  for  = "6s"
  part = 0.17
  size = 0.5
}
fault "neighbour" {
  at   = "38s"
  for  = "6s"
  part = 0.34
  size = 0.7
}
fault "vanish" {
  at   = "46s"
  for  = "5s"
  part = 0.17
}
arm "none" {}
arm "one attempt" {
  class "form-lookup" {
    attempts = 1
  }
  class "return-submit" {
    attempts = 1
  }
}
arm "time-out" {
  class "form-lookup" {
    attempts        = 3
    attempt_timeout = "300ms"
  }
}
arm "copy after 60ms" {
  class "form-lookup" {
    attempts   = 3
    copy_after = "60ms"
  }
}
arm "copy after p95" {
  class "form-lookup" {
    attempts        = 3
    copy_percentile = 95
  }
}
arm "not run again" {
  class "form-lookup" {
    retry = "not_run"
  }
}
arm "no queue" {
  class "form-lookup" {
    queue = 0
  }
  class "return-submit" {
    queue = 0
  }
}
expect {
  rules_kept = true
}
