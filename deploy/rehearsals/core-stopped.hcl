about = "the member core stops twice, once for longer than any client waits"
seed  = 5
site  = "sites/two-clubs.hcl"

deployment {
  clubs    = ["amber", "birch"]
  gateways = 3
  flow     = "9.5MB"
  link     = "130MB"
  box {
    count      = 10
    cores_from = 5
    cores_to   = 8
    store      = "3GB"
    held       = 0.7
    cold_share = 0.3
    cold_for   = "12s"
  }
  hub {
    count = 2
    store = "12GB"
    held  = 0.8
  }
  core {
    capacity = 30
    stops_at = 3
  }
  list { told = "600ms" }
}

phase "before" {
  for  = "8s"
  rate = 190
  expect {
    in_time = 0.9
  }
}
phase "stopped" {
  for  = "16s"
  rate = 190
  expect {
    in_time = 0.4
  }
}
phase "after" {
  for  = "12s"
  rate = 190
  expect {
    in_time = 0.85
    renewals = 0.95
  }
}

event "kill" {
  at = "8s"
  for = "2s"
  on = "core"
}
event "pause" {
  at = "15s"
  for = "7s"
  on = "core"
}
