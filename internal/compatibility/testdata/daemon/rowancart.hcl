listener "front" {
  address = "127.0.0.1:34433"
}
state {
  path = "state"
  every = "1s"
}
fleet {
  instances = 2
  name = "one"
}
pool "forms" {
  roster "static" {
    endpoint "forms-1" {
      address = "127.0.0.1:33855"
      zone = "z1"
      kind = "fast"
      cell = 1
    }
    endpoint "forms-2" {
      address = "127.0.0.1:44475"
      zone = "z2"
      kind = "fast"
      cell = 2
    }
    endpoint "forms-3" {
      address = "127.0.0.1:40049"
      zone = "z2"
      kind = "old"
      cell = 2
    }
  }
}
class "look" {
  effect = "safe"
}
class "pay" {
  effect = "unsafe"
}
route "look" {
  path    = "/look"
  class   = "look"
  pool    = "forms"
}
route "pay" {
  path    = "/pay"
  class   = "pay"
  pool    = "forms"
}
