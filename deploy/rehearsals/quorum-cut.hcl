about = "gateways that agree: two of five are cut off, then one is heard by nobody; downloads notice nothing; sockets alone"
seed  = 12
site  = "sites/two-clubs.hcl"

deployment {
  gateways = 5
}
quorum {
  voters = 5
}

phase "before" {
  for  = "5s"
  rate = 120
  expect {
    in_time = 0.95
  }
}
phase "cut" {
  for  = "13s"
  rate = 120
  expect {
    in_time = 0.95
  }
}
phase "after" {
  for  = "5s"
  rate = 120
  expect {
    in_time = 0.95
  }
}

event "part" {
  at    = "5s"
  count = 2
  for   = "6s"
}
event "part" {
  at      = "12s"
  for     = "5s"
  one_way = true
}
