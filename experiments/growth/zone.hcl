# A sixth of the gateways fails requests at once. A client-side sidecar sends each gateway a
# request only every few seconds, and an unsafe request that fails can't be retried. How many
# errors must each sidecar see before it avoids these gateways?
experiment "growth-zone" {
  question = "Do quiet callers leave a gateway that fails quickly after few errors?"
  duration = "45s"
  warmup   = "1s"
  repeats  = 6
  virtual  = true
}
include "../sites/thin.hcl" {}
fault "fast_errors" {
  at   = "10s"
  for  = "30s"
  tier = "gateway"
  part = 0.17
  size = 1.0
}
expect {
  arm                     = "design"
  rules_kept              = true
  refused_or_failed_under = 0.017
}
