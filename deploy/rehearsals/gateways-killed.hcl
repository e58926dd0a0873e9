about = "boxes are released, then gateways go one after another, their absences overlapping"
seed  = 5
site  = "sites/two-clubs.hcl"

deployment {
  clubs = ["amber"]
  link  = "260MB"
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
