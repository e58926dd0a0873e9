about = "the member core stops twice, once for longer than any client waits"
seed  = 5
site  = "sites/two-clubs.hcl"

deployment {
  core {
    capacity = 30
    stops_at = 3
  }
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
