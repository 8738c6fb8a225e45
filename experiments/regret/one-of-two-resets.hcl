experiment "one-of-two-resets" {
  question = "Two boxes, one caller: when one resets what it has taken, does the other serve all that is safe?"
  duration = "20s"
  seeds    = [1, 2, 3, 4, 5, 6, 7, 8]
  virtual  = true
}
include "../sites/two-boxes.hcl" {}
fault "break_after" {
  at   = "5s"
  for  = "10s"
  part = 0.5
  size = 1
}
expect {
  arm                     = "design"
  rules_kept              = true
  refused_or_failed_under = 0.01
}
