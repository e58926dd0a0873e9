about = "boxes are released, then gateways go one after another, their absences overlapping"
seed  = 5
site  = "sites/two-clubs.hcl"

deployment {
  clubs    = ["amber"]
  gateways = 3
  flow     = "9.5MB"
  link     = "260MB"
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
  core { capacity = 60 }
  list { told = "600ms" }
}

phase "before" {
  for  = "8s"
  rate = 280
  expect {
    in_time = 0.95
  }
}
phase "release" {
  for  = "14s"
  rate = 280
  expect {
    in_time = 0.7
  }
}
phase "restarts" {
  for  = "16s"
  rate = 280
  expect {
    in_time = 0.9
  }
}
phase "after" {
  for  = "10s"
  rate = 280
  expect {
    in_time = 0.9
  }
}

event "replace" {
  at = "8s"
  share = 0.5
  over = "10s"
}
event "restart" {
  at = "17s"
  every = "3s"
  times = 3
  for = "6s"
}
event "kill" {
  at = "34s"
  on = "gateway"
  for = "2s"
}
