# Clients that send nothing, half a request or 60 MB, discovery that moves to another address,
# sidecars that are terminated and killed, and truncated and corrupt responses: does the deployed
# program keep every rule and its resource limits? Runs on real sockets.
experiment "hostile" {
  question = "Improper peers, broken answers, a moved roster, sidecars ended and killed: does the program keep every rule?"
  duration = "24s"
  warmup   = "1s"
}
vars {
  rate = "60/s"
}
site {
  balancers = 2
  roster {
    delay  = "300ms"
    spread = "200ms"
  }
  limits {
    memory_mb   = 64
    descriptors = 512
    cores       = 1
  }
  class "form-lookup" {
    effect   = "safe"
    share    = 0.7
    work     = "20ms"
    aim      = "400ms"
    deadline = "2s"
  }
  class "return-submit" {
    effect   = "unsafe"
    share    = 0.3
    work     = "25ms"
    aim      = "400ms"
    deadline = "2s"
    worth    = 10
  }
  tier "form-check" {
    boxes = 6
    kind "std" {
      slots = 20
      queue = 100
    }
    cold {
      from = 0.31
      for  = "3s"
    }
    connections {
      work  = "1ms"
      limit = 200
      idle  = "5s"
    }
  }
}
load {
  rate = var.rate
  clients {
    patience_least = 0.6
    retries        = 1
    retry_wait     = "200ms"
    leave          = 0.03
  }
}
fault "silent_peer" {
  at     = "2s"
  count  = 8
  period = "200ms"
}
fault "half_peer" {
  at     = "4s"
  count  = 8
  period = "200ms"
}
fault "huge_peer" {
  at     = "6s"
  count  = 3
  period = "500ms"
}
fault "break_after" {
  at   = "8s"
  for  = "2s"
  part = 0.5
  size = 0.2
}
fault "break_answer" {
  at   = "10s"
  for  = "2s"
  part = 0.5
  size = 0.2
}
fault "garble_answer" {
  at   = "12s"
  for  = "2s"
  part = 0.5
  size = 0.2
}
fault "break_before" {
  at   = "14s"
  for  = "2s"
  part = 0.5
  size = 0.2
}
fault "roster_move" {
  at     = "15s"
  count  = 2
  period = "100ms"
}
fault "deploy" {
  at     = "16s"
  for    = "2s"
  part   = 0.3
  size   = 0.2
  period = "2s"
}
fault "term_sidecar" {
  at  = "18s"
  for = "100ms"
}
fault "kill_sidecar" {
  at     = "21s"
  for    = "300ms"
}
arm "design" {
  policy = "tuliprock"
}
expect {
  arm                 = "design"
  rules_kept          = true
  served_in_time_over = 0.8
}
