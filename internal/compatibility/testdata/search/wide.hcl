# Within what "rowancart lab search" draws sites. A rate gives in where a play would have more than its requests.
search "wide" {
  boxes        = [1, 1000]
  instances    = [1, 400]
  known        = 12000
  tiers        = [1, 3]
  classes      = [1, 3]
  work         = ["200us", "10s"]
  load         = [0.02, 1.5]
  rate_least   = "0.5/s"
  rate_most    = "100000/s"
  quiet        = 0.15
  duration     = ["8s", "60s"]
  requests     = 3000
  faults       = [0, 3]
  fault_kinds  = ["crash", "silent_crash", "flap", "vanish", "fast_errors", "neighbour", "shared_slow", "deploy", "break_before", "break_after", "break_answer", "slow_answer", "stall_accept", "roster_late", "roster_silent", "kill_sidecar", "step"]
  rivals       = ["random", "round_robin", "least_outstanding", "two_choices", "peak_ewma"]
  repeats      = 2
  more_repeats = 8
  seems        = 0.005
}
