experiment "one-of-two-hangs" {
  question = "Two boxes, one caller: when one hangs, how many requests wait for it?"
  duration = "20s"
  seeds    = [1, 2, 3, 4, 5, 6, 7, 8]
  virtual  = true
}
include "../sites/two-boxes.hcl" {}
fault "vanish" {
  at   = "5s"
  for  = "10s"
  part = 0.5
}
expect {
  arm                     = "design"
  rules_kept              = true
  refused_or_failed_under = 0.01
}
