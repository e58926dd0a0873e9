about = "jobs of each type while owners are frozen past their lease, killed, cut off one way, and one comes back with an old disk; sockets alone"
seed  = 31
site  = "sites/two-clubs.hcl"

deployment {
  gateways = 6
}
quorum {
  voters  = 3
  replace = "5s"
}
job "safe" {
  at     = "3s"
  steps  = 3000
  places = 6
}
job "keyed" {
  at     = "3s"
  type   = "keyed"
  steps  = 3000
  places = 6
}
job "unsafe" {
  at     = "3s"
  type   = "unsafe"
  steps  = 1500
  places = 6
}

phase "before" {
  for  = "5s"
  rate = 120
  expect {
    in_time = 0.95
  }
}
phase "faults" {
  for  = "20s"
  rate = 120
  expect {
    in_time = 0.7
  }
}
phase "after" {
  for  = "6s"
  rate = 120
  expect {
    in_time = 0.9
  }
}

event "copy" {
  at   = "4s"
  name = "gateway-b-birch"
}
event "freeze" {
  at    = "6s"
  every = "4s"
  times = 3
  for   = "3s"
}
event "part" {
  at      = "12s"
  for     = "3s"
  one_way = true
}
event "kill" {
  at  = "18s"
  on  = "gateway"
  for = "1s"
}
event "kill" {
  at   = "21s"
  on   = "gateway"
  name = "gateway-b-birch"
  for  = "1s"
  disk = "old"
}
