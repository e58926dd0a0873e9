about = "gateways that agree: one after another is frozen past its lease and wakes, one comes back without its disk; sockets alone"
seed  = 11
site  = "sites/two-clubs.hcl"

deployment {
  gateways = 5
}
quorum {
  voters = 3
}

phase "before" {
  for  = "5s"
  rate = 120
  expect {
    in_time = 0.95
  }
}
phase "frozen" {
  for  = "15s"
  rate = 120
  expect {
    in_time = 0.6
  }
}
phase "after" {
  for  = "6s"
  rate = 120
  expect {
    in_time = 0.9
  }
}

event "freeze" {
  at    = "5s"
  every = "4s"
  times = 3
  for   = "3s"
}
event "kill" {
  at   = "17s"
  on   = "gateway"
  for  = "1s"
  disk = "lost"
}
