# Variants: the design and all baseline policies.
arm "design" {
  policy = "tuliprock"
}
arm "random" {
  policy = "random"
}
arm "round_robin" {
  policy = "round_robin"
}
arm "least_outstanding" {
  policy = "least_outstanding"
}
arm "two_choices" {
  policy = "two_choices"
}
arm "peak_ewma" {
  policy = "peak_ewma"
}
arm "reverse_proxy" {
  policy = "reverse_proxy"
}
