# How much load does the socket rig itself offer on this machine before it is late? Boxes that hardly work, one instance
# of the program, and a rate that is swept up; a play in which the rig was late is void and shows its lateness.
experiment "rig-limit" {
  question = "How many requests a second does the socket rig offer before it is late itself?"
  duration = "5s"
  warmup   = "1s"
}
vars {
  rate = "1000/s"
}
sweep "rate" {
  values = ["1000/s", "2000/s", "4000/s", "8000/s", "16000/s", "24000/s"]
}
site {
  balancers = 2
  class "form-lookup" {
    effect   = "safe"
    work     = "10us"
    spread   = "fixed"
    aim      = "500ms"
    deadline = "2s"
  }
  tier "form-check" {
    boxes = 8
    kind "quick" {
      cores = 4
      slots = 64
      queue = 1000
    }
    connections {
      idle = "30s"
    }
  }
}
load {
  rate    = var.rate
  process = "steady"
}
arm "design" {
  policy = "tuliprock"
}
