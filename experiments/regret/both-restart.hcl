experiment "both-restart" {
  question = "Two boxes that restart at once: is service back with them?"
  duration = "20s"
  seeds    = [1, 2, 3, 4, 5, 6, 7, 8]
  virtual  = true
}
include "../sites/two-boxes.hcl" {}
fault "crash" {
  at  = "5s"
  for = "1s"
}
expect {
  arm                     = "design"
  rules_kept              = true
  refused_or_failed_under = 0.06
}
