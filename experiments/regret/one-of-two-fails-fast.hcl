experiment "one-of-two-fails-fast" {
  question = "Two boxes, one caller: does a box that answers errors at once draw load?"
  duration = "20s"
  seeds    = [1, 2, 3, 4, 5, 6, 7, 8]
  virtual  = true
}
include "../sites/two-boxes.hcl" {}
fault "fast_errors" {
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
