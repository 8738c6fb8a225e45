# One tier of 12 servers that start cold, behind 40 instances that share no state. The variable
# told is the number of instances according to their settings, 0 for the real number. A file that
# includes this one sets the load and the variants.
vars {
  instances = 40
  told      = 0
}
site {
  balancers = var.instances
  told      = var.told
  roster {
    delay  = "200ms"
    spread = "0s"
  }
  rules {
    fall_window = "2s"
  }
  class "form-lookup" {
    effect   = "safe"
    share    = 0.7
    work     = "50ms"
    spread   = "exponential"
    aim      = "500ms"
    deadline = "2s"
  }
  class "return-submit" {
    effect   = "unsafe"
    share    = 0.3
    work     = "50ms"
    spread   = "lognormal"
    cv       = 0.5
    aim      = "500ms"
    deadline = "2s"
    worth    = 10
  }
  tier "form-check" {
    boxes = 12
    kind "std" {
      cores = 4
      slots = 40
      queue = 300
    }
    cold {
      from = 0.31
      for  = "8s"
    }
    connections {
      work = "1ms"
      idle = "30s"
    }
  }
}
