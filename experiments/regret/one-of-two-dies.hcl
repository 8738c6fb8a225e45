experiment "one-of-two-dies" {
  question = "Two boxes, one caller: when one is killed, does the other serve all that comes?"
  duration = "20s"
  seeds    = [1, 2, 3, 4, 5, 6, 7, 8]
  virtual  = true
}
include "../sites/two-boxes.hcl" {}
fault "crash" {
  at   = "200ms"
  for  = "10s"
  part = 0.5
}
expect {
  arm                     = "design"
  rules_kept              = true
  refused_or_failed_under = 0.001
}
