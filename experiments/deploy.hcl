# A rolling deploy replaces nearly all servers with cold ones. Which policies keep serving, and
# which ones overload the new servers?
experiment "deploy" {
  question = "A rolling deploy replaces nearly all boxes: who keeps serving, and who buries the newcomers?"
  duration = "50s"
  warmup   = "2s"
  seeds    = [1, 2, 3, 4, 5]
  virtual  = true
}
vars {
  rate = "80/s"
}
include "sites/three-tiers.hcl" {}
load {
  rate = var.rate
  clients {
    patience_least = 0.7
    retries        = 1
    retry_wait     = "200ms"
  }
}
fault "deploy" {
  at     = "8s"
  for    = "28s"
  part   = 0.9
  size   = 0.15
  period = "3s"
}
include "variants/policies.hcl" {}
expect {
  arm        = "design"
  rules_kept = true
}
