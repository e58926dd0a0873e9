about = "the gateways purge half of all objects themselves while two of six are cut off for longer than the delay; sockets alone"
seed  = 21
site  = "sites/two-clubs.hcl"

deployment {
  gateways = 6
}
quorum {
  voters = 3
}
purges {
  delay = "4s"
}

phase "before" {
  for  = "6s"
  rate = 120
  expect {
    in_time = 0.95
  }
}
phase "cut" {
  for  = "12s"
  rate = 120
  expect {
    in_time = 0.5
  }
}
phase "after" {
  for  = "8s"
  rate = 120
  expect {
    in_time = 0.7
  }
}

event "part" {
  at    = "6s"
  count = 2
  for   = "11s"
}
event "purge" {
  at    = "7s"
  share = 0.5
  by    = "gateways"
}
