# An example configuration of the daemon; start it with "rowancart serve deploy/rowancart.hcl".
# All settings are described in docs/daemon.md.

admin {
  listen = "127.0.0.1:9901"
}

limits {
  memory      = "192MiB"
  connections = 1024
  stop_within = "30s"
}

listener "front" {
  address = "127.0.0.1:8080"
}

class "lookup" {
  effect = "safe"
  aim    = "500ms"
  policy = "quick"
}

class "submit" {
  effect = "unsafe"
  aim    = "2s"
}

policy "quick" {
  client_waits    = "5s"
  request_timeout = "3s"
  attempt_timeout = "1s"
  attempts        = 3
  second_copy {
    after      = "300ms"
    percentile = 95
  }
}

tenant "counter" {
  quota = "50/s"
}

pool "forms" {
  connections = 256
  roster "static" {
    endpoint "forms-1" {
      address = "127.0.0.1:9001"
    }
    endpoint "forms-2" {
      address = "127.0.0.1:9002"
    }
  }
  warm_up {
    from   = 0.3
    within = "10s"
  }
  retry_budget {
    share = 0.1
    floor = "2/s"
  }
}

route "lookups" {
  path    = "/form-lookup/*"
  methods = ["GET"]
  class   = "lookup"
  pool    = "forms"
}

route "submissions" {
  path    = "/return-submit/*"
  methods = ["POST"]
  class   = "submit"
  pool    = "forms"
  policy {
    client_waits       = "8s"
    queue              = 100
    concurrency        = 64
    tenant_rate        = "20/s"
    tenant_concurrency = 16
  }
}
