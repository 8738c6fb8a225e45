# How much load can the test bed on real sockets offer on this machine before it is late itself?
# The servers do hardly any work, two instances of the program run, and the sweep raises the
# rate. A run in which the test bed was late is void; its report shows the lateness.
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
