# Does a decision cost the same in a large fleet? 100 instances in front of 1000 servers, and one
# million requests.
experiment "scale" {
  question = "Does the design balance as well before a thousand boxes as before ten?"
  duration = var.length
  warmup   = "2s"
  virtual  = true
}
vars {
  instances = 100
  boxes     = 1000
  rate      = "25000/s"
  length    = "40s"
}
site {
  balancers = var.instances
  class "form-lookup" {
    effect   = "safe"
    share    = 0.7
    work     = "20ms"
    aim      = "300ms"
    deadline = "2s"
  }
  class "return-submit" {
    effect   = "unsafe"
    share    = 0.3
    work     = "25ms"
    aim      = "300ms"
    deadline = "2s"
    worth    = 10
  }
  tier "form-check" {
    boxes = var.boxes
    kind "fast" {
      share = 0.5
      speed = 1.2
      slots = 16
      queue = 100
    }
    kind "std" {
      share = 0.5
      speed = 0.9
      slots = 16
      queue = 100
    }
    connections {
      work = "500us"
      idle = "30s"
    }
  }
}
load {
  rate = var.rate
}
arm "design" {
  policy = "tuliprock"
}
arm "two_choices" {
  policy = "two_choices"
}
expect {
  arm                 = "design"
  rules_kept          = true
  served_in_time_over = 0.95
}
